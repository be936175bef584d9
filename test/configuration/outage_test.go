package configuration

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
)

// peerTimeout is how long a new process may take to get the configuration from
// peers while it cannot reach the platform.
const peerTimeout = 10 * time.Second

// outageDuration returns how long the platform stays down;
// RATTANWAY_TEST_OUTAGE overrides the default.
func outageDuration() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("RATTANWAY_TEST_OUTAGE")); err == nil {
		return d
	}
	return 3 * time.Second
}

func TestPlatformOutage(t *testing.T) {
	Convey("Given a version in force and a platform that goes down", t, func() {
		r := newRig(t, rigConfig{entryCount: 3, agentCount: 2, serviceCount: 2})
		r.awaitRegistered()
		first, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		r.awaitInForce(first, startTimeout, r.daemons...)
		r.setDown(true)
		outageEnd := time.Now().Add(outageDuration())

		Convey("changes are refused, new processes get the version from peers, and nothing is lost", func() {
			_, err := r.apply(r.entries[1], first, "second", "east")
			So(problemType(err), ShouldEqual, ops.TypePlatformUnavailable)

			r.kill(r.entries[2])
			r.start(r.entries[2])
			r.awaitInForce(first, peerTimeout, r.entries[2])

			agent := r.addProcess("gpu-new", "agent", 1, "--engine", unreachableAddr, "--entries", r.entriesSetting())
			r.start(agent)
			r.awaitInForce(first, peerTimeout, agent)

			entry := r.addProcess("entry-new", "entry", 1, "--entries", r.entriesSetting())
			r.start(entry)
			r.awaitInForce(first, peerTimeout, entry)
			r.eventually("the new entry instance is ready", peerTimeout, func() bool {
				return getStatus(entry.addr, "/readyz") == http.StatusOK
			})

			r.eventually("a call through the new entry instance is served", peerTimeout, func() bool {
				server, err := r.call(entry)
				return err == nil && server != ""
			})

			<-time.After(time.Until(outageEnd))
			So(r.countInForce(first+1, r.daemons), ShouldEqual, 0)
			r.setDown(false)
			history, err := r.operatorClient(r.entries[0]).History(t.Context(), 10)
			So(err, ShouldBeNil)
			So(len(history.Entries), ShouldEqual, 1)
			second, err := r.apply(r.entries[1], first, "second", "east")
			So(err, ShouldBeNil)
			r.awaitInForce(second, propagationTimeout, r.daemons...)
		})
	})
}

// entriesSetting returns the entry instances as a value for --entries.
func (r *rig) entriesSetting() string {
	var all []string
	for _, p := range r.entries {
		all = append(all, p.id+"@"+p.addr+"/"+p.args[6]+"/"+p.args[8])
	}
	return strings.Join(all, ",")
}

// problemType returns the type of the problem document in err, or "" if err has
// none.
func problemType(err error) string {
	var p *ops.Problem
	if !errors.As(err, &p) {
		return ""
	}
	return p.Type
}
