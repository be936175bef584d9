package spread

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/manifest"
)

func TestFetchDrawsTheOriginOnceForAllRegions(t *testing.T) {
	oneCopy := func(_ int, c *Config) { c.OneOriginCopy = true }
	sites := []string{"r1/a", "r2/b", "r3/c"}

	Convey("Given twelve agents of three regions that begin together", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, sites, oneCopy)
		So(fetchAll(agents, d), ShouldBeNil)
		So(wholeEverywhere(agents, m), ShouldBeTrue)
		So(copies(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
	})

	Convey("Given agents that are asked for pieces before they begin", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, sites, oneCopy)
		first := make(chan error, 1)
		go func() { first <- fetchPart(agents[:6], agents, d) }()
		<-time.After(50 * time.Millisecond)
		So(fetchPart(agents[6:], agents, d), ShouldBeNil)
		So(<-first, ShouldBeNil)
		So(wholeEverywhere(agents, m), ShouldBeTrue)
		So(copies(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
	})

	Convey("Given an owner that is gone, the others still get everything", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, sites, oneCopy)
		agents[0].stop()
		So(fetchPart(agents[1:], agents, d), ShouldBeNil)
		So(wholeEverywhere(agents[1:], m), ShouldBeTrue)
	})

	Convey("Given an origin that is down at first and then sends chunk after chunk, each is read once", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 48)
		back := time.Now().Add(400 * time.Millisecond)
		origin.fault = func(name string, body []byte) ([]byte, error) {
			if strings.HasPrefix(name, manifest.ObjectName("")) {
				return body, nil
			}
			if time.Now().Before(back) {
				return nil, errors.New("connection refused")
			}
			<-time.After(5 * time.Millisecond)
			return body, nil
		}
		agents := startAgents(t, 24, origin, sites, oneCopy)
		So(fetchAll(agents, d), ShouldBeNil)
		So(wholeEverywhere(agents, m), ShouldBeTrue)
		So(copies(origin, m), ShouldBeLessThanOrEqualTo, 1.25)
	})
}
