package orders

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/placement"
)

// firstReportTimeout is how long an agent waits for its engine's first report
// before it fetches versions that the engine may already have loaded.
const firstReportTimeout = 3 * time.Second

// passInput holds the state that one reconcile pass works on.
type passInput struct {
	set       *declare.Set
	plan      *placement.Plan
	wanted    []placement.Assignment
	status    engine.Status
	slotCount int
}

// reconcileOnce makes one reconcile reconcileOnce: it compares the wanted versions with the
// engine's report, starts missing fetches and sends at most one order.
func (c *Controller) reconcileOnce(ctx context.Context) {
	snapshot := c.holder.Current()
	server := snapshot.Set.BackendServers[c.cfg.Self.ID]
	if server == nil || server.Service != "" {
		return
	}
	plan := c.computePlan(snapshot.Set)
	in := &passInput{
		set:       snapshot.Set,
		plan:      plan,
		wanted:    plan.Assignments(c.cfg.Self.ID),
		slotCount: max(1, server.Slots),
	}
	c.applyRegionBudget(snapshot.Set)
	c.logWanted(snapshot.Number, in.wanted)
	c.cancelUnwantedFetches(in.wanted)
	status, age, ok := c.statusSource.Status()
	in.status = status
	c.fetchMissing(ctx, in, ok)
	if ok {
		c.checkPending(in, age)
		c.updateUnwanted(in)
		if c.pending == nil {
			c.sendNextOrder(ctx, in)
		}
	}
	c.publishProgress(in, ok)
}

// fetchMissing starts fetches of the wanted versions that the engine does not
// report as loaded. Without a report it waits firstReportTimeout from the
// agent's start. So an agent that is restarted beside an engine with all wanted
// versions loaded fetches nothing.
func (c *Controller) fetchMissing(ctx context.Context, in *passInput, statusKnown bool) {
	if !statusKnown && c.clock.Since(c.startedAt) < firstReportTimeout {
		return
	}
	for _, w := range in.wanted {
		if !statusKnown || !c.hasLoaded(in, w.ManifestDigest) {
			c.startFetch(ctx, w)
		}
	}
}

// regionBudgetSetter is implemented by fetchers that limit the use of the link
// between regions.
type regionBudgetSetter interface {
	SetRegionBudget(bytesPerSecond int64)
}

// applyRegionBudget passes the declared budget of this region's link to the
// fetcher.
func (c *Controller) applyRegionBudget(set *declare.Set) {
	region, ok := set.Regions[c.cfg.Self.Region]
	if !ok || region.LinkBytesPerSecond <= 0 {
		return
	}
	if f, ok := c.fetcher.(regionBudgetSetter); ok {
		f.SetRegionBudget(region.LinkBytesPerSecond)
	}
}

// logWanted logs the wanted versions if they have changed since they were last
// logged.
func (c *Controller) logWanted(configNumber uint64, wanted []placement.Assignment) {
	var names []string
	for _, w := range wanted {
		names = append(names, fmt.Sprintf("%s/%s %s rank %d", w.Model, w.Version, w.ManifestDigest, w.Rank))
	}
	joined := strings.Join(names, ", ")
	if joined == c.loggedWanted {
		return
	}
	c.loggedWanted = joined
	c.log.Event(eventPlacementWanted, eventlog.Fields{"config": configNumber, "wanted": names, "server": c.cfg.Self.ID})
}

// cancelUnwantedFetches cancels the fetches of versions that are no longer
// wanted.
func (c *Controller) cancelUnwantedFetches(wanted []placement.Assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, cancel := range c.fetching {
		if !isWanted(wanted, d) {
			cancel()
		}
	}
}

// isWanted reports whether the digest d is among the wanted versions.
func isWanted(wanted []placement.Assignment, d core.Digest) bool {
	for _, w := range wanted {
		if w.ManifestDigest == d {
			return true
		}
	}
	return false
}

