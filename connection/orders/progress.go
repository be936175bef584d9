package orders

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/spread"
)

// State is the rollout state of one version at one backend server.
type State string

// The rollout states of a version.
const (
	// StateFetching means that chunks are missing.
	StateFetching State = "fetching"
	// StateVerified means that all chunks are stored and verified, and the load
	// is not ordered yet; Progress.Reason gives the cause of the delay.
	StateVerified State = "verified"
	// StateOrdered means that the engine has accepted the order to load the
	// version.
	StateOrdered State = "ordered"
	// StateLoaded means that the engine reports the version as loaded.
	StateLoaded State = "loaded"
	// StateRetiring means that the version is loaded and no longer wanted.
	StateRetiring State = "retiring"
	// StateUnknown means that there is no current report of the engine.
	StateUnknown State = "unknown"
)

// Progress describes the rollout of one version at this backend server.
type Progress struct {
	// Model and Version name the version. Version is empty if the version is
	// not wanted and the engine reports it without a name.
	Model   string `json:"model"`
	Version string `json:"version"`
	// Digest is the manifest digest.
	Digest core.Digest `json:"digest"`
	// Rank is the position of this server, from 0, in the rollout order of the
	// version's servers; -1 if the version is not wanted here.
	Rank int `json:"rank"`
	// State is the rollout state.
	State State `json:"state"`
	// Reason is the reason why the next order for the version is delayed; empty
	// if there is no delay.
	Reason string `json:"reason,omitempty"`
	// Fetch counts the chunks and bytes of the version and how many of them are
	// stored.
	Fetch spread.Progress `json:"fetch"`
}

// progressReporter is implemented by fetchers that report the progress of a
// fetch.
type progressReporter interface {
	Progress(d core.Digest) (spread.Progress, bool)
}

// Progress returns the progress of every version that is wanted or loaded here,
// as of the last pass.
func (c *Controller) Progress() []Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// publishProgress updates the result of Progress and the gauges after a pass.
// statusKnown is false if there is no current report of the engine.
func (c *Controller) publishProgress(in *passInput, statusKnown bool) {
	var all []Progress
	loadedCount := 0
	for _, w := range in.wanted {
		p := Progress{Model: w.Model, Version: w.Version, Digest: w.ManifestDigest, Rank: w.Rank}
		p.State = c.stateOf(in, w.ManifestDigest, statusKnown)
		if p.State == StateLoaded {
			loadedCount++
		}
		if p.State == StateFetching || p.State == StateVerified {
			p.Reason = c.waitReasons[w.ManifestDigest]
		}
		if f, ok := c.fetcher.(progressReporter); ok {
			p.Fetch, _ = f.Progress(w.ManifestDigest)
		}
		all = append(all, p)
	}
	for _, l := range in.status.Loaded {
		if isWanted(in.wanted, l.Digest) {
			continue
		}
		all = append(all, Progress{
			Model: l.Model, Version: l.Version, Digest: l.Digest, Rank: -1,
			State: StateRetiring, Reason: c.waitReasons[l.Digest],
		})
	}
	c.updateGauge("versions.wanted", len(in.wanted))
	c.updateGauge("versions.loaded", loadedCount)
	c.updateGauge("weights.held-bytes", int(c.store.Bytes()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = all
}

// stateOf returns the state of a wanted version.
func (c *Controller) stateOf(in *passInput, d core.Digest, statusKnown bool) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !statusKnown:
		return StateUnknown
	case containsDigest(in.status.Loaded, d) && !c.digestMismatch[d]:
		return StateLoaded
	case c.pending != nil && c.pending.order.Digest == d:
		return StateOrdered
	case c.fetched[d] != nil:
		return StateVerified
	}
	return StateFetching
}

// updateGauge sets a gauge in the metrics registry.
func (c *Controller) updateGauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, c.cfg.Metrics).Update(int64(value))
}
