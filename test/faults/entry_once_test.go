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
	// onceCallCount is the mean number of calls in a run.
	onceCallCount = 10_000
	// onceRate is the load, in calls per second.
	onceRate = 400
	// faultInterval is the time between two faults.
	faultInterval = 2 * time.Second
	// lostCommitCount is the number of consecutive commits whose responses the
	// platform loses.
	lostCommitCount = "50"
)

// setPlatformFaults sets the given faults, a JSON object, at the platform stand-in;
// the others stay unchanged.
func (c *cluster) setPlatformFaults(faults string) {
	resp, err := http.Post("http://"+c.platformAddr+"/faults", "application/json", strings.NewReader(faults))
	c.must(err)
	_ = resp.Body.Close()
}

// runFaultSequence kills and freezes processes that once-only calls depend on,
// and makes the platform lose responses and go down, one after the other.
func (c *cluster) runFaultSequence() {
	steps := []func(){
		func() { c.signal("lots-palermo", syscall.SIGKILL) },
		func() { c.start("lots-palermo") },
		func() { c.setPlatformFaults(`{"loseCommitAnswers":` + lostCommitCount + `}`) },
		func() { c.signal("entry-2", syscall.SIGSTOP) },
		func() { c.signal("entry-2", syscall.SIGCONT) },
		func() { c.setPlatformFaults(`{"unavailable":true}`) },
		func() { c.setPlatformFaults(`{"unavailable":false}`) },
		func() { c.signal("entry-3", syscall.SIGKILL) },
		func() { c.start("entry-3") },
		func() { c.signal("lots-trapani", syscall.SIGSTOP) },
		func() { c.signal("lots-trapani", syscall.SIGCONT) },
	}
	for _, step := range steps {
		step()
		<-time.After(faultInterval)
	}
}

// TestOnceOnlyCallsOfRealProcesses makes about 10,000 once-only calls, half of them
// with an idempotency key. A call with a key is submitted again through other entry
// instances, a limited number of times, until it gets a response. The services count
// the executions.
func TestOnceOnlyCallsOfRealProcesses(t *testing.T) {
	Convey("Given once-only calls under kills, freezes, lost responses and an outage", t, func() {
		c := warmCluster(t)
		s := c.scenario("once", onceCallCount*time.Second/onceRate, onceRate, 1, c.entryAddrs()...)
		s.ServiceAddrs = c.serviceAddrs()
		s.Accounts[0].OnceShare = 1
		s.Accounts[0].KeyedShare = 0.5
		s.Accounts[0].OncePath = "/services/lots/lots"
		r := c.runWithFault(s, c.runFaultSequence)
		assertAtMostOnce(r)
		So(r.All.Outcomes[requests.OutcomeWrong], ShouldEqual, 0)
		So(r.All.Calls, ShouldBeGreaterThan, onceCallCount*9/10)
		So(r.All.Outcomes[requests.OutcomeWhole], ShouldBeGreaterThan, onceCallCount/2)
	})
}