// checkPending clears the pending order if the engine's report shows the effect
// of the order, if the engine has restarted, or if the order is overdue. age is
// the age of the report. A report that was read before the order was sent is
// ignored.
func (c *Controller) checkPending(in *passInput, age time.Duration) {
	p := c.pending
	if p == nil || c.clock.Since(p.sentAt) <= age {
		return
	}
	fields := eventlog.Fields{
		"action": p.order.Action, "model": p.order.Model, "version": p.order.Digest, "fence": p.order.Fence,
		"ms": c.clock.Since(p.sentAt).Milliseconds(),
	}
	timeout := c.cfg.UnloadTimeout
	if p.order.Action == actionLoad {
		timeout = c.cfg.LoadTimeout
	}
	switch {
	case containsDigest(in.status.Loaded, p.order.Digest) == (p.order.Action == actionLoad):
		c.log.Event(eventOrderConfirmed, fields)
	case in.status.Boot != p.boot || c.clock.Since(p.sentAt) > timeout:
		c.log.Event(eventOrderOverdue, fields)
	default:
		return
	}
	c.pending = nil
}

// updateUnwanted records when each loaded version was first seen to be unwanted,
// and cancels the drains of versions that are wanted again or no longer loaded.
func (c *Controller) updateUnwanted(in *passInput) {
	for _, l := range in.status.Loaded {
		if isWanted(in.wanted, l.Digest) {
			delete(c.unwantedSince, l.Digest)
			continue
		}
		if _, ok := c.unwantedSince[l.Digest]; !ok {
			c.unwantedSince[l.Digest] = c.clock.Now()
		}
	}
	for d := range c.unwantedSince {
		if !containsDigest(in.status.Loaded, d) {
			delete(c.unwantedSince, d)
		}
	}
	for d := range c.drains {
		if _, ok := c.unwantedSince[d]; !ok {
			c.cancelDrain(d)
		}
	}
}

// sendNextOrder sends at most one order. It first goes through the wanted
// versions that are not loaded and can be loaded now. It loads such a version,
// or unloads another version if no slot is free. If it can do neither, it
// unloads a version that is no longer needed.
func (c *Controller) sendNextOrder(ctx context.Context, in *passInput) {
	for _, w := range in.wanted {
		if c.hasLoaded(in, w.ManifestDigest) || !c.canLoad(in, w) {
			continue
		}
		if len(in.status.Loaded) < in.slotCount || containsDigest(in.status.Loaded, w.ManifestDigest) {
			c.sendOrder(ctx, in, actionLoad, frame.LoadedVersion{Model: w.Model, Version: w.Version, Digest: w.ManifestDigest})
			return
		}
		if c.freeSlot(ctx, in, w) {
			return
		}
	}
	for _, l := range in.status.Loaded {
		if c.mayUnload(ctx, in, l) && c.drainAndUnload(ctx, in, l) {
			return
		}
	}
}

// hasLoaded reports whether the engine reports d as loaded and no response to a
// call for d has carried another digest since the last order for d.
func (c *Controller) hasLoaded(in *passInput, d core.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return containsDigest(in.status.Loaded, d) && !c.digestMismatch[d]
}

// canLoad reports whether a version can be loaded: all of its chunks are verified,
// and its base version, if any, is loaded. If the version cannot be loaded,
// canLoad records the reason.
func (c *Controller) canLoad(in *passInput, w placement.Assignment) bool {
	c.mu.Lock()
	verified := c.fetched[w.ManifestDigest] != nil
	c.mu.Unlock()
	switch {
	case !verified:
		c.recordWait(w.ManifestDigest, "chunks")
	case w.BaseManifestDigest != "" && !c.hasLoaded(in, w.BaseManifestDigest):
		c.recordWait(w.ManifestDigest, "base version")
	default:
		return true
	}
	return false
}

// freeSlot drains and unloads an unwanted version to free a slot for w, and
// reports whether the engine accepted the unload order. It unloads an older
// version of the same model only if mayReplace allows this, and a version of
// another model only if that model is rolled out.
func (c *Controller) freeSlot(ctx context.Context, in *passInput, w placement.Assignment) bool {
	for _, l := range in.status.Loaded {
		if isWanted(in.wanted, l.Digest) {
			continue
		}
		if l.Model == w.Model && !c.mayReplace(ctx, in.plan.AssignedAgents(w.ManifestDigest), w.Rank, w.ManifestDigest) {
			c.recordWait(w.ManifestDigest, "turn to replace")
			continue
		}
		if l.Model != w.Model && !c.modelRolledOut(ctx, in, l.Model) {
			c.recordWait(w.ManifestDigest, "slot held by "+l.Model)
			continue
		}
		return c.drainAndUnload(ctx, in, l)
	}
	return false
}

