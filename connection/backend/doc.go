// Package backend holds HTTP/1.1 connections to backend servers. One request
// is on a connection at a time. The caller learns how far a request came, so
// that it can tell what may be sent again.
package backend
