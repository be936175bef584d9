// Package loading brings the wanted versions of model weights to the backend
// server beside an agent. A Loader fetches the chunks of a version from other
// agents and the origin, stages them at the server, verifies the staged chunks
// and orders the load at the time that the rolling update gives this agent.
package loading
