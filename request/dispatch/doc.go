// Package dispatch chooses the server that runs a request, limits how long the
// request waits for a free slot, and refuses it when no slot becomes free. The
// functions that make these decisions get the load and the time as arguments;
// they use neither connections nor a clock.
package dispatch
