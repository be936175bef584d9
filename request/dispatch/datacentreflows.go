package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// maxFlows limits the number of other data centres whose flows are kept.
	maxFlows = 64
	// flowLogInterval is the least time between two logged reductions of a window.
	flowLogInterval = time.Second
	// flowRestLogged is the time without a request to a data centre after which the next
	// one is logged.
	flowRestLogged = 5 * time.Second
)

var (
	eventFlowBegins = eventlog.Define(571, "data-centre-flow", logrus.InfoLevel,
		"This entry instance sends requests to the model servers of another data centre, after 5 s or more without any. window is the number of requests without a first event that it may have there, wayMs the time that the way is expected to add.")
	eventFlowReduced = eventlog.Define(572, "data-centre-flow-reduced", logrus.InfoLevel,
		"First events from another data centre come much later than expected, or attempts there fail, so fewer requests are sent there; unlogged is the number of such reductions since the last logged one.")
)

// flowMetrics are the metrics of the flow to one data centre.
type flowMetrics struct {
	sent           metrics.Counter
	window, excess metrics.Gauge
}

// dataCentreFlows holds the flows to all other data centres.
type dataCentreFlows struct {
	byDataCentre map[string]*dataCentreFlow
	// limit is the largest number of these; without a flow, a data centre is chosen
	// without regard to the way and without a window.
	limit int
	// here is the excess at the servers of the own data centre.
	here     meanExcess
	registry metrics.Registry
	log      *eventlog.Logger
}

func newDataCentreFlows(registry metrics.Registry, log *eventlog.Logger) dataCentreFlows {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return dataCentreFlows{limit: maxFlows, byDataCentre: map[string]*dataCentreFlow{}, registry: registry, log: log}
}

// of returns the flow to a data centre; nil if there are too many.
func (d *dataCentreFlows) of(dataCentre string) *dataCentreFlow {
	f, ok := d.byDataCentre[dataCentre]
	if ok || len(d.byDataCentre) >= d.limit {
		return f
	}
	prefix := "data-centres." + dataCentre
	f = &dataCentreFlow{window: startWindow, choice: -1, metrics: flowMetrics{
		sent:   metrics.GetOrRegisterCounter(prefix+".sent", d.registry),
		window: metrics.GetOrRegisterGauge(prefix+".window", d.registry),
		excess: metrics.GetOrRegisterGauge(prefix+".excess.nanoseconds", d.registry),
	}}
	d.byDataCentre[dataCentre] = f
	return f
}

// heard records that the counts of another data centre were reported.
func (d *dataCentreFlows) heard(dataCentre string, now time.Time) {
	if f := d.of(dataCentre); f != nil {
		f.heardAt = now
	}
}

// declaredWay returns the declared delays from one data centre to another and back. A
// delay that is declared for one direction holds for both.
func declaredWay(e *catalog.Engine, from, to string) time.Duration {
	var there, back time.Duration
	for _, d := range e.Delays {
		switch {
		case d.From == from && d.To == to:
			there = d.Delay
		case d.From == to && d.To == from:
			back = d.Delay
		}
	}
	if there == 0 || back == 0 {
		return 2 * max(there, back)
	}
	return there + back
}

// prepareFlows sets, for the candidates of other data centres, the time that the way adds,
// and defers those that must not get this request: the flow to their data centre is at its
// limit, or the first event is expected after the deadline. The caller holds s.mu.
func (s *Scheduler) prepareFlows(all []Candidate, req *Request, now time.Time) {
	var engine *catalog.Engine
	here, needed, remote := time.Duration(0), true, false
	for i := range all {
		c := &all[i]
		if !c.Slot.Remote {
			needed = needed && !c.hasFreeSlot()
			continue
		}
		if !remote {
			remote, engine = true, s.holder.Current().Config.Services[req.Service].Engine
			here = s.flows.here.atTime(now)
		}
		f := s.flows.of(c.Slot.Server.DataCentre)
		if f == nil {
			continue
		}
		if f.choice != s.choiceCount {
			if f.declared != engine {
				f.declared, f.delay = engine, declaredWay(engine, s.cfg.DataCentre, c.Slot.Server.DataCentre)
			}
			f.refresh(s.choiceCount, wayTo(f.delay, f.excess.atTime(now), here), now)
		}
		c.flow, c.Way = f, f.way
		f.freeSlotCount += max(0, c.Limit-c.Slot.RunningCount)
	}
	if !remote {
		return
	}
	count, left := s.peers.activeCount(true), req.Deadline.Sub(now)
	for i := range all {
		if c := &all[i]; c.flow != nil && (!c.flow.allows(count, needed) || c.firstEventTime() > left) {
			c.Deferred = true
		}
	}
}

// startFlow records that a request is sent to a server of another data centre.
func (d *dataCentreFlows) startFlow(r *slotWork, c *Candidate, now time.Time) {
	f := c.flow
	if f == nil {
		return
	}
	if now.Sub(f.lastSendAt) >= flowRestLogged {
		d.log.Event(eventFlowBegins, eventlog.Fields{
			"dataCentre": c.Slot.Server.DataCentre, "wayMs": f.way.Milliseconds(), "window": int(f.window), "freeSlots": f.freeSlotCount,
		})
	}
	r.flow, r.way = f, c.Way
	f.send(now)
}

// recordFirstEvent records the first event of a request that has not ended.
func (d *dataCentreFlows) recordFirstEvent(slot Slot, now time.Time) {
	r := slot.work
	observed := now.Sub(r.assignedAt)
	f := r.flow
	if f == nil {
		if !slot.Remote {
			d.here.observe(observed-r.expected, now)
		}
		return
	}
	f.excess.observe(observed-r.expected-f.delay, now)
	if isLate(observed, r.expected+r.way, f.excess.atTime(now)-d.here.atTime(now)) {
		d.reduce(f, slot, "late", now)
	} else {
		f.grow()
	}
	f.inFlight--
	d.measure(f, now)
}

// recordEnd records the end of a request. One that had no first event leaves the flow in
// [serverState.end].
func (d *dataCentreFlows) recordEnd(slot Slot, o Outcome, now time.Time) {
	r := slot.work
	if r == nil || r.flow == nil || r.ended || r.contextTokens > 0 {
		return
	}
	f := r.flow
	switch o {
	case Full, Unreachable, Broken, Stalled:
		// A refusal has cost the request a round trip, another failure more.
		f.excess.observe(now.Sub(r.assignedAt), now)
		d.reduce(f, slot, o.String(), now)
	case Served:
		f.grow()
	case Cancelled, Misdirected, Moved, Outdated, Paused:
	}
	d.measure(f, now)
}

// reduce halves the window of a flow because of a request at a slot.
func (d *dataCentreFlows) reduce(f *dataCentreFlow, slot Slot, reason string, now time.Time) {
	if !f.halve(now) {
		return
	}
	if now.Sub(f.lastLogAt) < flowLogInterval {
		f.unloggedCount++
		return
	}
	d.log.Event(eventFlowReduced, eventlog.Fields{
		"dataCentre": slot.Server.DataCentre, "reason": reason, "window": int(f.window), "excessMs": f.excess.atTime(now).Milliseconds(), "unlogged": f.unloggedCount,
	})
	f.lastLogAt, f.unloggedCount = now, 0
}

// measure updates the metrics of a flow.
func (d *dataCentreFlows) measure(f *dataCentreFlow, now time.Time) {
	f.metrics.window.Update(int64(f.window))
	f.metrics.excess.Update(int64(f.excess.atTime(now)))
}
