// Package daemon builds the two daemons, the entry instance and the agent, from
// the other packages and runs them. Decisions are made in those packages.
package daemon
