package configuration

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// targetEntryCount is the number of entry instances in the largest deployment
	// that the system must support.
	targetEntryCount = 330
	// targetServerCount is the number of backend servers in that deployment.
	targetServerCount = 600
	// platformReadsPerSec is the number of reads per second that the platform can
	// serve.
	platformReadsPerSec = 2000
	// platformWritesPerSec is the number of writes per second that the platform can
	// serve.
	platformWritesPerSec = 300
	// measuredChangeCount is the number of changes over which the load of a change
	// is averaged.
	measuredChangeCount = 10
	// measureDuration is the length of a measurement of the steady load.
	measureDuration = 2 * time.Second
	// listInterval is the default time between two reads of the instance list.
	listInterval = 2 * time.Second
)

// platformLoad is the load that the processes of a rig put on the platform: numbers
// of requests, and bytes of responses.
type platformLoad struct {
	reads, notModified, writes, bytesOut float64
}

// dividedBy returns the load divided by a number of seconds, processes or
// changes.
func (l platformLoad) dividedBy(n float64) platformLoad {
	return platformLoad{l.reads / n, l.notModified / n, l.writes / n, l.bytesOut / n}
}

// minus returns the load l without the load o.
func (l platformLoad) minus(o platformLoad) platformLoad {
	return platformLoad{l.reads - o.reads, l.notModified - o.notModified, l.writes - o.writes, l.bytesOut - o.bytesOut}
}

// String returns the load for a log line.
func (l platformLoad) String() string {
	return fmt.Sprintf("%.2f reads (%.2f of them not modified), %.2f writes, %.0f bytes of bodies", l.reads, l.notModified, l.writes, l.bytesOut)
}

// totalLoad returns the load on the platform since the start of the platform.
func (r *rig) totalLoad() platformLoad {
	var sum platformLoad
	for _, store := range r.platformCounters() {
		sum.reads += float64(store["reads"])
		sum.notModified += float64(store["notModified"])
		sum.writes += float64(store["writes"])
		sum.bytesOut += float64(store["bytesOut"])
	}
	return sum
}

// steadyLoad measures the load per second while nothing changes.
func (r *rig) steadyLoad() platformLoad {
	before := r.totalLoad()
	<-time.After(measureDuration)
	return r.totalLoad().minus(before).dividedBy(measureDuration.Seconds())
}

// TestLoadOnThePlatform measures the load that each entry instance, agent and
// change puts on the platform. The load extrapolated to the target size must
// stay below the capacity of the platform.
func TestLoadOnThePlatform(t *testing.T) {
	Convey("Given four entry instances and twelve agents", t, func() {
		r := newRig(t, rigConfig{entryCount: 4, agentCount: 12, listInterval: listInterval})
		r.awaitRegistered()
		perChange := r.loadPerChange()
		allProcessLoad := r.steadyLoad()
		entryLoad := r.steadyLoadWithout(r.agents)
		oneEntryLoad := r.steadyLoadWithout(r.entries[1:])
		perAgent := allProcessLoad.minus(entryLoad).dividedBy(float64(len(r.agents)))
		perEntry := entryLoad.minus(oneEntryLoad).dividedBy(float64(len(r.entries) - 1))
		t.Logf("per second and entry instance: %s", perEntry)
		t.Logf("per second and agent: %s", perAgent)
		t.Logf("per change: %s", perChange)
		reads := perEntry.reads*targetEntryCount + perAgent.reads*targetServerCount
		writes := perEntry.writes*targetEntryCount + perAgent.writes*targetServerCount
		t.Logf("at %d entry instances and %d servers: %.0f reads and %.0f writes per second", targetEntryCount, targetServerCount, reads, writes)

		Convey("the load at the target size stays below the capacity of the platform", func() {
			So(reads, ShouldBeLessThan, platformReadsPerSec)
			So(writes, ShouldBeLessThan, platformWritesPerSec)
		})
	})
}

// steadyLoadWithout kills processes and returns the steady load of the others.
func (r *rig) steadyLoadWithout(killed []*process) platformLoad {
	for _, p := range killed {
		r.kill(p)
	}
	<-time.After(time.Second)
	return r.steadyLoad()
}

// loadPerChange measures the load that one change adds to the steady load.
func (r *rig) loadPerChange() platformLoad {
	number, err := r.apply(r.entries[0], 0, "first")
	r.must(err)
	r.awaitInForce(number, startTimeout, r.daemons...)
	steady := r.steadyLoad()
	begin, before := time.Now(), r.totalLoad()
	for n := range measuredChangeCount {
		name := fmt.Sprintf("m%d", n)
		number, err = r.apply(r.entries[0], number, name, name)
		r.must(err)
		r.awaitInForce(number, propagationTimeout, r.daemons...)
	}
	<-time.After(measureDuration)
	elapsedSeconds := time.Since(begin).Seconds()
	steadyShare := steady.dividedBy(1 / elapsedSeconds)
	return r.totalLoad().minus(before).minus(steadyShare).dividedBy(measuredChangeCount)
}
