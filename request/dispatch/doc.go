// Package dispatch decides where a request runs, how long it waits for a place
// and when it is refused. Its decisions read a snapshot of load and the time,
// and touch neither connections nor the clock.
package dispatch
