package faults

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

// freezeAndResume freezes processes for freezeDuration.
func (c *cluster) freezeAndResume(names ...string) {
	for _, name := range names {
		c.signal(name, syscall.SIGSTOP)
	}
	<-time.After(freezeDuration)
	for _, name := range names {
		c.signal(name, syscall.SIGCONT)
	}
}

// withOnceOnlyCalls adds once-only calls to a scenario, half of them with an
// idempotency key.
func (c *cluster) withOnceOnlyCalls(s *requests.Scenario) *requests.Scenario {
	s.ServiceAddrs = c.serviceAddrs()
	s.Accounts = append(s.Accounts, requests.Account{
		Name: "lots", Key: accountKey, CallsPerSecond: 20, OnceShare: 1, KeyedShare: 0.5, OncePath: "/services/lots/lots",
		Tokens: requests.Range{Min: 1, Max: 1},
	})
	return s
}

// assertAtMostOnce asserts that once-only calls ran, that none ran twice, and that
// no call with the last outcome not-run was executed.
func assertAtMostOnce(r *requests.Result) {
	So(r.ExecutionCount, ShouldBeGreaterThan, 0)
	So(r.DuplicateExecutions, ShouldEqual, 0)
	So(r.FalseNotRun, ShouldEqual, 0)
}

func TestFreezesUnderLoad(t *testing.T) {
	Convey("Given four entry instances and nine engines under 200 streams", t, func() {
		c := warmCluster(t)
		const duration = faultDelay + freezeDuration + 3*time.Second

		r := c.runWithFault(c.withOnceOnlyCalls(c.scenario("freeze-agent", duration, streamRate, streamTokens, c.entryAddrs()...)), func() {
			c.freezeAndResume("gpu-palermo-1", "lots-palermo")
		})
		models := r.Accounts["erbe"]
		So(models.Outcomes[requests.OutcomeWhole], ShouldEqual, models.Calls)
		assertAtMostOnce(r)

		r = c.runWithFault(c.withOnceOnlyCalls(c.scenario("freeze-entry", duration, streamRate, streamTokens, c.entryAddrs()...)), func() {
			c.freezeAndResume("entry-4")
		})
		models = r.Accounts["erbe"]
		So(models.Outcomes[requests.OutcomeWhole], ShouldEqual, models.Calls)
		assertAtMostOnce(r)
	})
}
