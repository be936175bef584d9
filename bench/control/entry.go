package control

import (
	"context"

	"github.com/rattanway/rattanway/connection/registry"
)

// Factors for the units in the report.
const (
	kib = 1 << 10
	// percent converts cores to per cent of a core.
	percent = 100
)

// changesPerWindow is the number of changes made in one window. The reported cost
// of a change is the mean of these changes.
const changesPerWindow = 5

// entrySeries holds the series that are measured at the entry instance under test,
// with several numbers of registered agents.
type entrySeries struct {
	memory, rss, cpu, traffic, changeCPU, changeTraffic *Series
	// joinCPU, joinTraffic and joinTime are the processor time, the traffic and the
	// length of a join. A join lasts from the start of all agents until each of
	// them has registered and fetched the complete configuration.
	joinCPU, joinTraffic, joinTime *Series
}

// newEntrySeries returns empty series with their names, units, targets and limits.
func newEntrySeries() entrySeries {
	registered := AgentsPerEntry(targetServerCount, HomesPerAgent(defaultMaxLocal, defaultPerRemote))
	agents := float64(registered)
	targetReportRate := reportsPerSecond(registered, reportIntervalAtTarget(registered))
	const sizeUnit = "agent"
	return entrySeries{
		memory:        newSeries("entry: live memory", sizeUnit, "KiB", agents, LimitMemory/kib),
		rss:           newSeries("entry: resident set", sizeUnit, "KiB", agents, LimitMemory/kib),
		cpu:           newSeries("entry: CPU in steady state", sizeUnit, "% of a core", agents, LimitCPU*percent),
		traffic:       newSeries("entry: registrations in steady state", "report/s", "B/s", targetReportRate, LimitTraffic),
		changeCPU:     newSeries("entry: CPU for a change", sizeUnit, "ms", agents, 0),
		changeTraffic: newSeries("entry: registrations for a change", sizeUnit, "B", agents, 0),
		joinCPU:       newSeries("entry: CPU when all register at once", sizeUnit, "ms", agents, 0),
		joinTraffic:   newSeries("entry: traffic when all register at once", sizeUnit, "KiB", agents, 0),
		joinTime:      newSeries("entry: time until all have registered", sizeUnit, "ms", agents, 0),
	}
}

// all returns every series in the order of the report.
func (s entrySeries) all() []*Series {
	return []*Series{s.memory, s.rss, s.cpu, s.traffic, s.changeCPU, s.changeTraffic, s.joinCPU, s.joinTraffic, s.joinTime}
}

// measureEntry measures the entry instance under test with each number of
// registered agents.
func (t *testbed) measureEntry(ctx context.Context, r *Report) error {
	entryProxy, err := newProxy(t.opt.EntryAddr)
	if err != nil {
		return err
	}
	defer func() { _ = entryProxy.Close() }()
	series := newEntrySeries()
	r.Series = append(r.Series, series.all()...)
	for _, n := range t.opt.AgentCounts {
		if err := t.measureEntryAt(ctx, entryProxy, n, series); err != nil {
			return err
		}
	}
	return nil
}

// measureEntryAt measures the entry instance under test with n registered agents.
func (t *testbed) measureEntryAt(ctx context.Context, entryProxy *proxy, n int, series entrySeries) error {
	entryProbe := probe{addr: t.opt.EntryAddr, token: t.opt.PeerToken}
	stop, err := t.measureJoin(ctx, entryProbe, entryProxy, n, series)
	if err != nil {
		return err
	}
	defer stop()
	if err := sleep(ctx, t.opt.SettleTime); err != nil {
		return err
	}
	steady, err := measureWindow(ctx, entryProbe, t.opt.SteadyWindow, entryProxy.traffic)
	if err != nil {
		return err
	}
	x := float64(n)
	series.memory.add(x, steady.from.memory()/kib)
	series.rss.add(x, steady.to.rssBytes/kib)
	series.cpu.add(x, percent*cpuCores(steady.from, steady.to))
	series.traffic.add(reportsPerSecond(n, registry.DefaultHeartbeatInterval), steady.traffic[0]/steady.seconds())

	changeWindow, err := t.measureChanges(ctx, entryProbe, entryProxy.traffic)
	if err != nil {
		return err
	}
	series.changeCPU.add(x, changeWindow.extraCPU(steady)/changesPerWindow*1e3)
	series.changeTraffic.add(x, changeWindow.extraTraffic(steady)/changesPerWindow)
	return nil
}

// measureJoin starts n agents at once and measures the processor time, traffic and
// time until each of them has registered and has the configuration. The returned
// function stops the agents.
func (t *testbed) measureJoin(ctx context.Context, entryProbe probe, entryProxy *proxy, n int, series entrySeries) (stop func(), err error) {
	from, err := entryProbe.readAfterGC(ctx)
	if err != nil {
		return nil, err
	}
	before := entryProxy.traffic.wireBytes()
	stop, err = t.startAgents(ctx, entryProxy.Addr().String(), n)
	if err != nil {
		return stop, err
	}
	to, err := entryProbe.read(ctx)
	if err != nil {
		return stop, err
	}
	x := float64(n)
	series.joinCPU.add(x, (to.cpuTime-from.cpuTime).Seconds()*1e3)
	series.joinTraffic.add(x, (entryProxy.traffic.wireBytes()-before)/kib)
	series.joinTime.add(x, to.at.Sub(from.at).Seconds()*1e3)
	return stop, nil
}

// measureChanges measures a daemon over a window in which changesPerWindow
// configuration changes are made.
func (t *testbed) measureChanges(ctx context.Context, p probe, counted ...*traffic) (window, error) {
	var w window
	var err error
	if w.from, err = p.readAfterGC(ctx); err != nil {
		return w, err
	}
	before := wireBytes(counted)
	set := t.declaredSet(t.opt.DeclaredServers)
	for range changesPerWindow {
		t.changeLimit(set)
		if _, err := t.apply(ctx, set); err != nil {
			return w, err
		}
		if err := sleep(ctx, t.opt.ChangeInterval); err != nil {
			return w, err
		}
	}
	if w.to, err = p.read(ctx); err != nil {
		return w, err
	}
	for i, after := range wireBytes(counted) {
		w.traffic = append(w.traffic, after-before[i])
	}
	return w, nil
}

// extraCPU returns the processor time of the window minus the processor time of a
// steady state of the same length, in seconds.
func (w window) extraCPU(steady window) float64 {
	return w.cpuSeconds() - cpuCores(steady.from, steady.to)*w.seconds()
}

// extraTraffic returns the traffic of the window minus the traffic of a steady
// state of the same length, in bytes.
func (w window) extraTraffic(steady window) float64 {
	return w.traffic[0] - steady.traffic[0]/steady.seconds()*w.seconds()
}
