package catalog

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against weights that become mandatory too late, because their declaration was
// read late from a store whose open connections had gone silent.
func TestDeclarationReadAfterADeadConnection(t *testing.T) {
	timeout := errors.Wrap(context.DeadlineExceeded, "feed")
	for name, c := range map[string]struct {
		failures []error
		// age is the age that the version must have when it is read.
		age time.Duration
	}{
		"without a failed call":                     {nil, 0},
		"after a call that got no response":         {[]error{timeout}, 3 * time.Second},
		"after a reset":                             {[]error{errDown}, 0},
		"after an outage of the store":              {[]error{timeout, timeout}, 0},
		"after a reset and a call without response": {[]error{errDown, timeout}, 0},
	} {
		Convey("A version that is read "+name+" has the age "+c.age.String(), t, func() {
			f, source, clock := newFollower(TableDeclared)
			pollAll(f, source, response{rows: []Row{newRow("config", "1", 1), newRow("version/m", "1", 2)}, rev: 2}, response{rev: 2})
			for _, err := range c.failures {
				clock.Advance(3 * time.Second)
				pollAll(f, source, response{err: err})
			}
			pollAll(f, source, response{rows: []Row{newRow("version/m", "2", 5)}, rev: 5})
			w := f.holder.Current().Weights["m"]
			So(w.Version, ShouldEqual, 2)
			So(clock.Now().Sub(w.DeclaredAt), ShouldEqual, c.age)
		})
	}

	Convey("A version that a peer reports later has no such age", t, func() {
		f, source, clock := newFollower(TableDeclared)
		pollAll(f, source, response{rows: []Row{newRow("version/m", "1", 2)}, rev: 2})
		clock.Advance(3 * time.Second)
		pollAll(f, source, response{err: timeout}, response{rev: 2})
		clock.Advance(time.Minute)
		f.ApplyFromPeer(RowChanges{Since: 2, Until: 5, Rows: []Row{newRow("version/m", "2", 5)}})
		So(f.holder.Current().Weights["m"].Version, ShouldEqual, 2)
		So(f.holder.Current().Weights["m"].DeclaredAt, ShouldEqual, clock.Now())
	})

	Convey("A version that is read later has no such age", t, func() {
		f, source, clock := newFollower(TableDeclared)
		pollAll(f, source, response{rows: []Row{newRow("version/m", "1", 2)}, rev: 2})
		clock.Advance(3 * time.Second)
		pollAll(f, source, response{err: timeout}, response{rev: 2})
		clock.Advance(time.Second)
		pollAll(f, source, response{rows: []Row{newRow("version/m", "2", 5)}, rev: 5})
		So(f.holder.Current().Weights["m"].DeclaredAt, ShouldEqual, clock.Now())
	})
}
