// Package catalog keeps what operators declare and what backend servers
// report: routes, services, client accounts, backend servers, versions of
// model weights, and data centres taken out of service. A Follower reads a table
// of the platform's store and applies the changes of the table to a Holder. The
// Holder publishes its content as immutable Snapshots.
package catalog
