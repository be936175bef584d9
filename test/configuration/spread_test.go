package configuration

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// maxPropagationP99 is the limit of the 99th percentile of the time from a
	// request until the change is in force, over all processes and changes.
	maxPropagationP99 = 2 * time.Second
	// propagationTimeout is the time within which every change must be in force
	// in every process.
	propagationTimeout = 6 * time.Second
)

// rounds returns the number of rounds of a test; RATTANWAY_TEST_ROUNDS
// overrides the default.
func rounds(defaultRounds int) int {
	if n, err := strconv.Atoi(os.Getenv("RATTANWAY_TEST_ROUNDS")); err == nil && n > 0 {
		return n
	}
	return defaultRounds
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	Convey("Given four entry instances and thirty agents", t, func() {
		r := newRig(t, rigConfig{entryCount: 4, agentCount: 30})
		r.awaitRegistered()
		number, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		r.awaitInForce(number, startTimeout, r.daemons...)

		Convey("each change is in force everywhere within the bounds", func() {
			var delays []time.Duration
			for n := range rounds(5) {
				entry := r.entries[n%len(r.entries)]
				name := fmt.Sprintf("r%d", n)
				begin := time.Now()
				next, err := r.apply(entry, number, name, name)
				So(err, ShouldBeNil)
				number = next
				r.awaitInForce(number, propagationTimeout, r.daemons...)
				delays = append(delays, r.delays(number, begin)...)
			}
			sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
			t.Logf("from the operator's request until in force, %d processes and changes: median %s, 90%% %s, 99%% %s, maximum %s",
				len(delays), percentile(delays, 50), percentile(delays, 90), percentile(delays, 99), delays[len(delays)-1])
			So(percentile(delays, 99), ShouldBeLessThanOrEqualTo, maxPropagationP99)
			So(delays[len(delays)-1], ShouldBeLessThanOrEqualTo, propagationTimeout)
		})
	})
}

// awaitRegistered waits until every agent is registered at every entry instance.
func (r *rig) awaitRegistered() {
	r.t.Helper()
	for _, entry := range r.entries {
		r.eventually(entry.id+" has every agent registered", startTimeout, func() bool {
			s, err := r.operatorClient(entry).Status(r.t.Context())
			return err == nil && len(s.Servers) == len(r.agents)
		})
	}
}

// delays returns, for each process, the time from begin until the version with this
// number, or a newer one, came into force.
func (r *rig) delays(number uint64, begin time.Time) []time.Duration {
	first := map[string]time.Duration{}
	for _, e := range r.activations() {
		if _, ok := first[e.process]; !ok && e.number >= number {
			first[e.process] = e.at.Sub(begin)
		}
	}
	var all []time.Duration
	for _, d := range first {
		all = append(all, d)
	}
	return all
}

// percentile returns a percentile of the sorted values, for example the median if
// percent is 50. If percent is 100, it returns the largest value.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}
