package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
)

const (
	// rolloutBytes is the size of the version that is rolled out.
	rolloutBytes = 16 << 20
	// regionCount is the number of regions in dataCentres.
	regionCount = 2
	// maxOriginCopies is the largest amount of data that the agents of a region
	// may read from the origin in a rollout without faults, in copies of the
	// version.
	maxOriginCopies = 1.05
	// maxOriginCopiesWithFaults takes the place of maxOriginCopies in a rollout
	// with faults.
	maxOriginCopiesWithFaults = 1.3
	// maxRollbackCopies is the largest amount of data that all agents together may
	// read from the origin in a rollback, in copies of the version. The restarted
	// agent has lost its chunks, and reads again those of which it is an owner.
	maxRollbackCopies = 0.5
	// rolloutCallRate is the load during a rollout without faults, in calls per
	// second.
	rolloutCallRate = 25
	// rolloutTokens is the number of tokens of each response.
	rolloutTokens = 20
	// faultCallRate is a load, in calls per second, that cold servers can serve
	// while two of nine are down and others switch versions.
	faultCallRate = 8
)

// publishVersion publishes and declares a version of size bytes and returns
// its digest.
func (c *cluster) publishVersion(name string, size int) string {
	c.t.Helper()
	var weights bytes.Buffer
	for i := 0; weights.Len() < size; i++ {
		_, _ = fmt.Fprintf(&weights, "%s %d,", name, i)
	}
	dir := filepath.Join(c.t.TempDir(), name)
	c.must(os.Mkdir(dir, 0o755))
	c.must(os.WriteFile(filepath.Join(dir, "weights.bin"), weights.Bytes(), 0o644))
	digest := strings.TrimSpace(c.runCommand("publish", "--chunk-bytes", "262144", dir))
	c.addDeclarations("kind: Version\nname: " + name + "\nmodel: herbs\nmanifest: " + digest)
	return digest
}

// applyVersion puts a declared version of the model in force.
func (c *cluster) applyVersion(name string) {
	c.t.Helper()
	docs := strings.ReplaceAll(c.declarations.String(), "version: v1\n", "version: "+name+"\n")
	dir := c.t.TempDir()
	c.must(os.WriteFile(filepath.Join(dir, "all.yaml"), []byte(strings.TrimSuffix(docs, "---\n")), 0o644))
	c.runCommand("apply", "--reason", "roll out "+name, dir)
}

// originBytes returns the number of bytes that the weight store has sent.
func (c *cluster) originBytes() int64 {
	var counts map[string]map[string]int64
	c.must(json.Unmarshal([]byte(getBody(c.platformAddr, "/counters")), &counts))
	return counts["weights"]["bytesOut"]
}

// awaitVersion waits until every engine reports digest as its only loaded
// version.
func (c *cluster) awaitVersion(digest string) {
	c.t.Helper()
	for name, p := range c.processes {
		if !strings.HasPrefix(name, "engine:") {
			continue
		}
		c.eventually(name+" has loaded only the expected version", func() bool {
			status := getBody(p.addr, "/engine/status")
			return strings.Contains(status, digest) && strings.Count(status, "sha256:") == 1
		})
	}
}

func TestRolloutUnderLoad(t *testing.T) {
	Convey("Given nine engines that serve a version under load", t, func() {
		c := newCluster(t, engineArgs, nil)
		t.Cleanup(c.stop)
		scenario := func(name string, d time.Duration, rate float64) *requests.Scenario {
			return c.scenario(name, d, rate, rolloutTokens, c.entryAddrs()...)
		}
		quiet := c.runWithFault(scenario("quiet", loadDuration, rolloutCallRate), func() {})

		// A new version reaches all engines, and callers get whole responses.
		v2Digest := c.publishVersion("v2", rolloutBytes)
		before := c.originBytes()
		duringRollout := c.runWithFault(scenario("burst", 2*loadDuration, rolloutCallRate), func() { c.applyVersion("v2") })
		c.awaitVersion(v2Digest)
		copies := c.copiesSince(before)
		// All processes share the processors of this machine, so latencies are
		// logged but not asserted.
		t.Logf("origin %.3f copies, first token 95th percentile %.1f ms quiet, %.1f ms during the rollout",
			copies, quiet.All.FirstToken.P95, duringRollout.All.FirstToken.P95)
		So(duringRollout.All.Outcomes[requests.OutcomeWrong], ShouldEqual, 0)
		So(duringRollout.All.Outcomes[requests.OutcomeWhole], ShouldEqual, duringRollout.All.Calls)
		So(copies, ShouldBeLessThanOrEqualTo, regionCount*maxOriginCopies)

		// Another version arrives although an agent is killed, another one is
		// frozen and the origin sends corrupt chunks.
		v3Digest := c.publishVersion("v3", rolloutBytes)
		before = c.originBytes()
		c.postToStandIn(c.platformAddr, "/faults", `{"corrupt": {"store": "weights", "times": 3}}`)
		duringRollout = c.runWithFault(scenario("burst with faults", 2*loadDuration, faultCallRate), func() {
			c.applyVersion("v3")
			c.signal("gpu-catania-1", syscall.SIGKILL)
			c.signal("gpu-palermo-2", syscall.SIGSTOP)
			<-time.After(faultDelay)
			c.start("gpu-catania-1")
			c.signal("gpu-palermo-2", syscall.SIGCONT)
		})
		c.awaitVersion(v3Digest)
		copies = c.copiesSince(before)
		t.Logf("origin %.3f copies with faults", copies)
		So(duringRollout.All.Outcomes[requests.OutcomeWrong], ShouldEqual, 0)
		So(duringRollout.All.Outcomes[requests.OutcomeWhole], ShouldEqual, duringRollout.All.Calls)
		So(copies, ShouldBeLessThanOrEqualTo, regionCount*maxOriginCopiesWithFaults)

		// A rollback reads nothing from the origin for agents that still hold the
		// previous version.
		before = c.originBytes()
		c.applyVersion("v2")
		c.awaitVersion(v2Digest)
		So(c.copiesSince(before), ShouldBeLessThanOrEqualTo, maxRollbackCopies)
	})
}

// copiesSince returns the bytes that the weight store has sent beyond
// sentBefore, in copies of the version that is rolled out.
func (c *cluster) copiesSince(sentBefore int64) float64 {
	return float64(c.originBytes()-sentBefore) / rolloutBytes
}

// postToStandIn posts a JSON body to a stand-in.
func (c *cluster) postToStandIn(addr, path, body string) {
	c.t.Helper()
	resp, err := http.Post("http://"+addr+path, "application/json", strings.NewReader(body))
	c.must(err)
	c.must(resp.Body.Close())
}
