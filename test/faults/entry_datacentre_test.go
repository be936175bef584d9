package faults

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

const (
	drainedDataCentre = "catania"
	// twoDataCentresRate is a load, in calls per second, that two of the three
	// data centres can serve alone.
	twoDataCentresRate = 68
	// maxDrainDelay is how long after a drain is accepted the data centre may
	// still start new calls.
	maxDrainDelay = 3 * time.Second
	// drainedDuration is how long the data centre is observed while it is out of
	// service.
	drainedDuration = 4 * time.Second
	// quietDuration is the duration of the load without a change.
	quietDuration = 6 * time.Second
	// changeDuration is the duration of the load during which the data centre is
	// drained and returned to service.
	changeDuration = 18 * time.Second
	// maxFirstTokenRatio is the limit of the 95th percentile of the time to the
	// first token during the change, as a multiple of the same percentile without a
	// change.
	maxFirstTokenRatio = 1.5
)

// modelServers returns the names of the backend servers with an engine in a
// data centre.
func (c *cluster) modelServers(dc string) []string {
	var names []string
	for name := range c.processes {
		if strings.HasPrefix(name, "gpu-"+dc) {
			names = append(names, name)
		}
	}
	return names
}

// startedCalls returns the number of calls that the engines of a data centre have
// started, and for how many of these calls the engine was over its capacity when
// the call started.
func (c *cluster) startedCalls(dc string) (started, overloaded int) {
	for _, name := range c.modelServers(dc) {
		n := c.engineCounters(name)
		started += n.Started
		overloaded += n.Overloaded
	}
	return started, overloaded
}

// turnCold makes the engines of a data centre cold without restarting them.
func (c *cluster) turnCold(dc string) {
	for _, name := range c.modelServers(dc) {
		resp, err := http.Post("http://"+c.processes["engine:"+name].addr+"/engine/faults", "application/json",
			strings.NewReader(`{"cold":true}`))
		c.must(err)
		_ = resp.Body.Close()
	}
}

func TestDataCentreOutAndBack(t *testing.T) {
	Convey("Given 200 streams over three data centres", t, func() {
		c := warmCluster(t)
		quiet := c.runWithFault(c.scenario("quiet", quietDuration, twoDataCentresRate, streamTokens, c.entryAddrs()...), func() {})

		var before, after, overloaded, overloadedAfter int
		r := c.runWithFault(c.withOnceOnlyCalls(c.scenario("out-and-back", changeDuration, twoDataCentresRate, streamTokens, c.entryAddrs()...)), func() {
			c.runCommand("drain", "--reason", "maintenance", "datacentre", drainedDataCentre)
			<-time.After(maxDrainDelay)
			before, _ = c.startedCalls(drainedDataCentre)
			<-time.After(drainedDuration)
			after, overloaded = c.startedCalls(drainedDataCentre)
			c.turnCold(drainedDataCentre)
			c.runCommand("return", "--reason", "maintenance done", "datacentre", drainedDataCentre)
		})
		returned, overloadedAfter := c.startedCalls(drainedDataCentre)
		t.Logf("started in %s: %d before, %d while out, %d after the return; over the capacity of the engines: %d",
			drainedDataCentre, before, after-before, returned-after, overloadedAfter-overloaded)
		t.Logf("first token p95: quiet %.1f ms, change %.1f ms", quiet.All.FirstToken.P95, r.All.FirstToken.P95)
		So(r.MaxInFlight, ShouldBeGreaterThanOrEqualTo, 200)
		So(r.All.Outcomes[requests.OutcomeWhole], ShouldEqual, r.All.Calls)
		So(after, ShouldEqual, before)
		So(returned, ShouldBeGreaterThan, after)
		So(overloadedAfter, ShouldEqual, overloaded)
		So(r.All.FirstToken.P95, ShouldBeLessThanOrEqualTo, maxFirstTokenRatio*quiet.All.FirstToken.P95)
		assertAtMostOnce(r)
	})
}

// TestPlannedStops stops and restarts three processes one after the other, then
// stops all entry instances and model agents at once.
func TestPlannedStops(t *testing.T) {
	Convey("Given four entry instances and nine engines under 200 streams", t, func() {
		c := warmCluster(t)

		r := c.runWithFault(c.withOnceOnlyCalls(c.scenario("stop-in-turn", 20*time.Second, streamRate, streamTokens, c.entryAddrs()...)), func() {
			for _, name := range []string{"entry-4", "gpu-palermo-1", "lots-palermo"} {
				c.terminate(name)
				c.start(name)
			}
		})
		So(r.All.Outcomes[requests.OutcomeWhole], ShouldEqual, r.All.Calls)
		assertAtMostOnce(r)

		r = c.runWithFault(c.scenario("stop-all", faultDelay, streamRate, streamTokens, c.entryAddrs()...), func() {
			var terminations sync.WaitGroup
			for name := range c.processes {
				if strings.HasPrefix(name, "entry-") || strings.HasPrefix(name, "gpu-") {
					terminations.Go(func() { c.terminate(name) })
				}
			}
			terminations.Wait()
		})
		So(r.All.Outcomes[requests.OutcomeCut], ShouldEqual, 0)
		So(r.All.Outcomes[requests.OutcomeWrong], ShouldEqual, 0)
		So(r.All.Outcomes["unknown"]+r.All.Outcomes["incomplete"], ShouldEqual, 0)
		So(c.processes["entry-1"].cmd.ProcessState.Sys().(syscall.WaitStatus).ExitStatus(), ShouldEqual, 0)
	})
}
