// Package exchange implements the connections between entry instances. Each
// entry instance sends to all others the number of requests that it runs at each
// backend server, so that together they use every server fully and overload none.
// It also sends the tables of the platform's store to entry instances that get no
// answer from the store.
package exchange
