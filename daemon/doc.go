// Package daemon builds the two daemons, the entry instance and the agent, from
// the other packages and runs them. It makes no decisions of its own.
package daemon
