package loading

import (
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/spread"
)

func TestNeededVersions(t *testing.T) {
	versions := func(numbers ...int) []WantedVersion {
		var all []WantedVersion
		for _, n := range numbers {
			all = append(all, WantedVersion{Model: model, Version: n})
		}
		return all
	}
	in := func(numbers ...int) func(WantedVersion) bool {
		return func(w WantedVersion) bool { return containsVersion(versions(numbers...), w.Version) }
	}

	Convey("The newest version, the newest fetched one and the oldest fetch after it are needed", t, func() {
		So(neededVersions(nil, in(), in()), ShouldBeEmpty)
		So(neededVersions(versions(2, 3, 4), in(), in()), ShouldResemble, versions(4))
		So(neededVersions(versions(2, 3, 4), in(), in(2, 3)), ShouldResemble, versions(2, 4))
		So(neededVersions(versions(2, 3, 4, 5), in(2, 3), in(4)), ShouldResemble, versions(3, 4, 5))
		So(neededVersions(versions(2, 3, 4), in(3), in(2)), ShouldResemble, versions(3, 4))
		So(neededVersions(versions(2, 3), in(2, 3), in()), ShouldResemble, versions(3))
		So(neededVersions(versions(2), in(), in(2)), ShouldResemble, versions(2))
	})
}

// Guards against a store that is full of versions that will never be loaded, so that the
// newest one finds no room.
func TestManyVersionsInSuccession(t *testing.T) {
	for held, name := range map[int]string{0: "is empty", 1: "holds an older version"} {
		Convey("A server that "+name+" and refuses to load loads the newest of many versions later", t, func() {
			server := newFakeServer()
			server.heldVersion = held
			var accepts atomic.Bool
			server.onLoad = func(int) error {
				if !accepts.Load() {
					return errors.New("refused")
				}
				return nil
			}
			f := newFixtureWith(t, server, fakeOrigin{}, 0)
			for version := 2; version <= 12; version++ {
				f.declare(version)
				So(wait.Until(func() bool { return f.hasFetched(version) }), ShouldBeTrue)
			}
			accepts.Store(true)
			So(wait.Until(func() bool { return f.serves(12) }), ShouldBeTrue)
		})
	}

	Convey("A superseded fetch ends", t, func() {
		origin := &spoiltOrigin{addr: "later"}
		f := newFixtureWith(t, newFakeServer(), origin, 0)
		f.declare(2)
		So(wait.Until(func() bool { return f.isFetching(2) }), ShouldBeTrue)
		f.declare(3)
		So(wait.Until(func() bool { return f.isFetching(3) && !f.isFetching(2) }), ShouldBeTrue)
		f.declareAt(3, "later")
		So(wait.Until(func() bool { return f.serves(3) }), ShouldBeTrue)
		// Each worker of the superseded fetch may complete the read that it has begun.
		_, chunks := origin.reads()
		So(chunks, ShouldBeLessThanOrEqualTo, chunkCount+spread.DefaultMaxOwnedFetches)
	})
}

func (f *fixture) hasFetched(version int) bool {
	f.loader.mu.Lock()
	defer f.loader.mu.Unlock()
	return f.loader.fetched[versionKey{model, version}]
}

func (f *fixture) isFetching(version int) bool {
	f.loader.mu.Lock()
	defer f.loader.mu.Unlock()
	_, ok := f.loader.fetching[versionKey{model, version}]
	return ok
}
