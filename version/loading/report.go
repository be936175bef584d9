package loading

import (
	"maps"

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
	usable := l.proof.usable(r)
	l.mu.Unlock()
	if restarted || usable && !maps.Equal(last.Weights, r.Weights) {
		l.cfg.Log.Event(eventServerChanged, eventlog.Fields{"weights": r.Weights, "startedAnew": restarted, "orders": r.AcceptedOrderCount})
	}
	if usable {
		l.publish(ServerState{Weights: r.Weights, Loading: last.Loading && r.Busy})
	} else {
		l.publish(ServerState{Weights: last.Weights, Loading: true})
	}
	return usable
}

// publish stores the state s and, if it has changed, calls Config.Publish.
func (l *Loader) publish(s ServerState) {
	l.mu.Lock()
	same := maps.Equal(l.state.Weights, s.Weights) && l.state.Loading == s.Loading
	l.state = s
	l.mu.Unlock()
	if !same {
		l.cfg.Publish(s)
	}
}
