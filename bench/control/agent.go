package control

import (
	"context"

	"github.com/rattanway/rattanway/connection/registry"
)

// measureAgent measures the agent under test with each number of homes in
// Options.HomeCounts.
func (t *testbed) measureAgent(ctx context.Context, r *Report) error {
	targetHomes := HomesPerAgent(defaultMaxLocal, defaultPerRemote)
	target := float64(targetHomes)
	targetReportRate := reportsPerSecond(targetHomes, reportIntervalAtTarget(AgentsPerEntry(targetServerCount, targetHomes)))
	const sizeUnit = "home"
	memory := newSeries("agent: live memory", sizeUnit, "KiB", target, LimitMemory/kib)
	rss := newSeries("agent: resident set", sizeUnit, "KiB", target, LimitMemory/kib)
	cpu := newSeries("agent: CPU in steady state", sizeUnit, "% of a core", target, LimitCPU*percent)
	reportTraffic := newSeries("agent: registrations in steady state", "report/s", "B/s", targetReportRate, LimitTraffic)
	changeCPU := newSeries("agent: CPU for a change", sizeUnit, "ms", target, 0)
	changeTraffic := newSeries("agent: registrations for a change", sizeUnit, "B", target, 0)
	r.Series = append(r.Series, memory, rss, cpu, reportTraffic, changeCPU, changeTraffic)

	agentProbe := probe{addr: t.opt.AgentAddr, token: t.opt.PeerToken}
	var registrationTraffic traffic
	startedCount := 0
	for _, n := range t.opt.HomeCounts {
		if err := t.startEntries(ctx, n-startedCount, startedCount, &registrationTraffic); err != nil {
			return err
		}
		startedCount = n
		if err := sleep(ctx, t.opt.SettleTime); err != nil {
			return err
		}
		steady, err := measureWindow(ctx, agentProbe, t.opt.SteadyWindow, &registrationTraffic)
		if err != nil {
			return err
		}
		// The entry instance under test is one more home. Its traffic is not
		// counted.
		homeCount := float64(n + 1)
		memory.add(homeCount, steady.from.memory()/kib)
		rss.add(homeCount, steady.to.rssBytes/kib)
		cpu.add(homeCount, percent*cpuCores(steady.from, steady.to))
		reportTraffic.add(reportsPerSecond(n, registry.DefaultHeartbeatInterval), steady.traffic[0]/steady.seconds())
		changeWindow, err := t.measureChanges(ctx, agentProbe, &registrationTraffic)
		if err != nil {
			return err
		}
		changeCPU.add(homeCount, changeWindow.extraCPU(steady)/changesPerWindow*1e3)
		changeTraffic.add(float64(n), changeWindow.extraTraffic(steady)/changesPerWindow)
	}
	return nil
}
