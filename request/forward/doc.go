// Package forward is a reverse proxy that forwards clients' HTTP requests to
// backend servers. Each request gets one response: the complete response of a
// server, or an error response whose status depends on whether the request may
// have run.
//
// A request has one attempt at a server at a time, and at most one [hedge] beside it. A
// [stallWatch] begins the hedge in a slot that it holds. The hedge
//
//   - takes over when the request has begun at its server: the watch closes the connection of
//     the attempt, and the call goes on with the hedge as its next attempt;
//   - is overtaken when the server of the attempt sends an event before: it is discarded;
//   - fails otherwise, and the attempt goes on as if there had been no hedge.
//
// If the attempt fails while the hedge is in progress, the call waits for the hedge. The slot of
// a hedge is released by the call once the hedge is its attempt, and by the watch otherwise.
package forward
