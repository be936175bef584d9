package catalog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

func TestEachDeclaredVersionCountsFromItsOwnTime(t *testing.T) {
	Convey("A version declared 2 s after another does not change the time at which the first becomes required", t, func() {
		h := NewHolder(eventlog.Discard())
		start := time.Now()
		declare := func(version int, after time.Duration) {
			h.Apply([]Change{{Weights: &Weights{Model: "herbs", Version: version}}}, false, false, start.Add(after))
		}
		declare(2, 0)
		declare(3, 2*time.Second)
		dueAfter := 7 * time.Second
		w := h.Current().Weights["herbs"]
		So(w.MinVersion(start.Add(6*time.Second), dueAfter), ShouldEqual, 0)
		So(w.MinVersion(start.Add(8*time.Second), dueAfter), ShouldEqual, 2)
		So(w.MinVersion(start.Add(9*time.Second), dueAfter), ShouldEqual, 3)
	})
}

// A process can only estimate the declaration times of versions that were
// declared before the process started. It learns the real times when other
// processes report them.
func TestRestartedProcessLearnsVersionAges(t *testing.T) {
	Convey("A process that starts after two declarations takes their times from other processes", t, func() {
		h := NewHolder(eventlog.Discard())
		now := time.Now()
		estimated := &Weights{Model: "herbs", Version: 3, DeclaredAt: now.Add(-4 * time.Second), DeclaredAtEstimated: true}
		h.Apply([]Change{{Weights: estimated}}, true, false, now)
		h.MergeWeights(Weights{Model: "herbs", Version: 2, DeclaredAt: now.Add(-7 * time.Second)}, now)
		h.MergeWeights(Weights{Model: "herbs", Version: 3, DeclaredAt: now.Add(-5 * time.Second)}, now)
		w := h.Current().Weights["herbs"]
		So(w.MinVersion(now.Add(500*time.Millisecond), 7*time.Second), ShouldEqual, 2)
		So(w.MinVersion(now.Add(2*time.Second), 7*time.Second), ShouldEqual, 3)
	})
}

// A process that was paused while versions were declared reads the declarations
// late and all at once. The declaration times that it records are therefore too
// late, until other processes report earlier times.
func TestPausedProcessLearnsVersionAges(t *testing.T) {
	Convey("A process that reads two versions late takes their times from other processes", t, func() {
		h := NewHolder(eventlog.Discard())
		now := time.Now()
		h.Apply([]Change{{Weights: &Weights{Model: "herbs", Version: 2}}}, false, false, now)
		h.Apply([]Change{{Weights: &Weights{Model: "herbs", Version: 3}}}, false, false, now)
		h.MergeWeights(Weights{Model: "herbs", Version: 2, DeclaredAt: now.Add(-3 * time.Second)}, now)
		w := h.Current().Weights["herbs"]
		So(w.MinVersion(now.Add(4*time.Second), 7*time.Second), ShouldEqual, 2)
		So(w.MinVersion(now.Add(3*time.Second), 7*time.Second), ShouldEqual, 0)
	})
}
