// Package daemon builds the two daemons, the entry instance and the agent, from
// the other packages and runs them. It only connects them;
// the logic is in those packages.
package daemon
