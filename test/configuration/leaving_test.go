package configuration

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
)

const (
	// callDuration is how long a call runs. It is long enough that some calls
	// run when the server is marked as leaving.
	callDuration = 800 * time.Millisecond
	// callersPerEntry is the number of workers that make calls through each entry
	// instance, one call at a time.
	callersPerEntry = 8
	// maxLeaveDelay is how long a server may still get new calls after the request
	// to mark it as leaving.
	maxLeaveDelay = 3 * time.Second
	// watchDuration is how long after the request to mark the server as leaving
	// the test observes the server for new calls.
	watchDuration = 3 * maxLeaveDelay / 2
)

// TestLeavingServer marks a backend server as leaving under load. The server must
// get no new calls once maxLeaveDelay has passed since the request, and no call may
// be cut off.
func TestLeavingServer(t *testing.T) {
	Convey("Given four entry instances and three services under load", t, func() {
		r := newRig(t, rigConfig{entryCount: 4, serviceCount: 3, serviceDelay: callDuration})
		r.awaitRegistered()
		number, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		r.awaitInForce(number, startTimeout, r.daemons...)
		leaving := r.agents[0]
		r.awaitResponseFrom(r.entries[0], leaving)
		load := r.startLoad()
		r.eventually("the server runs calls", startTimeout, func() bool { return r.executionCount(0) > callersPerEntry })

		Convey("a leaving server gets no new calls after 3 s, and no call is cut off", func() {
			metadata := ops.ChangeMetadata{Author: "ada", Reason: "repair", ChangeID: "leave"}
			requested := time.Now()
			_, err := r.operatorClient(r.entries[3]).SetBackendServerLeaving(t.Context(), leaving.id, true, metadata)
			So(err, ShouldBeNil)
			last := r.lastExecutionDelay(0, requested, watchDuration)
			succeededCallCount, failed := load.stop()
			t.Logf("last new call %s after the request; %d calls whole, %d failed: %v", last, succeededCallCount, len(failed), failed)
			So(last, ShouldBeLessThanOrEqualTo, maxLeaveDelay)
			So(failed, ShouldBeEmpty)
			So(succeededCallCount, ShouldBeGreaterThan, 4*callersPerEntry)
		})
	})
}

// executionCount returns how many calls plain service n has executed.
func (r *rig) executionCount(n int) int {
	r.t.Helper()
	resp, err := http.Get("http://" + r.serviceProcesses[n].addr + "/service/counters")
	r.must(err)
	defer resp.Body.Close()
	var counts map[string]int
	r.must(json.NewDecoder(resp.Body).Decode(&counts))
	sum := 0
	for _, c := range counts {
		sum += c
	}
	return sum
}

// lastExecutionDelay polls the execution count of plain service n until duration
// has passed since requestedAt. It returns the time from requestedAt to the last
// increase of the count, or 0 if the count did not increase.
func (r *rig) lastExecutionDelay(n int, requestedAt time.Time, duration time.Duration) time.Duration {
	r.t.Helper()
	last, count := time.Duration(0), r.executionCount(n)
	for time.Since(requestedAt) < duration {
		<-time.After(pollInterval)
		if now := r.executionCount(n); now != count {
			last, count = time.Since(requestedAt), now
		}
	}
	return last
}

// callLoad is a load of calls. Each of several workers makes one call after another
// without a pause.
type callLoad struct {
	stopCh  chan struct{}
	workers sync.WaitGroup

	mu                 sync.Mutex
	succeededCallCount int
	failures           []string
}

// startLoad starts a load of callersPerEntry workers per entry instance.
func (r *rig) startLoad() *callLoad {
	l := &callLoad{stopCh: make(chan struct{})}
	for _, entry := range r.entries {
		for range callersPerEntry {
			l.workers.Add(1)
			go l.run(r, entry)
		}
	}
	return l
}

// run makes calls through one entry instance until the load is stopped.
func (l *callLoad) run(r *rig, entry *process) {
	defer l.workers.Done()
	for {
		select {
		case <-l.stopCh:
			return
		default:
		}
		_, err := r.call(entry)
		l.mu.Lock()
		if err == nil {
			l.succeededCallCount++
		} else {
			l.failures = append(l.failures, err.Error())
		}
		l.mu.Unlock()
	}
}

// stop stops the load and returns the number of whole responses and the errors
// of the other calls.
func (l *callLoad) stop() (succeededCallCount int, failed []string) {
	close(l.stopCh)
	l.workers.Wait()
	return l.succeededCallCount, l.failures
}
