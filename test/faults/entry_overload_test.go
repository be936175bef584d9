package faults

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

const (
	overloadDuration = 10 * time.Second
	// tokenTime is the time that a token takes at a server that is not overloaded.
	tokenTime = 50 * time.Millisecond
	// streamTime is the time that a response of streamTokens tokens takes at a
	// server that is not overloaded.
	streamTime = streamTokens * tokenTime
	// smallAccountRate is the load of a small client account, in calls per second.
	smallAccountRate = 6.0
)

// overloadScenario returns a load of one large and three small client accounts,
// which together make totalRate calls per second.
func (c *cluster) overloadScenario(name string, totalRate float64) *requests.Scenario {
	s := c.scenario(name, overloadDuration, totalRate-3*smallAccountRate, streamTokens, c.entryAddrs()...)
	s.Accounts[0].StreamShare = 1
	s.Accounts[0].Tokens = requests.Range{Min: streamTokens / 2, Max: streamTokens * 3 / 2}
	for _, small := range []string{"small-1", "small-2", "small-3"} {
		a := s.Accounts[0]
		a.Name, a.Key, a.CallsPerSecond = small, small+"-key", smallAccountRate
		s.Accounts = append(s.Accounts, a)
	}
	return s
}

// TestOverloadedProcesses checks that responses under overload are whole or
// refusals. The goodput depends on the machine, so test/inprocess checks it in
// virtual time.
func TestOverloadedProcesses(t *testing.T) {
	Convey("Given nine warm engines and twice the load of their capacity, every call gets a whole response or a refusal", t, func() {
		c := warmCluster(t)
		slots := engineLimit * serversPerDataCentre * len(dataCentres)

		load := c.overloadScenario("twice", 2*float64(slots)/streamTime.Seconds())

		r := c.runWithFault(load, func() {})
		So(r.All.Outcomes[requests.OutcomeWrong]+r.All.Outcomes[requests.OutcomeCut], ShouldEqual, 0)
		So(r.All.Outcomes[requests.OutcomeDoubled]+r.All.Outcomes[requests.OutcomeLost], ShouldEqual, 0)
		for _, a := range r.Accounts {
			So(a.Outcomes[requests.OutcomeWhole], ShouldBeGreaterThan, 0)
		}
	})
}
