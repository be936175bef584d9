// Package hosted builds the two daemons in the form that runs on the users'
// platform: an entry instance that connects to the backend servers directly, and
// an agent that loads model weights into the model server beside it. Decisions on
// requests and weights are made in other packages.
package hosted
