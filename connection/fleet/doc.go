// Package fleet implements the connections between entry instances and the
// agents beside backend servers. An agent reports which model versions its
// server has loaded. An entry instance sends the versions to load, the address of
// their origin and the list of agents.
package fleet
