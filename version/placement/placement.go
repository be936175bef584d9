// Package placement assigns model versions to backend servers. There is no
// central scheduler: every agent computes the same plan from the same
// declarations and the same list of live instances, and carries out the part that
// concerns its own server. While these inputs differ between agents, a version may
// have a few replicas too many or too few, but every agent still loads only versions
// that its own declarations contain.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

// Assignment is the assignment of one version to a backend server.
type Assignment struct {
	// Model is the name of the model.
	Model string
	// Version is the name of the version.
	Version string
	// ManifestDigest is the digest of the version's manifest.
	ManifestDigest core.Digest
	// BaseManifestDigest is the manifest digest of the base version that an adapter needs;
	// empty for a full model. The base version is assigned to the server as
	// well.
	BaseManifestDigest core.Digest
	// Rank is the number of servers to which the version was assigned before
	// this server.
	Rank int
}

// Plan is the assignment of versions to servers.
type Plan struct {
	// assignments maps the name of each server to its assignments.
	assignments map[string][]Assignment
	// assignedAgents maps each version's manifest digest to the agents of the
	// version's servers, ordered by rank.
	assignedAgents map[core.Digest][]core.Instance
}

// Assignments returns the versions that are assigned to a server, base versions
// before the adapters that need them.
func (p *Plan) Assignments(server string) []Assignment { return p.assignments[server] }

// AssignedAgents returns the agents of the servers to which the version with
// manifest digest d is assigned, ordered by rank.
func (p *Plan) AssignedAgents(d core.Digest) []core.Instance { return p.assignedAgents[d] }

// Compute returns the plan for the declarations in set and the list of live
// instances.
//
// Each model is placed on as many eligible servers as its Replicas field says.
// The servers are chosen by rendezvous hashing of the model's name, so that the
// next version of a model is placed on the servers that hold the previous
// version. A server is eligible if it is declared, runs an engine, is in one of
// the model's data centres, is live, is not leaving and has a free slot. A server
// in a data centre out of service keeps its versions, so that the versions are
// already loaded when the data centre returns, but such a server does not count
// as a replica.
func Compute(set *declare.Set, live []core.Instance) *Plan {
	b := newBuilder(set, live)
	for _, m := range b.selectModels(false) {
		b.addCandidates(m)
	}
	b.placeByScore()
	for _, m := range b.selectModels(true) {
		b.addCandidates(m)
	}
	b.placeByScore()
	return b.buildPlan()
}

// builder holds the intermediate state of Compute.
type builder struct {
	set *declare.Set
	// agents holds the live agents that are not leaving, by the name of their
	// server.
	agents map[string]core.Instance
	// freeSlotCounts maps each server to the number of its free slots.
	freeSlotCounts map[string]int
	candidates     []candidate
	// replicaCounts maps each model to the number of its servers so far that
	// are in a data centre in service.
	replicaCounts map[string]int
	// assignmentsByServer holds the assignments of each server.
	assignmentsByServer map[string][]Assignment
	// serversOf holds the names of the servers of each version, by manifest
	// digest and in the order of rank.
	serversOf map[core.Digest][]string
}

// candidate is a model that may be placed on a server.
type candidate struct {
	model  *declare.Model
	server *declare.BackendServer
	// score determines the order in which candidates are placed.
	score uint64
}

// newBuilder returns a builder that has no candidates and no assignments.
func newBuilder(set *declare.Set, live []core.Instance) *builder {
	b := &builder{
		set:                 set,
		agents:              map[string]core.Instance{},
		freeSlotCounts:      map[string]int{},
		replicaCounts:       map[string]int{},
		assignmentsByServer: map[string][]Assignment{},
		serversOf:           map[core.Digest][]string{},
	}
	for _, i := range live {
		if i.Role == core.RoleAgent && !i.Leaving {
			b.agents[i.ID] = i
		}
	}
	for name, s := range set.BackendServers {
		b.freeSlotCounts[name] = max(1, s.Slots)
	}
	return b
}

