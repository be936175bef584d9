package faults

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

const (
	overloadFor = 10 * time.Second
	// tokenTime and streamTime are the times of a token and of an answer at
	// a server that is not above what it bears.
	tokenTime  = 50 * time.Millisecond
	streamTime = streamTokens * tokenTime
	smallRate  = 6.0
)

// overload returns a load of one large and three small client accounts.
func (c *cluster) overload(name string, total float64) *requests.Scenario {
	s := c.load(name, overloadFor, total-3*smallRate, streamTokens, c.entries()...)
	s.Accounts[0].Stream = 1
	s.Accounts[0].Tokens = requests.Range{Min: streamTokens / 2, Max: streamTokens * 3 / 2}
	for _, small := range []string{"small-1", "small-2", "small-3"} {
		a := s.Accounts[0]
		a.Name, a.Key, a.Rate = small, small+"-key", smallRate
		s.Accounts = append(s.Accounts, a)
	}
	return s
}

// TestOverloadedProcesses checks what processes answer under overload. How
// much they answer depends on the machine; test/inprocess checks that in
// virtual time.
func TestOverloadedProcesses(t *testing.T) {
	Convey("Given nine warm engines and twice what they bear, every call is answered whole or refused", t, func() {
		c := warmCluster(t)
		slots := engineLimit * perDataCentre * len(dataCentres)

		load := c.overload("twice", 2*float64(slots)/streamTime.Seconds())

		r := c.under(load, func() {})
		So(r.All.Words[requests.WordWrong]+r.All.Words[requests.WordCut], ShouldEqual, 0)
		So(r.All.Words[requests.WordDoubled]+r.All.Words[requests.WordLost], ShouldEqual, 0)
		for _, a := range r.Accounts {
			So(a.Words[requests.WordWhole], ShouldBeGreaterThan, 0)
		}
	})
}
