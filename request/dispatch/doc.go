// Package dispatch chooses the server that runs a request, limits how long the
// request waits for a free slot, and refuses the request when no slot becomes
// free. [Scheduler] has a clock and the state. The functions that it calls for
// single decisions get the load and the time as arguments.
package dispatch
