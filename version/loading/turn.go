package loading

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/version/spread"
)

// Turns answer a new version under full load: a server takes nothing new from
// its order until its running requests have ended and the weights are in
// place, so the servers change over one after the other within the time that
// the version has.
type Turns struct {
	// First is the age of a version at which the first server changes over,
	// and Last that of the last one.
	First, Last time.Duration
}

// Turn returns when the server of agent self changes over to a version that
// has been known since known. The order of the agents is the same everywhere
// and differs from version to version.
func (t Turns) Turn(w Wanted, agents []spread.Peer, self string) time.Time {
	before := 0
	own := rank(w, self)
	for _, a := range agents {
		if a.ID != self && rank(w, a.ID) < own {
			before++
		}
	}
	step := (t.Last - t.First) / time.Duration(max(1, len(agents)-1))
	return w.Known.Add(t.First + time.Duration(before)*step)
}

// rank orders agents for a version.
func rank(w Wanted, agent string) uint64 {
	return xxhash.Sum64String(w.Model + "/" + strconv.Itoa(w.Version) + "/" + agent)
}

// declaredVersions remembers since when versions of one model are known.
type declaredVersions struct {
	list []Wanted
}

// add notes a version with the earliest time it was heard of.
func (d *declaredVersions) add(w Wanted) {
	i := slices.IndexFunc(d.list, func(o Wanted) bool { return o.Version == w.Version })
	if i < 0 {
		d.list = append(d.list, w)
		return
	}
	if w.Known.Before(d.list[i].Known) {
		d.list[i].Known = w.Known
	}
}

// outdated returns when a held version was first followed by a newer one; zero
// when it was not.
func (d *declaredVersions) outdated(version int) time.Time {
	var first time.Time
	for _, w := range d.list {
		if w.Version > version && (first.IsZero() || w.Known.Before(first)) {
			first = w.Known
		}
	}
	return first
}
