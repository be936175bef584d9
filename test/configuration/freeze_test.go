package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
)

// freezeDuration is how long processes are frozen. It is longer than the longest
// pause that a process does not detect.
const freezeDuration = 2 * time.Second

// concurrentCalls is the number of calls that wait for a frozen entry instance.
const concurrentCalls = 20

// TestFrozenPastAChange freezes an entry instance and an agent of a data centre,
// drains the data centre meanwhile, and resumes the two processes in random order
// while calls wait. The drained data centre may not serve any of these calls.
func TestFrozenPastAChange(t *testing.T) {
	Convey("Given services in three data centres", t, func() {
		r := newRig(t, rigConfig{entryCount: 2, serviceCount: 3})
		r.awaitRegistered()
		number, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		r.awaitInForce(number, startTimeout, r.daemons...)
		r.awaitResponseFrom(r.entries[0], r.agents[0])
		rng := rand.New(rand.NewPCG(6, 1))

		Convey("a frozen entry instance and agent do no work on the old configuration once resumed", func() {
			for round := range rounds(1) {
				outcomes := r.freezeRound(round, rng)
				So(outcomes[r.agents[0].id], ShouldEqual, 0)
				So(outcomes[unknown], ShouldEqual, 0)
				t.Logf("round %d: %v", round, outcomes)
			}
		})
	})
}

// Outcomes of calls that no server served.
const (
	notRun  = "refused as not run"
	unknown = "unknown"
)

// freezeRound freezes entry-1 and the agent in palermo, drains palermo, resumes
// both and returns the number of calls with each outcome. It also returns palermo
// to service.
func (r *rig) freezeRound(round int, rng *rand.Rand) map[string]int {
	frozen := []*process{r.entries[0], r.agents[0]}
	for _, p := range frozen {
		r.signal(p, syscall.SIGSTOP)
	}
	metadata := ops.ChangeMetadata{Author: "ada", Reason: "test", ChangeID: fmt.Sprintf("out-%d", round)}
	drained, err := r.operatorClient(r.entries[1]).SetDataCentreOut(r.t.Context(), dataCentres[0], true, metadata)
	r.must(err)
	r.awaitInForce(drained.Number, propagationTimeout, r.entries[1], r.agents[1], r.agents[2])
	<-time.After(freezeDuration)

	outcomes := make(chan string, concurrentCalls)
	var calls sync.WaitGroup
	for range concurrentCalls {
		calls.Add(1)
		go func() {
			defer calls.Done()
			server, err := r.call(r.entries[0])
			outcomes <- outcome(server, err)
		}()
	}
	rng.Shuffle(len(frozen), func(i, j int) { frozen[i], frozen[j] = frozen[j], frozen[i] })
	for _, p := range frozen {
		r.signal(p, syscall.SIGCONT)
	}
	calls.Wait()
	close(outcomes)
	counts := map[string]int{}
	for server := range outcomes {
		counts[server]++
	}
	r.awaitInForce(drained.Number, propagationTimeout, r.daemons...)
	metadata.ChangeID = fmt.Sprintf("in-%d", round)
	returned, err := r.operatorClient(r.entries[1]).SetDataCentreOut(r.t.Context(), dataCentres[0], false, metadata)
	r.must(err)
	r.awaitInForce(returned.Number, propagationTimeout, r.daemons...)
	r.awaitResponseFrom(r.entries[0], r.agents[0])
	return counts
}

// outcome returns the name of the server that served a call. If no server served
// it, outcome returns notRun or unknown, depending on the error of the call.
func outcome(server string, err error) string {
	switch {
	case err == nil:
		return server
	case strings.Contains(err.Error(), `"outcome":"not-run"`):
		return notRun
	default:
		return unknown
	}
}

// awaitResponseFrom waits until the server serves a call through the entry
// instance. The entry instance and the server must be in the same data centre,
// because an entry instance prefers servers of its own data centre.
func (r *rig) awaitResponseFrom(entry, server *process) {
	r.t.Helper()
	r.eventually(server.id+" serves calls", startTimeout, func() bool {
		name, err := r.call(entry)
		return err == nil && name == server.id
	})
}
