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
	onceCalls = 10_000
	onceRate  = 400
	// faultInterval is the time between two faults.
	faultInterval = 2 * time.Second
	// lostCommits is the number of commits in a row whose responses the
	// platform loses.
	lostCommits = "50"
)

// setPlatformFaults switches faults of the platform on or off.
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
		func() { c.setPlatformFaults(`{"loseCommitAnswers":` + lostCommits + `}`) },
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

// TestOnceOnlyCallsOfRealProcesses makes 10,000 once-only calls, half of them
// with an idempotency key. Calls with a key are submitted again through other
// entry instances until they get a response. The services count the executions.
func TestOnceOnlyCallsOfRealProcesses(t *testing.T) {
	Convey("Given once-only calls under kills, freezes, lost responses and an outage", t, func() {
		c := warmCluster(t)
		s := c.scenario("once", onceCalls*time.Second/onceRate, onceRate, 1, c.entryAddrs()...)
		s.Services = c.serviceAddrs()
		s.Accounts[0].OnceShare = 1
		s.Accounts[0].KeyedShare = 0.5
		s.Accounts[0].OncePath = "/services/lots/lots"
		r := c.runWithFault(s, c.runFaultSequence)
		assertAtMostOnce(r)
		So(r.All.Outcomes[requests.OutcomeWrong], ShouldEqual, 0)
		So(r.All.Calls, ShouldBeGreaterThan, onceCalls*9/10)
		So(r.All.Outcomes[requests.OutcomeWhole], ShouldBeGreaterThan, onceCalls/2)
	})
}
