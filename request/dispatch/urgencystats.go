package dispatch

import (
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var eventPrioritiesInUse = eventlog.Define(560, "priorities-in-use", logrus.InfoLevel,
	"The requests to a service have other priorities than before, according to a new configuration. With several priorities, requests wait by priority as long as they can meet their objective, and less urgent ones leave slots free; with none or one, the field priorities is empty, and requests wait for a fixed share of their objective.")

// countedPriorities is the number of priorities that are counted separately; larger ones count
// as the last.
const countedPriorities = 10

// urgencyStats holds the metrics of the services whose requests have several priorities.
type urgencyStats struct {
	// refused and waited count the requests that got no slot, and those that waited for one,
	// by priority.
	refused, waited [countedPriorities]metrics.Counter
	// reserved is the number of priorities for which slots are reserved.
	reserved metrics.Gauge
}

// newUrgencyStats returns metrics that are registered in r.
func newUrgencyStats(r metrics.Registry) *urgencyStats {
	st := &urgencyStats{reserved: metrics.GetOrRegisterGauge("slots.reserved", r)}
	for p := range countedPriorities {
		st.refused[p] = metrics.GetOrRegisterCounter(fmt.Sprintf("slots.refused.priority-%d", p), r)
		st.waited[p] = metrics.GetOrRegisterCounter(fmt.Sprintf("slots.waited.priority-%d", p), r)
	}
	return st
}

// countedAs returns the index under which a priority is counted.
func countedAs(priority int) int { return min(max(0, priority), countedPriorities-1) }

// logPriorities logs the priorities of a service if they have changed.
func (s *Scheduler) logPriorities(service string, levels []PriorityLevel) {
	s.cfg.Log.Event(eventPrioritiesInUse, eventlog.Fields{"service": service, "priorities": fmt.Sprint(levels)})
}
