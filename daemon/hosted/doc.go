// Package hosted assembles the two daemons as they run on the users' platform:
// an entry instance that reaches the backend servers directly, and the agent
// beside a model server. It holds no decisions of its own.
package hosted
