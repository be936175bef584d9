// Package forward relays clients' HTTP requests to backend servers unchanged
// and answers each one once: with the server's whole answer, or with a refusal
// that says truthfully whether the request may have run.
package forward
