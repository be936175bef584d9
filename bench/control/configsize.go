package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/version/declare"
)

// measureDeclared measures the memory of both daemons, and the size of the encoded
// configuration, with each number of declared backend servers.
func (t *testbed) measureDeclared(ctx context.Context, r *Report) error {
	const sizeUnit = "server"
	entry := newSeries("entry: live memory, configuration", sizeUnit, "KiB", targetServerCount, LimitMemory/kib)
	agent := newSeries("agent: live memory, configuration", sizeUnit, "KiB", targetServerCount, LimitMemory/kib)
	encoded := newSeries("configuration, whole", sizeUnit, "B", targetServerCount, 0)
	delta := newSeries("configuration, difference", sizeUnit, "B", targetServerCount, 0)
	r.Series = append(r.Series, entry, agent, encoded, delta)
	for _, n := range t.opt.ServerCounts {
		set := t.declaredSet(n)
		if _, err := t.apply(ctx, set); err != nil {
			return err
		}
		if err := sleep(ctx, t.opt.SettleTime); err != nil {
			return err
		}
		if err := t.addMemory(ctx, float64(n), entry, agent); err != nil {
			return err
		}
		if err := addSizes(float64(n), set, encoded, delta); err != nil {
			return err
		}
	}
	return nil
}

// addSizes adds the encoded sizes of a set and of a small change to it.
func addSizes(x float64, set *declare.Set, encoded, delta *Series) error {
	body, _, err := declare.Encode(set)
	if err != nil {
		return err
	}
	encoded.add(x, float64(len(body)))
	changedSet := set.Clone()
	leaving := *set.BackendServers[backendServerName(1)]
	leaving.Leaving = true
	changedSet.BackendServers[backendServerName(1)] = &leaving
	if body, err = declare.EncodeDelta(set, changedSet); err != nil {
		return err
	}
	delta.add(x, float64(len(body)))
	return nil
}

// addMemory adds the live memory of both daemons to their series.
func (t *testbed) addMemory(ctx context.Context, x float64, entry, agent *Series) error {
	for addr, s := range map[string]*Series{t.opt.EntryAddr: entry, t.opt.AgentAddr: agent} {
		u, err := probe{addr: addr, token: t.opt.PeerToken}.readAfterGC(ctx)
		if err != nil {
			return err
		}
		s.add(x, u.memory()/kib)
	}
	return nil
}

// measureListed measures both daemons with each number of instances in the
// platform's list: their memory, the rate at which they read from the platform,
// and their traffic with the platform in steady state and for one change of the
// list.
func (t *testbed) measureListed(ctx context.Context, r *Report) error {
	const sizeUnit = "instance"
	entry := newSeries("entry: live memory, instance list", sizeUnit, "KiB", targetEntryCount+targetServerCount, LimitMemory/kib)
	agent := newSeries("agent: live memory, instance list", sizeUnit, "KiB", targetEntryCount+targetServerCount, LimitMemory/kib)
	entryTraffic := newSeries("entry: platform in steady state", sizeUnit, "B/s", targetEntryCount+targetServerCount, LimitTraffic)
	agentTraffic := newSeries("agent: platform in steady state", sizeUnit, "B/s", targetEntryCount+targetServerCount, LimitTraffic)
	entryReads := newSeries("entry: platform reads", sizeUnit, "1/s", targetEntryCount+targetServerCount, 0)
	agentReads := newSeries("agent: platform reads", sizeUnit, "1/s", targetEntryCount+targetServerCount, 0)
	changeTraffic := newSeries("agent: platform for a change of the list", sizeUnit, "B", targetEntryCount+targetServerCount, 0)
	r.Series = append(r.Series, entry, agent, entryTraffic, agentTraffic, entryReads, agentReads, changeTraffic)
	listedAgents := 0
	for _, n := range t.opt.ListedCounts {
		t.addListedAgents(listedAgents, n)
		listedAgents = n
		if err := sleep(ctx, t.opt.SettleTime); err != nil {
			return err
		}
		listedCount := float64(n + 2)
		if err := t.addMemory(ctx, listedCount, entry, agent); err != nil {
			return err
		}
		steady, err := t.measureBoth(ctx, t.opt.SteadyWindow)
		if err != nil {
			return err
		}
		entryTraffic.add(listedCount, steady.entry.traffic[0]/steady.entry.seconds())
		agentTraffic.add(listedCount, steady.agent.traffic[0]/steady.agent.seconds())
		entryReads.add(listedCount, steady.entry.platformReadsPerSecond())
		agentReads.add(listedCount, steady.agent.platformReadsPerSecond())
		t.addListedAgents(listedAgents, listedAgents+1)
		listedAgents++
		changeWindows, err := t.measureBoth(ctx, t.opt.SettleTime)
		if err != nil {
			return err
		}
		changeTraffic.add(listedCount+1, changeWindows.agent.extraTraffic(steady.agent))
	}
	return nil
}

// daemonWindows holds one measurement of each of the two daemons under test.
type daemonWindows struct{ entry, agent window }

// platformReadsPerSecond returns the number of reads from the platform per second.
func (w window) platformReadsPerSecond() float64 {
	return (w.to.platformReads - w.from.platformReads) / w.seconds()
}

// measureBoth measures both daemons, and their traffic with the platform, over the
// same time d.
func (t *testbed) measureBoth(ctx context.Context, d time.Duration) (daemonWindows, error) {
	var windows daemonWindows
	done := make(chan error, 1)
	go func() {
		var err error
		windows.agent, err = measureWindow(ctx, probe{addr: t.opt.AgentAddr, token: t.opt.PeerToken}, d, &t.agentPlatformTraffic)
		done <- err
	}()
	var err error
	windows.entry, err = measureWindow(ctx, probe{addr: t.opt.EntryAddr, token: t.opt.PeerToken}, d, &t.entryPlatformTraffic)
	return windows, errors.Join(err, <-done)
}
