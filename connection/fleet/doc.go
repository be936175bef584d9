// Package fleet connects the agents beside model servers with entry instances:
// an agent tells what its server holds, and an entry instance which weights are
// wanted and which agents there are.
package fleet
