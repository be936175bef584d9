package once

import (
	"context"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// fakePlatform is an in-memory table that also holds the objects of fakeObjects.
type fakePlatform struct {
	rows    map[string]platform.Row
	objects map[string][]byte
	// getErr is returned by the next Get, which then sets it to nil. The next Commit
	// does the same with commitErr.
	getErr    error
	commitErr error
	// loseResponse makes the next successful Commit return
	// platform.ErrUnknownOutcome, although the write has taken effect.
	loseResponse bool
}

// takeError returns *err and sets it to nil.
func takeError(err *error) error {
	e := *err
	*err = nil
	return e
}

func (p *fakePlatform) Get(_ context.Context, key string, _ uint64) (platform.Row, error) {
	if err := takeError(&p.getErr); err != nil {
		return platform.Row{}, err
	}
	row, ok := p.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (p *fakePlatform) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (p *fakePlatform) Commit(_ context.Context, writes []platform.Write) error {
	if err := takeError(&p.commitErr); err != nil {
		return err
	}
	w := writes[0]
	row := p.rows[w.Key]
	if w.If != nil && *w.If != row.Revision {
		return platform.ErrConflict
	}
	p.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: row.Revision + 1}
	if w.Delete {
		delete(p.rows, w.Key)
	}
	if p.loseResponse {
		p.loseResponse = false
		return platform.ErrUnknownOutcome
	}
	return nil
}

// fakeObjects is the object store of a fakePlatform.
type fakeObjects struct{ *fakePlatform }

func (o fakeObjects) Get(_ context.Context, name string, _, _ int64) ([]byte, error) {
	return o.objects[name], nil
}

func (o fakeObjects) Put(_ context.Context, name string, body []byte) error {
	o.fakePlatform.objects[name] = body
	return nil
}

// fixture holds a RecordStore that uses a fakePlatform, a Call to record, and
// what agents respond to attempt queries.
type fixture struct {
	platform *fakePlatform
	clock    *clockwork.FakeClock
	store    *RecordStore
	call     Call
	// queryCount is the number of attempt queries so far.
	queryCount int
	// status and queryErr are the results of the attempt queries.
	status   frame.AttemptStatus
	queryErr error
}

func newFixture() *fixture {
	f := &fixture{
		platform: &fakePlatform{rows: map[string]platform.Row{}, objects: map[string][]byte{}},
		clock:    clockwork.NewFakeClock(),
		call:     Call{Account: "toa", Service: "booking", Key: "k", RequestDigest: RequestDigest("POST", "/deposits", []byte("1"))},
	}
	f.store = New(Config{EntryInstanceID: "entry-1", MaxRowBodyBytes: 16}, f.platform, fakeObjects{f.platform}, eventlog.Discard(), f.clock)
	return f
}

// query is the AttemptQueryFunc that the tests pass to Resolve.
func (f *fixture) query(context.Context, core.Instance, string, int) (frame.AttemptStatus, error) {
	f.queryCount++
	return f.status, f.queryErr
}

// resolve returns the results of Resolve. It advances the fake clock while
// Resolve runs.
func (f *fixture) resolve() (*Outcome, NextAttempt, error) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				f.clock.Advance(defaultPollInterval)
			}
		}
	}()
	return f.store.Resolve(context.Background(), f.call, f.query)
}

// claim calls Resolve and claims the attempt that Resolve returns.
func (f *fixture) claim() *Claim {
	_, next, err := f.resolve()
	So(err, ShouldBeNil)
	claim, err := f.store.Claim(context.Background(), f.call, next, core.Instance{ID: "booking-1"}, "i1")
	So(err, ShouldBeNil)
	return claim
}

