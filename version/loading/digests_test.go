package loading

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/test/wait"
)

// spoiltOrigin is an origin whose first responses with digests are wrong, and that answers
// at one address only.
type spoiltOrigin struct {
	fakeOrigin
	// addr is the address at which the origin answers; "" means any.
	addr string

	mu sync.Mutex
	// spoilt is the number of responses that are still to be spoilt. alike means that
	// they are all wrong in the same way.
	spoilt int
	alike  bool
	// digestReads and chunkReads count the responses.
	digestReads, chunkReads int
}

func (o *spoiltOrigin) Digests(ctx context.Context, addr, model string, version int) ([]core.Digest, error) {
	digests, err := o.fakeOrigin.Digests(ctx, addr, model, version)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.digestReads++
	if o.spoilt > 0 {
		o.spoilt--
		wrong := []byte{0}
		if !o.alike {
			wrong[0] = byte(o.digestReads)
		}
		digests[3] = core.DigestOf(wrong)
	}
	return digests, err
}

func (o *spoiltOrigin) Chunk(ctx context.Context, addr, model string, version, chunkNumber int) ([]byte, error) {
	if o.addr != "" && addr != o.addr {
		return nil, errors.New("connection refused")
	}
	o.mu.Lock()
	o.chunkReads++
	o.mu.Unlock()
	return o.fakeOrigin.Chunk(ctx, addr, model, version, chunkNumber)
}

// reads returns the numbers of responses with digests and with chunks.
func (o *spoiltOrigin) reads() (digests, chunks int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.digestReads, o.chunkReads
}

// Guards against model servers that stay empty because one response of the origin
// contained a wrong digest.
func TestSpoiltDigests(t *testing.T) {
	Convey("A wrong digest in one response of the origin is noticed before any chunk is read", t, func() {
		origin := &spoiltOrigin{spoilt: 1}
		f := newFixtureWith(t, newFakeServer(), origin, 0)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		digests, chunks := origin.reads()
		So(digests, ShouldEqual, 3)
		So(chunks, ShouldEqual, chunkCount)
	})

	Convey("Two responses with different wrong digests are outvoted", t, func() {
		f := newFixtureWith(t, newFakeServer(), &spoiltOrigin{spoilt: 2}, 0)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
	})

	Convey("Digests that no chunk matches are read again", t, func() {
		f := newFixtureWith(t, newFakeServer(), &spoiltOrigin{spoilt: 2, alike: true}, 300*time.Millisecond)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
	})

	Convey("Chunks are read from the present address of the origin", t, func() {
		f := newFixtureWith(t, newFakeServer(), &spoiltOrigin{addr: "new"}, 0)
		f.declareAt(1, "old")
		So(wait.Until(func() bool {
			f.loader.mu.Lock()
			defer f.loader.mu.Unlock()
			return len(f.loader.digests) > 0
		}), ShouldBeTrue)
		f.declareAt(1, "new")
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
	})
}
