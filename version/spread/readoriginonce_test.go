package spread

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/manifest"
)

func TestFetchReadsTheOriginOnceForAllRegions(t *testing.T) {
	readOnce := func(_ int, c *Config) { c.ReadOriginOnce = true }
	dataCentres := []string{"r1/a", "r2/b", "r3/c"}

	Convey("Given twelve agents in three regions that start to fetch together", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, dataCentres, readOnce)
		So(fetchAll(agents, d), ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
	})

	Convey("Given agents that receive requests for chunks before they start to fetch", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, dataCentres, readOnce)
		first := make(chan error, 1)
		go func() { first <- fetchWithPeerList(agents[:6], agents, d) }()
		<-time.After(50 * time.Millisecond)
		So(fetchWithPeerList(agents[6:], agents, d), ShouldBeNil)
		So(<-first, ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
	})

	Convey("Given an owner that has stopped, the others still fetch the complete version", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, dataCentres, readOnce)
		agents[0].stop()
		So(fetchWithPeerList(agents[1:], agents, d), ShouldBeNil)
		So(allHold(agents[1:], m), ShouldBeTrue)
	})

	Convey("Given an origin that is down at first and then sends the chunks slowly, each is read about once", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 48)
		available := time.Now().Add(400 * time.Millisecond)
		origin.fault = func(name string, body []byte) ([]byte, error) {
			if strings.HasPrefix(name, manifest.ManifestName("")) {
				return body, nil
			}
			if time.Now().Before(available) {
				return nil, errors.New("connection refused")
			}
			<-time.After(5 * time.Millisecond)
			return body, nil
		}
		agents := startAgents(t, 24, origin, dataCentres, readOnce)
		So(fetchAll(agents, d), ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.25)
	})
}
