package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// firstPartBytes is the size of the first part of a response body; the responses
	// of the services are about 1 KB. bodyPartBytes is the size of each further part.
	firstPartBytes = 4 << 10
	bodyPartBytes  = 32 << 10
	// bodyBudgetBytes is the budget for what all response bodies in memory together
	// have beyond their first parts. It also limits the size of one body that is read
	// completely before it is forwarded.
	bodyBudgetBytes = 4 << 20
)

// bodyParts provides the memory for the parts of response bodies beyond the first. It
// limits that memory, so that servers that send without end cannot use up the memory
// of the process together. It is safe for concurrent use.
type bodyParts struct {
	mu sync.Mutex
	// inUse is the number of parts that take has returned and give has not got back.
	inUse  int
	unused sync.Pool
}

// take returns an empty part, or nil if the budget is used up.
func (p *bodyParts) take() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.inUse+1)*bodyPartBytes > bodyBudgetBytes {
		return nil
	}
	p.inUse++
	if part, ok := p.unused.Get().(*[bodyPartBytes]byte); ok {
		return part[:0]
	}
	return make([]byte, 0, bodyPartBytes)
}

// give takes parts back.
func (p *bodyParts) give(parts [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse -= len(parts)
	for _, part := range parts {
		p.unused.Put((*[bodyPartBytes]byte)(part[:bodyPartBytes]))
	}
}

// response is a complete response of a server.
type response struct {
	status int
	header http.Header
	// first is the first part of the body. parts are the further ones, from bodyParts.
	first []byte
	parts [][]byte
}

// size returns the length of the body.
func (r *response) size() int {
	n := len(r.first)
	for _, part := range r.parts {
		n += len(part)
	}
	return n
}

// writeBody writes the body to w.
func (r *response) writeBody(w io.Writer) error {
	_, err := w.Write(r.first)
	for _, part := range r.parts {
		if err == nil {
			_, err = w.Write(part)
		}
	}
	return err
}

// read reads a complete response. The error is errResponseTooLong if the budget does not
// allow the size of the body. The caller gives the parts of the body back.
func (p *bodyParts) read(resp *http.Response) (*response, error) {
	var first bytes.Buffer
	_, err := io.CopyN(&first, resp.Body, firstPartBytes)
	complete := &response{status: resp.StatusCode, header: resp.Header, first: first.Bytes()}
	for err == nil {
		part := p.take()
		if part == nil {
			err = errResponseTooLong
			break
		}
		part, err = fillPart(part, resp.Body)
		complete.parts = append(complete.parts, part)
	}
	if !errors.Is(err, io.EOF) {
		p.give(complete.parts)
		return nil, err
	}
	return complete, nil
}

// readResponse reads a complete response. The parts of the body belong to the call until
// releaseBodies.
func (c *call) readResponse(resp *http.Response) (*response, error) {
	if complete := c.readAhead; complete != nil {
		c.readAhead = nil
		return complete, nil
	}
	complete, err := c.bodyParts.read(resp)
	if err != nil {
		return nil, err
	}
	c.heldParts = append(c.heldParts, complete.parts...)
	return complete, nil
}

// fillPart reads into part until its capacity is used up. The error is that of the
// last read; io.ReadFull would not distinguish the end of a body from a body that is
// cut off.
func fillPart(part []byte, body io.Reader) ([]byte, error) {
	for len(part) < cap(part) {
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}

// releaseBodies returns the memory of all bodies that the call has read.
func (c *call) releaseBodies() {
	c.bodyParts.give(c.heldParts)
	c.heldParts = nil
}