// selectModels returns the models whose version is an adapter if wantAdapters is
// true, and all other models if wantAdapters is false.
func (b *builder) selectModels(wantAdapters bool) []*declare.Model {
	var selected []*declare.Model
	for _, m := range b.set.Models {
		v, ok := b.set.Versions[m.Version]
		if ok && (v.Base != "") == wantAdapters {
			selected = append(selected, m)
		}
	}
	return selected
}

// addCandidates adds a candidate for each server that is eligible for model m.
func (b *builder) addCandidates(m *declare.Model) {
	base := b.set.Versions[m.Version].Base
	for _, s := range b.set.BackendServers {
		if !b.eligible(m, s) {
			continue
		}
		// The shift halves the range of scores. The upper half is for servers to
		// which the base of an adapter is already assigned.
		score := xxhash.Sum64String(m.Name+"\x00"+s.Name) >> 1
		if base != "" && b.isAssigned(s.Name, base) {
			score |= 1 << 63
		}
		b.candidates = append(b.candidates, candidate{m, s, score})
	}
}

// eligible reports whether a model may be placed on a server.
func (b *builder) eligible(m *declare.Model, s *declare.BackendServer) bool {
	if _, live := b.agents[s.Name]; !live || s.Service != "" || s.Leaving {
		return false
	}
	if len(m.DataCentres) == 0 {
		return true
	}
	for _, dc := range m.DataCentres {
		if dc == s.DataCentre {
			return true
		}
	}
	return false
}

// isAssigned reports whether a version is already assigned to a server.
func (b *builder) isAssigned(server, version string) bool {
	for _, assignment := range b.assignmentsByServer[server] {
		if assignment.Version == version {
			return true
		}
	}
	return false
}

// placeByScore places the candidates, highest score first, and then empties the
// candidate list. The candidates of all models are sorted together, so that a new
// model takes a slot from another model only on servers where the new model has the
// higher score.
func (b *builder) placeByScore() {
	sort.Slice(b.candidates, func(i, j int) bool {
		x, y := b.candidates[i], b.candidates[j]
		if x.score != y.score {
			return x.score > y.score
		}
		return x.model.Name+x.server.Name < y.model.Name+y.server.Name
	})
	for _, c := range b.candidates {
		if b.replicaCounts[c.model.Name] < c.model.Replicas {
			b.place(c)
		}
	}
	b.candidates = nil
}

// place assigns a model's version to a server. If the version is an adapter whose
// base is not assigned to the server yet, place assigns the base too. It does
// nothing if the server has too few free slots.
func (b *builder) place(c candidate) {
	v := b.set.Versions[c.model.Version]
	assignments := []Assignment{b.newAssignment(v)}
	if base, ok := b.set.Versions[v.Base]; ok && !b.isAssigned(c.server.Name, v.Base) {
		assignments = []Assignment{b.newAssignment(base), b.newAssignment(v)}
	}
	if b.freeSlotCounts[c.server.Name] < len(assignments) {
		return
	}
	b.freeSlotCounts[c.server.Name] -= len(assignments)
	for _, assignment := range assignments {
		assignment.Rank = len(b.serversOf[assignment.ManifestDigest])
		b.assignmentsByServer[c.server.Name] = append(b.assignmentsByServer[c.server.Name], assignment)
		b.serversOf[assignment.ManifestDigest] = append(b.serversOf[assignment.ManifestDigest], c.server.Name)
	}
	if dc, ok := b.set.DataCentres[c.server.DataCentre]; ok && dc.Out {
		return
	}
	b.replicaCounts[c.model.Name]++
}

// newAssignment returns the Assignment of a version, without its rank.
func (b *builder) newAssignment(v *declare.Version) Assignment {
	assignment := Assignment{Model: v.Model, Version: v.Name, ManifestDigest: v.Manifest}
	if base, ok := b.set.Versions[v.Base]; ok {
		assignment.BaseManifestDigest = base.Manifest
	}
	return assignment
}

// buildPlan returns the plan with all assignments made so far.
func (b *builder) buildPlan() *Plan {
	p := &Plan{assignments: b.assignmentsByServer, assignedAgents: map[core.Digest][]core.Instance{}}
	for d, servers := range b.serversOf {
		for _, name := range servers {
			p.assignedAgents[d] = append(p.assignedAgents[d], b.agents[name])
		}
	}
	return p
}
