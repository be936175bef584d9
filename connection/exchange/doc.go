// Package exchange implements the connections between entry instances. Each entry
// instance reports to others the number of requests that it runs at each backend
// server, so that together they use every server fully and overload none. In a large
// deployment one entry instance reports for its whole data centre to each of the other
// data centres. The reports also carry the agents, the known entry instances and the
// revisions of the platform's tables. Entry instances of one data centre share their
// reads of the store, and tables are sent to entry instances to which the store does
// not deliver the newest revisions.
package exchange
