package loading

import (
	"maps"
	"math"

	"github.com/rattanway/rattanway/process/eventlog"
)

// recordReport logs changes since the previous report and publishes the state. It
// reports whether the server's weights may be used; until then it publishes that the
// server is loading.
func (l *Loader) recordReport(r Report) bool {
	l.mu.Lock()
	restarted := l.hasReport && r.StartUnixMs != l.serverStartUnixMs
	l.hasReport, l.reportedAt, l.serverStartUnixMs = true, l.cfg.Clock.Now(), r.StartUnixMs
	last := l.state
	l.proof.observe(r)
	usable, proven := l.proof.usable(r), last.Proven
	// Without an order of this process, the load is one that an earlier agent ordered.
	loading := r.Busy && (last.Loading || l.ordered.version == 0)
	if usable {
		proven = l.proof.load(r)
	}
	l.mu.Unlock()
	if restarted || usable && !maps.Equal(last.Weights, r.Weights) {
		l.cfg.Log.Event(eventServerChanged, eventlog.Fields{"weights": r.Weights, "startedAnew": restarted, "orders": r.AcceptedOrderCount})
	}
	if usable {
		l.publish(ServerState{Weights: r.Weights, Loading: loading, Pace: paceToPublish(last.Pace, r.Pace), Proven: proven})
	} else {
		l.publish(ServerState{Weights: last.Weights, Loading: true, Pace: paceToPublish(last.Pace, r.Pace), Proven: proven})
	}
	return usable
}

// publish stores the state s and, if it has changed, calls Config.Publish.
func (l *Loader) publish(s ServerState) {
	l.mu.Lock()
	same := maps.Equal(l.state.Weights, s.Weights) && l.state.Loading == s.Loading && l.state.Pace == s.Pace && l.state.Proven.equal(s.Proven)
	l.state = s
	l.mu.Unlock()
	if !same {
		l.cfg.Publish(s)
	}
}

// publishedPaceFactor is the least factor between two paces that are published one after the
// other. Each is a message to every connected entry instance.
const publishedPaceFactor = 1.5

// paceToPublish returns the pace to publish after a report, given the one that was published
// last: the reported one if it differs enough. A server whose pace is not known counts as one
// that is as fast as declared.
func paceToPublish(last, reported float64) float64 {
	if !validPace(reported) {
		return last
	}
	before := last
	if before == 0 {
		before = 1
	}
	if ratio := reported / before; ratio >= publishedPaceFactor || ratio <= 1/publishedPaceFactor {
		return reported
	}
	return last
}

// validPace reports whether a reported number can be a pace.
func validPace(pace float64) bool { return pace > 0 && !math.IsInf(pace, 0) }
