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

// leastWindow is the shortest time in which the servers may change over to a
// newer version in place of the one whose turn it is; in less, too many of them
// would load at once.
const leastWindow = 1500 * time.Millisecond

// Turn returns when the server of agent self is to change over from the version
// that it holds. declared are the versions that are newer, oldest first. Usually
// that is its turn for the oldest of them. When a newer one comes soon enough
// to be loaded in its place, the turns wait for that. The order of the agents is
// the same everywhere and differs from version to version.
func (t Turns) Turn(declared []Wanted, agents []spread.Peer, self string) time.Time {
	oldest, newest := declared[0], declared[len(declared)-1]
	first, last := oldest.Known.Add(t.First), oldest.Known.Add(t.Last)
	if later := newest.Known.Add(t.First); later.After(first) && last.Sub(later) >= leastWindow {
		first = later
	}
	before := 0
	own := rank(oldest, self)
	for _, a := range agents {
		if a.ID != self && rank(oldest, a.ID) < own {
			before++
		}
	}
	step := last.Sub(first) / time.Duration(max(1, len(agents)-1))
	return first.Add(time.Duration(before) * step)
}

// rank orders agents for a version.
func rank(w Wanted, agent string) uint64 {
	return xxhash.Sum64String(w.Model + "/" + strconv.Itoa(w.Version) + "/" + agent)
}

// declaredVersions remembers the versions of one model, oldest first.
type declaredVersions []Wanted

// add notes a version with the earliest time it was heard of. It reports
// whether the version was not known.
func (d *declaredVersions) add(w Wanted) bool {
	i, found := slices.BinarySearchFunc(*d, w.Version, func(o Wanted, v int) int { return o.Version - v })
	if !found {
		*d = slices.Insert(*d, i, w)
		return true
	}
	if w.Known.Before((*d)[i].Known) {
		(*d)[i].Known = w.Known
	}
	return false
}

// after returns the versions that are newer than a held one. While none is held
// only the newest counts.
func (d declaredVersions) after(held int) []Wanted {
	if held == 0 && len(d) > 0 {
		return slices.Clone(d[len(d)-1:])
	}
	i, _ := slices.BinarySearchFunc(d, held+1, func(o Wanted, v int) int { return o.Version - v })
	return slices.Clone(d[i:])
}
