package platform

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// objectStore is an object store in memory. It is safe for concurrent use.
type objectStore struct {
	mu sync.RWMutex
	// bodies holds the content of each object by its name.
	bodies map[string][]byte
}

// newObjectStore returns an empty store.
func newObjectStore() *objectStore { return &objectStore{bodies: map[string][]byte{}} }

// get returns the content of an object and reports whether it exists.
func (o *objectStore) get(name string) ([]byte, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	body, ok := o.bodies[name]
	return body, ok
}

// put stores an object and returns true. If the object already exists with
// different content, put returns false and changes nothing.
func (o *objectStore) put(name string, body []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing, ok := o.bodies[name]; ok {
		return bytes.Equal(existing, body)
	}
	o.bodies[name] = body
	return true
}

// delete removes an object.
func (o *objectStore) delete(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, name)
}

// serveObject serves GET, PUT and DELETE of one object. store is the name of the
// store for faults and counters.
func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, o *objectStore, store, name string) {
	switch r.Method {
	case http.MethodGet:
		s.getObject(w, r, o, store, name)
	case http.MethodPut:
		s.putObject(w, r, o, store, name)
	case http.MethodDelete:
		s.counters.add(store, "writes", 1)
		o.delete(name)
		w.WriteHeader(http.StatusNoContent)
	default:
		allowMethods(w, r, http.MethodGet, http.MethodPut, http.MethodDelete)
	}
}

// getObject serves an object or a range of it.
func (s *Server) getObject(w http.ResponseWriter, r *http.Request, o *objectStore, store, name string) {
	s.counters.add(store, "reads", 1)
	body, ok := o.get(name)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if s.faults.shouldCorruptResponse(store, name) {
		body = withCorruptByte(body)
	}
	out := &meteredWriter{ResponseWriter: w, count: func(n int) { s.counters.add(store, "bytesOut", n) }}
	if store == "weights" {
		out.throttle = func(n int) error { return s.faults.waitForWeightBandwidth(r.Context(), n) }
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(body))
}

// putObject stores the body of a request as an object.
func (s *Server) putObject(w http.ResponseWriter, r *http.Request, o *objectStore, store, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.counters.add(store, "writes", 1)
	s.counters.add(store, "bytesIn", len(body))
	if !o.put(name, body) {
		http.Error(w, "object stands with another body", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// withCorruptByte returns a copy of body whose middle byte is changed.
func withCorruptByte(body []byte) []byte {
	corrupt := bytes.Clone(body)
	if len(corrupt) > 0 {
		corrupt[len(corrupt)/2] ^= 0xff
	}
	return corrupt
}

// maxWriteBytes is the maximum size of a block, in bytes. Responses with objects
// are written in blocks.
const maxWriteBytes = 32 << 10

// meteredWriter counts the bytes of a response and can limit their rate.
type meteredWriter struct {
	http.ResponseWriter
	// count is called with the number of bytes written.
	count func(int)
	// throttle waits until the given number of bytes may be written; if it is nil,
	// the rate is not limited.
	throttle func(int) error
}

// Write implements io.Writer. It writes blocks of up to maxWriteBytes.
func (w *meteredWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		block := p[:min(len(p), maxWriteBytes)]
		if w.throttle != nil {
			if err := w.throttle(len(block)); err != nil {
				return written, err
			}
		}
		n, err := w.ResponseWriter.Write(block)
		w.count(n)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
