// Package exchange connects entry instances with each other. Each tells all
// others what it runs at the servers, so that together they fill every server
// and overload none, and hands on the tables of the platform's store to those
// that the store does not answer.
package exchange
