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
	// rolloutRate and rolloutTokens are the load during a rollout: about 25
	// answers at once, of 72 that nine cold servers bear.
	rolloutRate   = 25
	rolloutTokens = 20
	// loadTime is how long a server holds neither version.
	loadTime = 100 * time.Millisecond
)

// rollOut declares the next version, for which each server in turn gives up the
// one before.
func (c *cluster) rollOut() {
	set := c.declarations(engineCold)
	set.Versions["v2"] = &declare.Version{Name: "v2", Model: testModel, Manifest: nextDigest}
	set.Models[testModel].Version = "v2"
	c.holder.Offer(&declare.Snapshot{Number: 2, Set: set})
	for _, s := range c.servers {
		if err := s.handler.DrainVersion(c.t.Context(), testDigest); err != nil {
			c.t.Error(err)
		}
		s.setLoaded()
		<-time.After(loadTime)
		next := frame.Loaded{Model: testModel, Version: "v2", Digest: nextDigest}
		s.engine.Preload(next)
		s.setLoaded(next)
	}
}

func TestRolloutOverColdServers(t *testing.T) {
	Virtually(t, func(t *testing.T) {
		Convey("Given nine servers that have not warmed, a new version comes in under load without a refusal", t, func() {
			c := newCluster(t, engines(engineCold, 0.0001), engineCold)
			load := c.load("rollout", 20*time.Second, rolloutRate, requests.Range{Min: rolloutTokens, Max: rolloutTokens})
			r, _ := c.under(load, engineCold*servers, fillFor, c.rollOut)
			t.Logf("%v %v", r.All.Words, r.All.Details)
			So(r.All.Words[requests.WordWhole], ShouldEqual, r.All.Calls)
		})
	})
}
