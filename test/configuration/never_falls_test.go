package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
	standin "github.com/rattanway/rattanway/standin/platform"
)

// defaultSeed is the seed of the random faults unless RATTANWAY_TEST_SEED sets
// one.
const defaultSeed = 20

// seed returns the seed of the random faults.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("RATTANWAY_TEST_SEED"), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

// chaos injects random faults and makes changes in a rig.
type chaos struct {
	*rig
	rng    *rand.Rand
	frozen map[*process]bool
	killed map[*process]bool
	// platformDown reports whether the platform is unavailable.
	platformDown bool
	// accepted maps each accepted change id to its version.
	accepted map[string]uint64
	// refused holds the ids of refused changes, which must have no effect.
	refused map[string]bool
	// newestVersion is the number of the newest version that a response has
	// contained so far.
	newestVersion uint64
	// changeCount is the number of changes that were sent.
	changeCount int
	// restartCount is the number of times that a killed process was started again.
	restartCount int
}

// TestVersionNeverFalls injects random kills, freezes, restarts, outages and lost
// responses while it makes changes. It checks in the logs of every process that
// no version in force is followed by an older one, and that the history contains
// every accepted change once and no refused one.
func TestVersionNeverFalls(t *testing.T) {
	Convey("Given three entry instances and six agents under random faults", t, func() {
		r := newRig(t, rigConfig{entryCount: 3, agentCount: 6})
		r.awaitRegistered()
		s := &chaos{
			rig: r, rng: rand.New(rand.NewPCG(seed(), 0)),
			frozen: map[*process]bool{}, killed: map[*process]bool{},
			accepted: map[string]uint64{}, refused: map[string]bool{},
		}
		for range rounds(12) {
			s.step()
			<-time.After(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		}
		s.endFaults()
		t.Logf("seed %d: %d changes, %d accepted, %d refused, newest version %d, %d restarts, %d of them from an older version",
			seed(), s.changeCount, len(s.accepted), len(s.refused), s.newestVersion, s.restartCount, countStaleStarts(r.activations()))

		Convey("no version is followed by an older one, every process ends at the newest, and the history contains every accepted change once and no refused one", func() {
			So(orderViolations(r.activations()), ShouldBeEmpty)
			r.awaitInForce(s.newestVersion, startTimeout, r.daemons...)
			So(orderViolations(r.activations()), ShouldBeEmpty)
			versions := s.versionsByChangeID()
			for id, number := range s.accepted {
				So(versions[id], ShouldResemble, []uint64{number})
			}
			for id := range s.refused {
				So(versions[id], ShouldBeEmpty)
			}
		})
	})
}

// step injects one random fault or makes one change.
func (s *chaos) step() {
	switch p := s.daemons[s.rng.IntN(len(s.daemons))]; s.rng.IntN(10) {
	case 0:
		s.toggleFrozen(p)
	case 1:
		s.toggleKilled(p)
	case 2:
		s.platformDown = !s.platformDown
		s.setDown(s.platformDown)
	case 3:
		latencyMillis := int64(s.rng.IntN(300))
		s.setPlatformFaults(standin.FaultRequest{LatencyMillis: &latencyMillis})
	case 4:
		commitCount := 1
		s.setPlatformFaults(standin.FaultRequest{LoseCommitResponses: &commitCount})
	default:
		s.makeChange()
	}
}

// toggleFrozen freezes a process or resumes it.
func (s *chaos) toggleFrozen(p *process) {
	if s.killed[p] {
		return
	}
	sig := syscall.SIGSTOP
	if s.frozen[p] {
		sig = syscall.SIGCONT
	}
	s.signal(p, sig)
	s.frozen[p] = !s.frozen[p]
}

// toggleKilled kills a process or starts it again.
func (s *chaos) toggleKilled(p *process) {
	if s.killed[p] {
		s.start(p)
		s.restartCount++
	} else {
		s.kill(p)
	}
	s.killed[p] = !s.killed[p]
	s.frozen[p] = false
}

// makeChange applies a change to the newest known version through an entry instance
// that is neither killed nor frozen. If there is no such entry instance, makeChange
// does nothing.
func (s *chaos) makeChange() {
	var live []*process
	for _, p := range s.entries {
		if !s.killed[p] && !s.frozen[p] {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return
	}
	s.changeCount++
	id := fmt.Sprintf("change-%d", s.changeCount)
	s.applyChange(id, live[s.rng.IntN(len(live))])
}

// applyChange applies a change and records whether it was accepted or refused. It
// records nothing if the outcome is unknown.
func (s *chaos) applyChange(id string, entry *process) {
	number, err := s.apply(entry, s.newestVersion, id, id)
	if err == nil {
		s.accepted[id] = number
		s.newestVersion = number
		return
	}
	var p *ops.Problem
	if !errors.As(err, &p) || p.Type == ops.TypeOutcomeUnknown {
		return
	}
	s.refused[id] = true
	if p.Type == ops.TypeConflict {
		s.newestVersion = p.InForce
	}
}

// endFaults ends every fault and makes a last change.
func (s *chaos) endFaults() {
	s.platformDown = false
	s.setDown(false)
	noLatencyMillis, noCommits := int64(0), 0
	s.setPlatformFaults(standin.FaultRequest{LatencyMillis: &noLatencyMillis, LoseCommitResponses: &noCommits})
	for _, p := range s.daemons {
		if s.killed[p] {
			s.toggleKilled(p)
		}
		if s.frozen[p] {
			s.toggleFrozen(p)
		}
	}
	s.eventually("a last change is accepted", startTimeout, func() bool {
		before := len(s.accepted)
		s.makeChange()
		return len(s.accepted) > before
	})
}

// versionsByChangeID returns the versions in the history by change id.
func (s *chaos) versionsByChangeID() map[string][]uint64 {
	history, err := s.operatorClient(s.entries[0]).History(s.t.Context(), 1000)
	s.must(err)
	versions := map[string][]uint64{}
	for _, e := range history.Entries {
		versions[e.ChangeID] = append(versions[e.ChangeID], e.Number)
	}
	return versions
}

// orderViolations compares each activation with the previous one after the same
// start of the process. It describes each activation whose version is not newer
// than the previous activation's version. It also describes each activation whose
// previousNumber is not the version of the previous activation.
func orderViolations(events []activation) []string {
	type processRun struct {
		process    string
		startCount int
	}
	newest := map[processRun]uint64{}
	var wrong []string
	for _, e := range events {
		at := processRun{e.process, e.startCount}
		if e.number <= newest[at] || e.previousNumber != newest[at] {
			wrong = append(wrong, fmt.Sprintf("%s after start %d: version %d (from %d) after version %d",
				e.process, e.startCount, e.number, e.previousNumber, newest[at]))
		}
		newest[at] = e.number
	}
	return wrong
}

// countStaleStarts counts the restarts after which the first version in force was
// older than the last one before the restart. A process keeps no version on disk,
// so a restarted process starts with an older version if all peers that it reaches
// have that version.
func countStaleStarts(events []activation) int {
	type latestVersion struct {
		startCount int
		number     uint64
	}
	last := map[string]latestVersion{}
	n := 0
	for _, e := range events {
		if before := last[e.process]; e.startCount > before.startCount && e.number < before.number {
			n++
		}
		last[e.process] = latestVersion{e.startCount, e.number}
	}
	return n
}
