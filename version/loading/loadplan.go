package loading

import "time"

const (
	// defaultLongestRest is the assumed time until the last of many streams of a server ends
	// if none has been measured. Streams last 1 to 3.5 s, and the last ones are moved.
	defaultLongestRest = 2500 * time.Millisecond
	minLongestRest     = 200 * time.Millisecond
	maxLongestRest     = 6 * time.Second
	// meanRestShare is the mean remaining time of the streams of a server as a share of the
	// longest one: 1.2 of 2.9 s for twelve streams that last 1 to 3.5 s.
	meanRestShare = 0.4
	// defaultLoadTime is the time from the end of the last stream until the weights are
	// loaded.
	defaultLoadTime = 300 * time.Millisecond
	// crowdedShare is the share of the slots of the servers that take requests from which
	// on servers that load are missing to callers.
	crowdedShare = 0.8
	// maxFleetLoadAge is how long the last message about the load of the fleet remains
	// valid. Messages come twice a second.
	maxFleetLoadAge = 2 * time.Second
)

// FleetLoad is the load of all servers of the service, as entry instances report it.
type FleetLoad struct {
	// Slots is the number of slots of the servers that take requests, and Running the
	// number of requests there.
	Slots, Running int
	// Servers is the number of all servers, and Loading the number of those that load
	// weights.
	Servers, Loading int
	// LoadDuration is the mean duration of the last loads, from the load order on; 0 if
	// there was none.
	LoadDuration time.Duration
	// At is when the message arrived; zero if there was none.
	At time.Time
}

// Occupied returns the share of the slots that are in use, of the servers that take
// requests; 0 if it is not known.
func (f FleetLoad) Occupied() float64 {
	if f.Slots <= 0 {
		return 0
	}
	return float64(f.Running) / float64(f.Slots)
}

// crowded reports whether the servers are so full that those that load are missing to
// callers.
func (f FleetLoad) crowded(now time.Time) bool {
	return !f.At.IsZero() && now.Sub(f.At) < maxFleetLoadAge && f.Occupied() >= crowdedShare
}

// emptying estimates how long servers take to empty themselves and to load.
type emptying struct {
	// longestRest is the time until the last of many streams of a server ends.
	longestRest time.Duration
	// loadTime is the time from then on until the weights are loaded.
	loadTime time.Duration
}

// of returns the expected time until the last of running streams ends. The ends of the
// streams are spread over longestRest.
func (e emptying) of(running int) time.Duration {
	return e.longestRest * time.Duration(running) / time.Duration(running+1)
}

// meanRest returns the mean remaining time of the streams of a server.
func (e emptying) meanRest() time.Duration {
	return time.Duration(meanRestShare * float64(e.longestRest))
}

// learned returns the estimate after a load that took d from the load order on, with
// running streams at the server. A load with few streams says little.
func (e emptying) learned(d time.Duration, running int) emptying {
	const fewStreams = 4
	if running < fewStreams {
		return e
	}
	seen := (d - e.loadTime) * time.Duration(running+1) / time.Duration(running)
	e.longestRest = (e.longestRest + max(minLongestRest, min(seen, maxLongestRest))) / 2
	return e
}

// loadInputs is what an agent knows when it decides on the load of its server.
type loadInputs struct {
	now time.Time
	// pending holds the versions newer than the one that the server holds, oldest first.
	pending []WantedVersion
	// chosen is the newest of them that is fetched.
	chosen WantedVersion
	// newestAt is when the newest version is expected to be fetched.
	newestAt time.Time
	// running is the number of requests at the server.
	running  int
	fleet    FleetLoad
	emptying emptying
}

// nextAfter returns the version that was declared after w.
func (in *loadInputs) nextAfter(w WantedVersion) (WantedVersion, bool) {
	for _, p := range in.pending {
		if p.Version > w.Version {
			return p, true
		}
	}
	return WantedVersion{}, false
}

// usableUntil returns when entry instances stop using versions older than w.
func (u RollingUpdate) usableUntil(w WantedVersion) time.Time { return w.DeclaredAt.Add(u.UsableFor) }

// bridgePays reports whether the server should load an older version that is fetched before
// the newest one. Each load costs the time in which the server empties itself. The bridge
// gains the time in which the held version is no longer allowed, the bridge still is, and
// the newest one is not fetched yet. Both ways are compared by the time without use from
// now until the newest version is loaded.
func (u RollingUpdate) bridgePays(in loadInputs) bool {
	next, ok := in.nextAfter(in.chosen)
	if !ok || u.UsableFor <= 0 || !in.fleet.crowded(in.now) {
		return true
	}
	heldUntil, bridgeUntil := u.usableUntil(in.pending[0]), u.usableUntil(next)
	emptyNow, emptyFull := in.emptying.of(in.running), in.emptying.longestRest
	loadedAt := in.now.Add(emptyNow + in.emptying.loadTime)
	if !loadedAt.Before(bridgeUntil) {
		return false
	}
	idleFrom, emptyDirect := heldUntil, emptyFull
	if in.now.After(heldUntil) {
		// The server gets no more requests, whether it loads or not.
		idleFrom, emptyDirect = in.now, emptyNow
	}
	direct := max(in.newestAt.Sub(idleFrom), emptyDirect)
	bridge := emptyNow + in.emptying.loadTime + max(in.newestAt.Sub(bridgeUntil), emptyFull) - in.emptying.meanRest()
	return bridge < direct
}

// fetchProgress is how much of a version has arrived.
type fetchProgress struct {
	// missing and total are numbers of chunks. total is 0 while the digests are not known.
	missing, total int
	// changedAt is when missing last changed, or the version was declared.
	changedAt time.Time
}

// maxQuietFetch is the time without a further chunk after which the origin counts as down.
// The digests take up to half a second, and each chunk passes up to three agents.
const maxQuietFetch = 1200 * time.Millisecond

// expectedAt returns when the last chunk is expected if a whole version usually takes
// usual. An origin that is down is expected to stay so for as long as it has been.
func (p fetchProgress) expectedAt(now time.Time, usual time.Duration) time.Time {
	left := usual
	if p.total > 0 {
		left = usual * time.Duration(p.missing) / time.Duration(p.total)
	}
	if quiet := now.Sub(p.changedAt); quiet > maxQuietFetch {
		left += quiet
	}
	return now.Add(left)
}
