package control

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/placement"
)

// largeModelGiB is the size of the weights of a large model.
const largeModelGiB = 140

// measureChunks measures the size of an encoded manifest, and the memory of the
// decoded manifest together with the list of its distinct chunks.
func measureChunks(r *Report) error {
	const sizeUnit = "GiB of weights"
	encoded := newSeries("weights: manifest", sizeUnit, "KiB", largeModelGiB, 0)
	held := newSeries("weights: memory of a manifest", sizeUnit, "KiB", largeModelGiB, LimitMemory/kib)
	r.Series = append(r.Series, encoded, held)
	for _, gib := range []int{1, 4, 16, 64, largeModelGiB} {
		body, digest, err := encodeManifest(gib)
		if err != nil {
			return err
		}
		before := liveHeap()
		m, err := manifest.Decode(body, digest)
		if err != nil {
			return err
		}
		chunks := m.Chunks()
		after := liveHeap()
		encoded.add(float64(gib), float64(len(body))/kib)
		held.add(float64(gib), (after-before)/kib)
		runtime.KeepAlive(m)
		runtime.KeepAlive(chunks)
		runtime.KeepAlive(body)
	}
	return nil
}

// encodeManifest returns an encoded manifest of one file of gib GiB, and the
// manifest's digest.
func encodeManifest(gib int) ([]byte, core.Digest, error) {
	chunks := make([]manifest.Chunk, gib<<30/manifest.DefaultChunkBytes)
	for i := range chunks {
		chunks[i] = manifest.Chunk{Digest: core.DigestOf([]byte(backendServerName(i))), Size: manifest.DefaultChunkBytes}
	}
	m := &manifest.Manifest{Files: []manifest.File{{Path: "weights", Size: int64(gib) << 30, Chunks: chunks}}}
	return m.Encode()
}

// liveHeap returns the live heap of this process in bytes. It runs the garbage
// collector three times because pooled buffers survive two collections.
func liveHeap() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const (
	// targetReplicaCount is the number of replicas of all models together at the
	// target: the instances that receive new weights.
	targetReplicaCount = 1_300
	// planModelCount is the number of models among which these replicas are
	// divided.
	planModelCount = 20
	// planSlotsPerServer is the number of versions that a backend server can hold.
	planSlotsPerServer = 3
	// planRunCount is the number of times that each placement plan is computed. The
	// report contains the mean time of one plan.
	planRunCount = 5
)

// measurePlans measures the time that an agent takes to compute the placement of
// every version.
func (t *testbed) measurePlans(_ context.Context, r *Report) error {
	series := newSeries("agent: CPU for a placement plan", "server", "ms", targetServerCount, 0)
	r.Series = append(r.Series, series)
	for _, n := range []int{100, 300, targetServerCount} {
		set := t.setWithModels(n)
		live := liveAgents(set)
		start := time.Now()
		for range planRunCount {
			placement.Compute(set, live)
		}
		series.add(float64(n), time.Since(start).Seconds()*1e3/planRunCount)
	}
	return nil
}

// liveAgents returns an agent for each declared backend server.
func liveAgents(set *declare.Set) []core.Instance {
	var live []core.Instance
	for name, server := range set.BackendServers {
		live = append(live, core.Instance{ID: name, Role: core.RoleAgent, Addr: unusedAddr, DataCentre: server.DataCentre, Region: region})
	}
	return live
}

// setWithModels returns declarations with serverCount backend servers and
// planModelCount models. All models together have targetReplicaCount replicas for
// targetServerCount backend servers, and proportionally fewer for a smaller
// serverCount.
func (t *testbed) setWithModels(serverCount int) *declare.Set {
	set := t.declaredSet(serverCount)
	for _, server := range set.BackendServers {
		server.Slots = planSlotsPerServer
	}
	for i := range planModelCount {
		name := fmt.Sprintf("model-%d", i)
		version := name + "-v1"
		replicas := targetReplicaCount * serverCount / targetServerCount / planModelCount
		set.Models[name] = &declare.Model{Name: name, Version: version, Replicas: replicas}
		set.Versions[version] = &declare.Version{Name: version, Model: name, Manifest: core.DigestOf([]byte(version))}
	}
	return set
}
