package inprocess

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	nextDigest = core.Digest("sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb")
	// rolloutCallRate is the load during a rollout, in calls per second. About 25
	// calls run at once; nine cold servers can run 72.
	rolloutCallRate = 25
	// rolloutTokens is the number of tokens of a response during a rollout.
	rolloutTokens = 20
	// unloadedTime is how long a server has no version loaded during a rollout.
	unloadedTime = 100 * time.Millisecond
)

// rollOut declares the next version and loads it on one server after another, in
// place of the previous version.
func (c *cluster) rollOut() {
	set := c.declarations(engineColdLimit)
	set.Versions["v2"] = &declare.Version{Name: "v2", Model: testModel, Manifest: nextDigest}
	set.Models[testModel].Version = "v2"
	c.configHolder.Offer(&declare.Snapshot{Number: 2, Set: set})
	for _, s := range c.servers {
		if err := s.handler.DrainVersion(c.t.Context(), testDigest); err != nil {
			c.t.Error(err)
		}
		s.setLoaded()
		<-time.After(unloadedTime)
		next := frame.LoadedVersion{Model: testModel, Version: "v2", Digest: nextDigest}
		s.engine.Preload(next)
		s.setLoaded(next)
	}
}

func TestRolloutOverColdServers(t *testing.T) {
	RunInVirtualTime(t, func(t *testing.T) {
		Convey("Given nine cold servers under load, the rollout of a new version causes no refusal", t, func() {
			c := newCluster(t, engineConfig(engineColdLimit, 0.0001), engineColdLimit)
			load := c.scenario("rollout", 20*time.Second, rolloutCallRate, requests.Range{Min: rolloutTokens, Max: rolloutTokens})
			r, _ := c.runScenario(load, engineColdLimit*serverCount, fillTime, c.rollOut)
			t.Logf("%v %v", r.All.Outcomes, r.All.Details)
			So(r.All.Outcomes[requests.OutcomeWhole], ShouldEqual, r.All.Calls)
		})
	})
}
