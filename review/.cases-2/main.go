// Command reviewcases2 runs one case of the review: the project's daemons as processes, and
// stand-ins of the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: reviewcases2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		cannotRun("%v", err)
	}
	cases := map[string]func(string) int{"leaving": leaving, "unproven": unproven, "listed": listed}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no case %s", os.Args[1])
	}
	code := run(dir)
	if os.Getenv("KEEP") == "" {
		for _, p := range processes {
			p.kill()
		}
		_ = os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	finish(code)
}
