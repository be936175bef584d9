package loading

import (
	"maps"

	"github.com/rattanway/rattanway/process/eventlog"
)

// recordReport logs changes since the previous report and publishes the state.
func (l *Loader) recordReport(r Report) {
	l.mu.Lock()
	restarted := l.hasReport && r.StartUnixMs != l.serverStartUnixMs
	l.hasReport, l.serverStartUnixMs = true, r.StartUnixMs
	loading := l.state.Loading
	same := maps.Equal(l.state.Weights, r.Weights)
	l.mu.Unlock()
	if restarted || !same {
		l.cfg.Log.Event(eventServerChanged, eventlog.Fields{"weights": r.Weights, "startedAnew": restarted, "orders": r.AcceptedOrderCount})
	}
	l.publish(ServerState{Weights: r.Weights, Loading: loading && r.Busy})
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
