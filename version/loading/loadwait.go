package loading

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// bridgeRecheckInterval is the pause before the decision on an older version is made
	// again.
	bridgeRecheckInterval = 100 * time.Millisecond
	// defaultFetchTime is the assumed time from the declaration of a version until all its
	// chunks have arrived if none has been measured and no origin rate is declared.
	// spreadTime is added to the time that the origin needs to send one copy.
	defaultFetchTime = 3 * time.Second
	spreadTime       = time.Second
)

// loadMetrics holds the metrics of the decisions on loads.
type loadMetrics struct {
	// occupied is the occupied share of the slots of the fleet.
	occupied gometrics.GaugeFloat64
	// longestRest is emptying.longestRest in milliseconds.
	longestRest gometrics.Gauge
	// skipped counts the decisions to wait for a newer version instead of loading one that
	// is fetched.
	skipped gometrics.Counter
}

func newLoadMetrics(r gometrics.Registry) loadMetrics {
	return loadMetrics{
		occupied:    gometrics.GetOrRegisterGaugeFloat64("load.fleet-occupied", r),
		longestRest: gometrics.GetOrRegisterGauge("load.longest-rest-ms", r),
		skipped:     gometrics.GetOrRegisterCounter("load.bridges-skipped", r),
	}
}

// SetFleetLoad records the load of the fleet as the entry instance at source reports it.
// Until the first message, and once messages no longer come, the server loads at even
// intervals.
func (l *Loader) SetFleetLoad(source string, f FleetLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.At = l.cfg.Clock.Now()
	if f.replaces(l.fleetLoad, source == l.fleetLoadSource) {
		l.fleetLoad, l.fleetLoadSource = f, source
		l.metrics.occupied.Update(f.Occupied())
	}
}

// replaces reports whether f, which has just arrived, replaces an earlier message; sameSource
// is true if both came from one entry instance. Of several entry instances the one that
// counts the most requests is used: one that is cut off from others counts fewer.
func (f FleetLoad) replaces(earlier FleetLoad, sameSource bool) bool {
	return sameSource || f.At.Sub(earlier.At) >= maxFleetLoadAge || f.Running >= earlier.Running
}

// loadWait returns how long the server should still wait before it loads the chosen
// version; 0 or less means no wait. r is the server's report.
func (l *Loader) loadWait(pending []WantedVersion, chosen WantedVersion, r Report, target Target) time.Duration {
	if wait := l.cfg.RollingUpdate.LoadAt(pending, target.Agents, l.cfg.Self).Sub(l.cfg.Clock.Now()); wait > 0 {
		return wait
	}
	in := l.loadInputs(pending, chosen, r, target)
	pays := l.cfg.RollingUpdate.bridgePays(in)
	l.logBridge(&in, pays)
	if !pays {
		return bridgeRecheckInterval
	}
	return 0
}

// loadInputs collects what this agent knows for the decision on a load.
func (l *Loader) loadInputs(pending []WantedVersion, chosen WantedVersion, r Report, target Target) loadInputs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	newest := pending[len(pending)-1]
	in := loadInputs{
		now: now, pending: pending, chosen: chosen, newestAt: now,
		running: r.RunningCount + r.QueuedCount, fleet: l.fleetLoad,
		emptying: l.emptyingOf(newest),
	}
	if chosen.Version != newest.Version {
		in.newestAt = l.progressOf(newest, now).expectedAt(now, l.usualFetchTime(newest, target))
	}
	return in
}

// emptyingOf returns the estimate for the load of w: what was measured at this server, or
// else at others, or else the default. The caller holds l.mu.
func (l *Loader) emptyingOf(w WantedVersion) emptying {
	e := emptying{longestRest: l.longestRest, loadTime: defaultLoadTime}
	if w.LoadTime > 0 {
		e.loadTime = w.LoadTime
	}
	if e.longestRest == 0 {
		e.longestRest = defaultLongestRest
		if d := l.fleetLoad.LoadDuration; d > e.loadTime {
			e.longestRest = max(minLongestRest, min(d-e.loadTime, maxLongestRest))
		}
	}
	return e
}

// recordLoad learns from a load that took d from the load order on, when the server ran
// running requests.
func (l *Loader) recordLoad(k versionKey, d time.Duration, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, _ := l.declaredVersion(k)
	if e := l.emptyingOf(w); e.learned(d, running) != e {
		l.longestRest = e.learned(d, running).longestRest
		l.metrics.longestRest.Update(l.longestRest.Milliseconds())
	}
}

// usualFetchTime returns how long the chunks of a version usually take to arrive: as the
// last version did, or else by the declared rate of the origin. The caller holds l.mu.
func (l *Loader) usualFetchTime(w WantedVersion, target Target) time.Duration {
	if l.lastFetchTime > 0 {
		return l.lastFetchTime
	}
	if target.OriginBytesPerSecond > 0 && w.ChunkCount > 0 {
		bytes := float64(w.ChunkCount) * float64(w.ChunkBytes)
		return spreadTime + time.Duration(bytes/float64(target.OriginBytesPerSecond)*float64(time.Second))
	}
	return defaultFetchTime
}

// progressOf counts the chunks of a version that have not arrived. The caller holds l.mu.
func (l *Loader) progressOf(w WantedVersion, now time.Time) fetchProgress {
	k := versionKey{w.Model, w.Version}
	digests := l.digests[k]
	missing := 0
	for _, d := range digests {
		if _, ok := l.cfg.Swarm.Store().Get(d); !ok {
			missing++
		}
	}
	p, known := l.progress[k]
	switch {
	case !known:
		p.changedAt = w.DeclaredAt
		if missing < len(digests) {
			p.changedAt = now
		}
	case p.missing != missing || p.total != len(digests):
		p.changedAt = now
	}
	p.missing, p.total = missing, len(digests)
	l.progress[k] = p
	return p
}

// recordFetched records that all chunks of a version have arrived. The caller holds l.mu.
func (l *Loader) recordFetched(w WantedVersion, heldByServer bool) {
	delete(l.progress, versionKey{w.Model, w.Version})
	if age := l.cfg.Clock.Now().Sub(w.DeclaredAt); !heldByServer && age > 0 && age < maxUsualFetchTime {
		l.lastFetchTime = age
	}
}

// maxUsualFetchTime is the longest time that counts as usual. A fetch through an outage of
// the origin says nothing about the next one.
const maxUsualFetchTime = 6 * time.Second

// logBridge logs the decision on a version for which a newer one is declared, when it
// changes.
func (l *Loader) logBridge(in *loadInputs, pays bool) {
	newest := in.pending[len(in.pending)-1]
	if in.chosen.Version == newest.Version {
		return
	}
	l.mu.Lock()
	d := bridgeDecision{in.chosen.Version, newest.Version, pays}
	same := l.bridge[in.chosen.Model] == d
	l.bridge[in.chosen.Model] = d
	l.mu.Unlock()
	if same {
		return
	}
	if !pays {
		l.metrics.skipped.Inc(1)
	}
	l.cfg.Log.Event(eventBridge, eventlog.Fields{
		"model": in.chosen.Model, "version": in.chosen.Version, "newest": newest.Version, "load": pays,
		"newestInMs": in.newestAt.Sub(in.now).Milliseconds(), "running": in.running, "occupied": in.fleet.Occupied(),
		"emptyMs": in.emptying.of(in.running).Milliseconds(),
	})
}

// bridgeDecision is a decision on a version for which a newer one is declared.
type bridgeDecision struct {
	version, newest int
	load            bool
}
