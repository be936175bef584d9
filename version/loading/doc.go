// Package loading brings declared weights to the model server beside an agent:
// it fetches the pieces through a swarm, stages them at the server, checks what
// is staged and orders the load in the agent's turn.
package loading
