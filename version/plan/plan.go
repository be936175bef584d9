// Package plan predicts the effects of a change to the declarations: which
// backend servers load and unload which versions, how many chunks they fetch, which
// calls will be refused, and how much capacity is lost or gained.
package plan

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/placement"
)

// mebibyte is the number of bytes in a MiB.
const mebibyte = 1 << 20

// Input holds the change and the data from which its effects are computed.
type Input struct {
	// Old is the set of declarations before the change, and New the set after
	// the change.
	Old, New *declare.Set
	// LiveInstances are the instances that take part in placement.
	LiveInstances []core.Instance
	// WeightStore is the object store that holds the manifests. If WeightStore
	// is nil, the number and size of the chunks to fetch are reported as
	// unknown.
	WeightStore platform.ObjectStore
}

// planner computes the effects of one change.
type planner struct {
	Input
	// before is the placement of the old set, and after that of the new set.
	before, after *placement.Plan
	// manifests caches the manifests by digest; nil for a manifest that cannot
	// be read.
	manifests map[core.Digest]*manifest.Manifest
	// lines holds the effects found so far.
	lines []string
}

// Effects returns the effects of the change, one line for each. If a manifest
// cannot be read, the number and size of the chunks to fetch are reported as
// unknown.
func Effects(ctx context.Context, in Input) []string {
	p := &planner{
		Input:     in,
		before:    placement.Compute(in.Old, in.LiveInstances),
		after:     placement.Compute(in.New, in.LiveInstances),
		manifests: map[core.Digest]*manifest.Manifest{},
	}
	p.addLoadLines(ctx)
	p.addUnloadLines()
	p.addDataCentreLines()
	p.addServerLines()
	p.addRefusalLines()
	p.addCapacityLine()
	return p.lines
}

// addLine formats a line and adds it to the effects.
func (p *planner) addLine(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(format, args...))
}

// serverNames returns the sorted names of the backend servers in either set.
func (p *planner) serverNames() []string {
	seen := map[string]bool{}
	for name := range p.Old.BackendServers {
		seen[name] = true
	}
	for name := range p.New.BackendServers {
		seen[name] = true
	}
	return sortedKeys(seen)
}

// serversOnlyIn returns, for each version, the names of the servers to which plan
// in assigns the version but plan notIn does not. The Rank of every key is 0.
func (p *planner) serversOnlyIn(in, notIn *placement.Plan) map[placement.Assignment][]string {
	servers := map[placement.Assignment][]string{}
	for _, name := range p.serverNames() {
		excluded := map[core.Digest]bool{}
		for _, assignment := range notIn.Assignments(name) {
			excluded[assignment.ManifestDigest] = true
		}
		for _, assignment := range in.Assignments(name) {
			if excluded[assignment.ManifestDigest] {
				continue
			}
			assignment.Rank = 0
			servers[assignment] = append(servers[assignment], name)
		}
	}
	return servers
}

// addLoadLines adds a line for each version that servers load, and after each
// line calls addSwitchLine.
func (p *planner) addLoadLines(ctx context.Context) {
	servers := p.serversOnlyIn(p.after, p.before)
	for _, assignment := range sortedVersions(servers) {
		names := servers[assignment]
		p.addLine("load %s of Model %s on %d servers (%s): %s", assignment.Version, assignment.Model, len(names), strings.Join(names, ", "), p.describeFetch(ctx, assignment, names))
		p.addSwitchLine(assignment, names)
	}
}

// addSwitchLine adds a line if the change replaces the version of the
// assignment's model. names lists the servers that load the new version. The line
// says how many of these servers hold another version of the model before the
// change.
func (p *planner) addSwitchLine(assignment placement.Assignment, names []string) {
	old := p.Old.Models[assignment.Model]
	if old == nil || old.Version == assignment.Version {
		return
	}
	switchingCount := 0
	for _, name := range names {
		for _, oldVersion := range p.before.Assignments(name) {
			if oldVersion.Model == assignment.Model {
				switchingCount++
			}
		}
	}
	p.addLine("switch Model %s from %s to %s: %d of these servers answer from the old version until the new one stands", assignment.Model, old.Version, assignment.Version, switchingCount)
}

// describeFetch returns a text with the number and size of the chunks that the named
// servers have to fetch for an assigned version. Chunks that a server already holds
// for other versions do not count.
func (p *planner) describeFetch(ctx context.Context, assignment placement.Assignment, names []string) string {
	m := p.manifest(ctx, assignment.ManifestDigest)
	if m == nil {
		return "amount unknown, the manifest cannot be read"
	}
	chunkCount, size := 0, int64(0)
	for _, name := range names {
		held := p.heldChunks(ctx, name)
		for _, c := range m.Chunks() {
			if !held[c.Digest] {
				chunkCount++
				size += c.Size
			}
		}
	}
	return fmt.Sprintf("%d chunks, %.1f MiB in all; one copy is %d chunks, %.1f MiB",
		chunkCount, float64(size)/mebibyte, len(m.Chunks()), float64(m.Size())/mebibyte)
}