func TestRecordedOutcomes(t *testing.T) {
	Convey("Given a keyed call", t, func() {
		f := newFixture()
		ctx := context.Background()
		Convey("a resubmission gets the recorded response, whether it is stored in the row or in an object", func() {
			for _, body := range []string{"short", strings.Repeat("long", 100)} {
				f.platform.rows = map[string]platform.Row{}
				So(f.claim().RecordOutcome(ctx, Outcome{Status: 201, Body: []byte(body)}), ShouldBeNil)
				o, _, err := f.resolve()
				So(err, ShouldBeNil)
				So(o.Status, ShouldEqual, 201)
				So(string(o.Body), ShouldEqual, body)
			}
			So(f.platform.objects, ShouldHaveLength, 1)
		})
		Convey("the same key with another body is refused", func() {
			f.claim()
			f.call.RequestDigest = RequestDigest("POST", "/deposits", []byte("2"))
			_, _, err := f.resolve()
			So(err, ShouldEqual, ErrKeyReused)
		})
		Convey("a claim is valid, and the outcome can be recorded, although the table's responses to both writes were lost", func() {
			f.platform.loseResponse = true
			claim := f.claim()
			f.platform.loseResponse = true
			So(claim.RecordOutcome(ctx, Outcome{Status: 201}), ShouldBeNil)
		})
		Convey("the second of two claims for one attempt is refused", func() {
			_, next, _ := f.resolve()
			f.claim()
			_, err := f.store.Claim(ctx, f.call, next, core.Instance{ID: "booking-2"}, "i2")
			So(err, ShouldEqual, ErrAlreadyClaimed)
		})
		Convey("Resolve and Claim return ErrTableUnavailable while the table is unavailable", func() {
			f.platform.getErr = platform.ErrUnavailable
			_, _, err := f.resolve()
			So(errors.Is(err, ErrTableUnavailable), ShouldBeTrue)
			_, next, _ := f.resolve()
			f.platform.commitErr = platform.ErrUnavailable
			_, err = f.store.Claim(ctx, f.call, next, core.Instance{}, "i1")
			So(errors.Is(err, ErrTableUnavailable), ShouldBeTrue)
		})
		Convey("expired records are removed, and others are kept", func() {
			So(f.claim().RecordOutcome(ctx, Outcome{Status: 201}), ShouldBeNil)
			n, err := f.store.Sweep(ctx)
			So(n, ShouldEqual, 0)
			So(err, ShouldBeNil)
			f.clock.Advance(defaultTTL)
			n, err = f.store.Sweep(ctx)
			So(n, ShouldEqual, 1)
			So(err, ShouldBeNil)
		})
	})
}

func TestVanishedEntryInstance(t *testing.T) {
	Convey("Given an attempt whose entry instance has vanished", t, func() {
		f := newFixture()
		claim := f.claim()
		Convey("the next attempt may run if the same incarnation reports that the attempt never ran", func() {
			f.status = frame.AttemptStatus{Incarnation: "i1", State: frame.AttemptNotRun}
			So(f.claim().Attempt(), ShouldEqual, 2)
			So(errors.Is(claim.RecordOutcome(context.Background(), Outcome{}), ErrAlreadyClaimed), ShouldBeTrue)
		})
		Convey("the outcome is unknown if another incarnation reports that the attempt never ran", func() {
			f.status = frame.AttemptStatus{Incarnation: "i2", State: frame.AttemptNotRun}
			_, _, err := f.resolve()
			So(err, ShouldEqual, ErrOutcomeUnknown)
		})
		Convey("the outcome is unknown if the attempt ran and no outcome was kept, or if the agent cannot be queried", func() {
			f.status = frame.AttemptStatus{Incarnation: "i1", State: frame.AttemptRan}
			_, _, err := f.resolve()
			So(err, ShouldEqual, ErrOutcomeUnknown)
			f.queryErr = errors.New("no route")
			_, _, err = f.resolve()
			So(err, ShouldEqual, ErrOutcomeUnknown)
		})
		Convey("an outcome that the agent has kept is recorded and replayed", func() {
			f.status = frame.AttemptStatus{Incarnation: "i1", State: frame.AttemptRan, Outcome: &frame.Outcome{Status: 201, Body: []byte(strings.Repeat("b", 40))}}
			for range 2 {
				o, _, err := f.resolve()
				So(err, ShouldBeNil)
				So(o.Body, ShouldHaveLength, 40)
			}
			So(f.queryCount, ShouldEqual, 1)
		})
		Convey("the agent is queried about a lost attempt at once", func() {
			So(claim.RecordLost(context.Background()), ShouldBeNil)
			f.status = frame.AttemptStatus{Incarnation: "i1", State: frame.AttemptNotRun}
			_, next, err := f.resolve()
			So(err, ShouldBeNil)
			So(next.Attempt, ShouldEqual, 2)
			So(f.queryCount, ShouldEqual, 1)
		})
	})
}