// mayUnload reports whether a version may be unloaded while no other version needs
// its slot: the version has been unwanted for RetireDelay, the wanted versions of
// its model are loaded here, and the model is rolled out.
func (c *Controller) mayUnload(ctx context.Context, in *passInput, l frame.LoadedVersion) bool {
	since, unwanted := c.unwantedSince[l.Digest]
	if !unwanted || c.clock.Since(since) < c.cfg.RetireDelay {
		return false
	}
	for _, w := range in.wanted {
		if w.Model == l.Model && !c.hasLoaded(in, w.ManifestDigest) {
			return false
		}
	}
	return c.modelRolledOut(ctx, in, l.Model)
}

// modelRolledOut reports whether the declared version of a model is rolled out,
// as defined by versionRolledOut. It returns true for a model that is not
// declared.
func (c *Controller) modelRolledOut(ctx context.Context, in *passInput, model string) bool {
	m, ok := in.set.Models[model]
	if !ok {
		return true
	}
	version, ok := in.set.Versions[m.Version]
	if !ok {
		return false
	}
	return c.versionRolledOut(ctx, in.plan.AssignedAgents(version.Manifest), version.Manifest)
}

// sendOrder takes a fencing number and sends one order to the engine. An accepted
// order becomes the pending order.
func (c *Controller) sendOrder(ctx context.Context, in *passInput, action string, l frame.LoadedVersion) {
	fence, source, err := c.takeFencingNumber(ctx, in, action)
	if err != nil {
		return
	}
	o := engine.Order{
		Fence: fence, Action: action, Model: l.Model, Version: l.Version, Digest: l.Digest, Source: c.cfg.WeightsURL,
	}
	fields := eventlog.Fields{
		"action": action, "model": l.Model, "version": l.Digest, "fence": fence, "fenceFrom": source,
	}
	if err := c.engine.Order(ctx, o); err != nil {
		c.log.EventWithError(eventOrderFailed, err, fields)
		return
	}
	c.log.Event(eventOrderGiven, fields)
	delete(c.waitReasons, l.Digest)
	c.mu.Lock()
	delete(c.digestMismatch, l.Digest)
	c.mu.Unlock()
	c.pending = &pendingOrder{order: o, boot: in.status.Boot, sentAt: c.clock.Now()}
}

// takeFencingNumber returns a fencing number for an order and the number's source,
// "table" or "engine". While the table is unavailable, a load is ordered with the
// number that the engine reports. This is safe: a load into a free slot affects no
// running calls, and orders with the higher number of another agent override the
// load. An unload is never ordered without the table.
func (c *Controller) takeFencingNumber(ctx context.Context, in *passInput, action string) (uint64, string, error) {
	fence, err := c.fenceCounter.next(ctx, c.isListed())
	switch {
	case err == nil:
		return fence, "table", nil
	case errors.Is(err, ErrSuperseded):
		c.log.Event(eventAgentSuperseded, eventlog.Fields{"server": c.cfg.Self.ID})
		return 0, "", err
	}
	c.log.EventWithError(eventFenceUnavailable, err, eventlog.Fields{"server": c.cfg.Self.ID, "action": action})
	if action == actionLoad && ctx.Err() == nil {
		return in.status.Fence, "engine", nil
	}
	return 0, "", err
}

// isListed reports whether the platform lists this agent at its address, and
// not as leaving.
func (c *Controller) isListed() bool {
	for _, i := range c.liveInstances() {
		if i.ID == c.cfg.Self.ID {
			return i.Addr == c.cfg.Self.Addr && !i.Leaving
		}
	}
	return false
}

// recordWait records the reason why the next order for a version is delayed, and
// logs a changed reason.
func (c *Controller) recordWait(d core.Digest, reason string) {
	if c.waitReasons[d] == reason {
		return
	}
	c.waitReasons[d] = reason
	c.log.Event(eventRolloutWaits, eventlog.Fields{"version": d, "reason": reason})
}
