package faults

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

const (
	// foreignResponseDuration is how long an engine returns responses that belong
	// to other requests.
	foreignResponseDuration = 4 * time.Second
	// isolationDuration is how long palermo is cut off from everything else.
	isolationDuration = 10 * time.Second
	// oneDataCentreRate is a load, in calls per second, that one data centre can
	// serve alone, even when the limit of one of its servers has fallen a little.
	oneDataCentreRate = 30
)

// setEngineFaults replaces the faults of one engine.
func (c *cluster) setEngineFaults(server, faults string) {
	resp, err := http.Post("http://"+c.processes["engine:"+server].addr+"/engine/faults", "application/json", strings.NewReader(faults))
	c.must(err)
	_ = resp.Body.Close()
}

// totalCPUTime returns the CPU time that all processes whose names start with
// prefix have used together since their start.
func (c *cluster) totalCPUTime(prefix string) time.Duration {
	var sum float64
	for name := range c.processes {
		if strings.HasPrefix(name, prefix) {
			sum += c.metric(name, "process.cpu.microseconds")
		}
	}
	return time.Duration(sum) * time.Microsecond
}

// logCPUTime runs a load without faults and logs the CPU time that entry instances
// and agents use for a call and for a token.
func (c *cluster) logCPUTime(run func() *requests.Result) {
	entryCPU, agentCPU := c.totalCPUTime("entry-"), c.totalCPUTime("gpu-")
	r := run()
	entryCPU, agentCPU = c.totalCPUTime("entry-")-entryCPU, c.totalCPUTime("gpu-")-agentCPU
	divide := func(d time.Duration, n int) time.Duration { return d / time.Duration(max(1, n)) }
	c.t.Logf("%d calls, %d tokens; CPU time of entry instances: %s per call, %s per token; of agents: %s per call, %s per token",
		r.All.Calls, r.All.TokenCount, divide(entryCPU, r.All.Calls), divide(entryCPU, r.All.TokenCount),
		divide(agentCPU, r.All.Calls), divide(agentCPU, r.All.TokenCount))
}

// processesOutsidePalermo returns the names of the platform and of every
// process in the other data centres. Freezing them all isolates palermo.
func (c *cluster) processesOutsidePalermo() []string {
	names := []string{"platform", "entry-2", "entry-3"}
	for name := range c.processes {
		if strings.Contains(name, "trapani") || strings.Contains(name, "catania") {
			names = append(names, name)
		}
	}
	return names
}

func TestEngineFaultsAndCutOff(t *testing.T) {
	Convey("Given four entry instances and nine engines under 200 streams", t, func() {
		c := warmCluster(t)
		c.logCPUTime(func() *requests.Result {
			return c.runWithFault(c.scenario("quiet", loadDuration, streamRate, streamTokens, c.entryAddrs()...), func() {})
		})

		r := c.runWithFault(c.scenario("crossed", loadDuration, streamRate, streamTokens, c.entryAddrs()...), func() {
			c.setEngineFaults("gpu-trapani-1", `{"crossed":true}`)
			<-time.After(foreignResponseDuration)
			c.setEngineFaults("gpu-trapani-1", `{}`)
		})
		assertAllWhole(r, 0)

		r = c.runWithFault(c.scenario("turned-cold", loadDuration, twoDataCentresRate, streamTokens, c.entryAddrs()...), func() { c.turnCold("trapani") })
		assertAllWhole(r, 0)

		palermoEntries := []string{c.processes["entry-1"].addr, c.processes["entry-4"].addr}
		r = c.runWithFault(c.scenario("cut-off", faultDelay+isolationDuration+faultDelay, oneDataCentreRate, streamTokens, palermoEntries...), func() {
			for _, name := range c.processesOutsidePalermo() {
				c.signal(name, syscall.SIGSTOP)
			}
			<-time.After(isolationDuration)
			for _, name := range c.processesOutsidePalermo() {
				c.signal(name, syscall.SIGCONT)
			}
		})
		So(r.All.Outcomes[requests.OutcomeWhole], ShouldEqual, r.All.Calls)
		c.awaitServing()
	})
}
