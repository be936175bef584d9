// Package exchange implements the connections between entry instances. Each
// entry instance sends to all others the number of requests that it runs at each
// backend server, so that together they use every server fully and overload none.
// It also sends the tables of the platform's store to entry instances to which the
// store does not deliver the newest revisions.
package exchange
