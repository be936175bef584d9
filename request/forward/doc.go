// Package forward is a reverse proxy that forwards clients' HTTP requests to
// backend servers. Each request gets one response: the complete response of a
// server, or an error response whose status depends on whether the request may
// have run.
package forward