// heldChunks returns the chunks of the versions that a server holds before the
// change.
func (p *planner) heldChunks(ctx context.Context, server string) map[core.Digest]bool {
	held := map[core.Digest]bool{}
	for _, assignment := range p.before.Assignments(server) {
		m := p.manifest(ctx, assignment.ManifestDigest)
		if m == nil {
			continue
		}
		for _, c := range m.Chunks() {
			held[c.Digest] = true
		}
	}
	return held
}

// manifest returns the manifest with the digest d, or nil if the manifest cannot be
// read. It tries to read each manifest only once.
func (p *planner) manifest(ctx context.Context, d core.Digest) *manifest.Manifest {
	if m, ok := p.manifests[d]; ok {
		return m
	}
	p.manifests[d] = nil
	if p.WeightStore == nil {
		return nil
	}
	body, err := p.WeightStore.Get(ctx, manifest.ManifestName(d), 0, -1)
	if err != nil {
		return nil
	}
	m, err := manifest.Decode(body, d)
	if err != nil {
		return nil
	}
	p.manifests[d] = m
	return m
}

// addUnloadLines adds a line for each version that servers no longer need.
func (p *planner) addUnloadLines() {
	servers := p.serversOnlyIn(p.before, p.after)
	for _, assignment := range sortedVersions(servers) {
		names := servers[assignment]
		p.addLine("unload %s of Model %s from %d servers (%s)", assignment.Version, assignment.Model, len(names), strings.Join(names, ", "))
	}
}

// addDataCentreLines adds a line for each data centre that is taken out of service or
// put back into service.
func (p *planner) addDataCentreLines() {
	for _, name := range sortedKeys(p.New.DataCentres) {
		old := p.Old.DataCentres[name]
		out := p.New.DataCentres[name].Out
		if old == nil || old.Out == out {
			continue
		}
		serverCount, limit := p.dataCentreCapacity(name)
		if out {
			p.addLine("DataCentre %s goes out: its %d servers get no new work, their share of %d calls at once moves to the others; calls in flight end", name, serverCount, limit)
			continue
		}
		p.addLine("DataCentre %s returns: its %d servers take work again, up to %d calls at once", name, serverCount, limit)
	}
}

// dataCentreCapacity returns the number of servers in a data centre and the sum
// of their limits after the change.
func (p *planner) dataCentreCapacity(name string) (serverCount, limit int) {
	for _, b := range p.New.BackendServers {
		if b.DataCentre == name {
			serverCount++
			limit += b.Limit
		}
	}
	return serverCount, limit
}

// addServerLines adds a line for each server that is added, is removed, starts to
// leave or no longer leaves.
func (p *planner) addServerLines() {
	for _, name := range p.serverNames() {
		old, updated := p.Old.BackendServers[name], p.New.BackendServers[name]
		switch {
		case updated == nil:
			p.addLine("BackendServer %s is removed: it gets no new work; calls in flight end", name)
		case old == nil:
			p.addLine("BackendServer %s is new: it takes work once its agent is registered, up to %d calls at once, %d while cold", name, updated.Limit, updated.ColdLimit)
		case updated.Leaving && !old.Leaving:
			p.addLine("BackendServer %s leaves: its share of %d calls at once moves to the others; calls in flight end", name, updated.Limit)
		case old.Leaving && !updated.Leaving:
			p.addLine("BackendServer %s stays: it takes work again, up to %d calls at once", name, updated.Limit)
		}
	}
}

// addRefusalLines adds a line for each model, service and client account whose calls
// will be refused.
func (p *planner) addRefusalLines() {
	for _, name := range sortedKeys(p.Old.Models) {
		if p.New.Models[name] == nil {
			p.addLine("calls for Model %s will be refused", name)
		}
	}
	for _, name := range sortedKeys(p.Old.Services) {
		if p.New.Services[name] == nil {
			p.addLine("calls of Service %s will be refused", name)
		}
	}
	for _, name := range sortedKeys(p.Old.ClientAccounts) {
		updated := p.New.ClientAccounts[name]
		switch {
		case updated == nil:
			p.addLine("calls of ClientAccount %s will be refused", name)
		case updated.KeyHash != p.Old.ClientAccounts[name].KeyHash:
			p.addLine("calls of ClientAccount %s with its old key will be refused", name)
		}
	}
}

// addCapacityLine adds a line if the total capacity of the servers in service
// changes.
func (p *planner) addCapacityLine() {
	before, after := totalLimit(p.Old), totalLimit(p.New)
	if before != after {
		p.addLine("calls that the servers in service bear at once: %d -> %d", before, after)
	}
}

// totalLimit returns the sum of the limits of the servers that accept calls: those
// that are not leaving and whose data centre is in service.
func totalLimit(s *declare.Set) int {
	total := 0
	for _, b := range s.BackendServers {
		dc := s.DataCentres[b.DataCentre]
		if !b.Leaving && dc != nil && !dc.Out {
			total += b.Limit
		}
	}
	return total
}

// sortedVersions returns the keys of m, sorted by model and version.
func sortedVersions(m map[placement.Assignment][]string) []placement.Assignment {
	versions := make([]placement.Assignment, 0, len(m))
	for assignment := range m {
		versions = append(versions, assignment)
	}
	sort.Slice(versions, func(i, j int) bool {
		a, b := versions[i], versions[j]
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		return a.Version < b.Version
	})
	return versions
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
