package intake

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// unannouncedBytes is the size of the first part of a body whose length is not announced.
const unannouncedBytes = 1 << 10

// Body is a request body in memory. The zero value is an empty body that holds nothing.
type Body struct {
	budget *Budget
	holder Holder
	// parts are the parts in order. All but the first are from the pool.
	parts [][]byte
	// one is the memory of parts as long as there is only one.
	one  [1][]byte
	size int64
	// users is the number of calls of Release after which the memory is released.
	users atomic.Int32
}

// Parts returns the body in parts, which must not be changed, nor used after Release.
func (b *Body) Parts() [][]byte { return b.parts }

// Size returns the length of the body in bytes.
func (b *Body) Size() int64 { return b.size }

// Retain makes one more call of Release necessary before the memory is released. A goroutine
// that sends the body and may outlive the request needs it. The caller must hold the body.
func (b *Body) Retain() { b.users.Add(1) }

// Release gives the memory back to the budget, unless others have retained it. It does nothing if
// the body holds nothing.
func (b *Body) Release() {
	if b.budget == nil || b.users.Add(-1) > 0 {
		return
	}
	budget := b.budget
	b.budget = nil
	var pooled [][]byte
	if len(b.parts) > 1 {
		pooled = b.parts[1:]
	}
	budget.release(&b.holder, pooled)
	b.parts, b.one, b.size = nil, [1][]byte{}, 0
}

// Read reads a whole body from src into body, which must be empty. announced is the announced
// length of the body, which ends there, or negative; it reserves nothing beyond the first part. limit is the
// largest length. end is called at most once, from another goroutine, if the body is ended; it must
// not block, and must make src.Read fail. After an error the body holds nothing. The error is
// ErrTooLarge, ErrFull, one for which Ended returns true, or that of src.Read.
func (b *Budget) Read(body *Body, src io.Reader, announced, limit int64, end func()) error {
	body.budget, body.holder.end = b, end
	body.users.Store(1)
	err := body.read(src, announced, limit)
	if err == nil {
		err = b.finish(&body.holder)
	} else if ended := b.endedBy(&body.holder); ended != nil {
		err = ended
	}
	if err != nil {
		body.Release()
	}
	return err
}

func (b *Body) read(src io.Reader, announced, limit int64) error {
	first := int64(unannouncedBytes)
	if announced >= 0 {
		first = max(1, min(announced, firstPartBytes))
	}
	if err := b.budget.take(&b.holder, first); err != nil {
		return err
	}
	b.one[0] = make([]byte, 0, first)
	b.parts = b.one[:]
	for {
		err := b.fillLast(src, limit)
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF), err == nil && b.size == announced:
			return nil
		case err != nil:
			return err
		}
		part, err := b.budget.takePart(&b.holder)
		if err != nil {
			return err
		}
		b.parts = append(b.parts, part)
	}
}

// fillLast reads into the last part until its capacity is used up or the body is longer than
// limit. The error is that of the last read.
func (b *Body) fillLast(src io.Reader, limit int64) error {
	last := &b.parts[len(b.parts)-1]
	for len(*last) < cap(*last) && b.size <= limit {
		part := *last
		room := part[len(part):min(int64(cap(part)), int64(len(part))+limit+1-b.size)]
		n, err := src.Read(room)
		*last = part[:len(part)+n]
		b.size += int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// Join returns the body in one piece. A body with more than one part is copied, and holds the
// copy instead of the parts. The error is ErrFull if the budget has no room for both.
func (b *Body) Join() ([]byte, error) {
	switch len(b.parts) {
	case 0:
		return nil, nil
	case 1:
		return b.parts[0], nil
	}
	copied := Holder{end: func() {}}
	if err := b.budget.take(&copied, b.size); err != nil {
		return nil, err
	}
	if err := b.budget.finish(&copied); err != nil {
		b.budget.release(&copied, nil)
		return nil, err
	}
	joined := make([]byte, 0, b.size)
	for _, part := range b.parts {
		joined = append(joined, part...)
	}
	b.budget.release(&b.holder, b.parts[1:])
	b.budget.move(&copied, &b.holder)
	b.one[0] = joined
	b.parts = b.one[:]
	return joined, nil
}
