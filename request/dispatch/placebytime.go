package dispatch

import (
	"slices"
	"time"
)

// firstEventTime returns the expected time to the first event at the server, with the way
// to it. Each request of the penalty counts as half a pass, the smallest difference of times,
// as one request is the smallest difference of loads.
func (c *Candidate) firstEventTime() time.Duration {
	return c.Expected + c.Way + time.Duration(c.Penalty*float64(c.HalfPass))
}

// ChooseByTime returns the index of a candidate with a free slot, or -1 if there is none,
// like [ChooseCandidate]. It chooses among the candidates of the own data centre whose first
// event is expected earliest, unless preferRemote names one elsewhere. unseen is the number
// of requests of other entry instances that their reports have not shown yet: as many
// candidates count as equally good, since the best one would get a request from each. sorted
// is memory for the choice, which it returns for the next one.
func ChooseByTime(all []Candidate, start, unseen int, sorted []time.Duration) (int, []time.Duration) {
	local, sorted := earliest(all, start, unseen, false, sorted)
	remote, sorted := earliest(all, start, unseen, true, sorted)
	switch {
	case local < 0:
		return remote, sorted
	case remote >= 0 && preferRemote(&all[local], &all[remote]):
		return remote, sorted
	}
	return local, sorted
}

// earliest returns the index of the candidate to choose within the own data centre or, if
// remote is true, outside it; -1 if none has a free slot. The unseen+1 candidates whose first
// event is expected earliest, up to half of all, are equally good. Of these it chooses the
// first from index start on, so that they are used in turn: entry instances that chose the
// least loaded one would all choose the same.
func earliest(all []Candidate, start, unseen int, remote bool, sorted []time.Duration) (int, []time.Duration) {
	sorted = sorted[:0]
	for i := range all {
		if c := &all[i]; c.Slot.Remote == remote && c.hasFreeSlot() {
			sorted = append(sorted, c.firstEventTime())
		}
	}
	if len(sorted) == 0 {
		return -1, sorted
	}
	slices.Sort(sorted)
	latest := sorted[min(unseen, (len(sorted)-1)/2)]
	for k := range all {
		i := (k + start) % len(all)
		if c := &all[i]; c.Slot.Remote == remote && c.hasFreeSlot() && c.firstEventTime() <= latest {
			return i, sorted
		}
	}
	return -1, sorted
}
