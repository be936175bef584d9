package main

// listed: as in unproven, but the processes that are killed are the entry instances. They start again
// while the load is not proven.
func listed(dir string) int { return wrongLoad(dir, true) }
