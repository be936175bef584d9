// Package backend manages HTTP/1.1 client connections to backend servers. A
// connection carries one request at a time. The errors of Conn.Do show whether a
// request may have reached the server, so that the caller can decide whether a
// retry is safe.
package backend
