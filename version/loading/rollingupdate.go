package loading

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/version/spread"
)

// RollingUpdate schedules the rolling update of the servers to a new version.
// From the load order on, a server accepts no new requests until its running
// requests have ended and the weights are loaded. The loads are therefore spread
// over the time in which the previous version may still be served, so that the
// other servers can handle the requests even under full load.
type RollingUpdate struct {
	// FirstAge and LastAge are the ages of a version, counted from its
	// declaration, at which the first and the last server load the version.
	FirstAge, LastAge time.Duration
	// UsableFor is the age of a version from which on entry instances use no older ones.
	UsableFor time.Duration
}

// minUpdateWindow is the least time between the first and the last load when the
// first load is delayed for a newer version. In less time too many servers would
// load at once.
const minUpdateWindow = 1500 * time.Millisecond

// LoadAt returns the time at which the server of the agent with ID self should
// load. declared holds the versions newer than the version that the server holds,
// oldest first. The servers load one after another, at even intervals, while the
// age of the oldest of these versions is between FirstAge and LastAge. If the
// newest version reaches FirstAge at least minUpdateWindow before the last load,
// the first load is delayed until then, so that the servers can load the newest
// version instead. Every agent computes the same order of agents, and the order
// differs between versions.
func (u RollingUpdate) LoadAt(declared []WantedVersion, agents []spread.Peer, self string) time.Time {
	first, last := u.window(declared)
	return first.Add(time.Duration(shareBefore(declared[0], agents, self) * float64(last.Sub(first))))
}

// window returns the times of the first and the last load.
func (u RollingUpdate) window(declared []WantedVersion) (first, last time.Time) {
	oldest, newest := declared[0], declared[len(declared)-1]
	first, last = oldest.DeclaredAt.Add(u.FirstAge), oldest.DeclaredAt.Add(u.LastAge)
	if newestFirst := newest.DeclaredAt.Add(u.FirstAge); newestFirst.After(first) && last.Sub(newestFirst) >= minUpdateWindow {
		first = newestFirst
	}
	return first, last
}

// shareBefore returns the position of the agent with ID self in the order of the agents for
// a version, as a share of the other agents: 0 for the first and 1 for the last.
func shareBefore(w WantedVersion, agents []spread.Peer, self string) float64 {
	position := 0
	selfHash := orderHash(w, self)
	for _, a := range agents {
		if a.ID != self && orderHash(w, a.ID) < selfHash {
			position++
		}
	}
	return float64(position) / float64(max(1, len(agents)-1))
}

// orderHash returns the key by which agents are sorted for a version.
func orderHash(w WantedVersion, agent string) uint64 {
	return xxhash.Sum64String(w.Model + "/" + strconv.Itoa(w.Version) + "/" + agent)
}

// declaredVersions holds the declared versions of one model, oldest first.
type declaredVersions []WantedVersion

// add adds w, or, if the version is already present, keeps the earlier of the two
// declaration times. It reports whether the version is new.
func (d *declaredVersions) add(w WantedVersion) bool {
	i, found := slices.BinarySearchFunc(*d, w.Version, func(o WantedVersion, v int) int { return o.Version - v })
	if !found {
		*d = slices.Insert(*d, i, w)
		return true
	}
	if w.DeclaredAt.Before((*d)[i].DeclaredAt) {
		(*d)[i].DeclaredAt = w.DeclaredAt
	}
	return false
}

// newest returns the number of the newest version; 0 if there is none.
func (d declaredVersions) newest() int {
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Version
}

// newerThan returns the versions that are newer than version. If version is 0,
// which means that the server holds no version, newerThan returns only the newest
// version.
func (d declaredVersions) newerThan(version int) []WantedVersion {
	if version == 0 && len(d) > 0 {
		return slices.Clone(d[len(d)-1:])
	}
	i, _ := slices.BinarySearchFunc(d, version+1, func(o WantedVersion, v int) int { return o.Version - v })
	return slices.Clone(d[i:])
}
