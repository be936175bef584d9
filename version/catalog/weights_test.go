package catalog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

func TestEachDeclaredVersionCountsFromItsOwnTime(t *testing.T) {
	Convey("A version declared 2 s after another does not extend the time of the first", t, func() {
		h := NewHolder(eventlog.Discard())
		start := time.Now()
		declare := func(version int, after time.Duration) {
			h.Apply([]Change{{Weights: &Weights{Model: "herbs", Version: version}}}, false, false, start.Add(after))
		}
		declare(2, 0)
		declare(3, 2*time.Second)
		due := 7 * time.Second
		w := h.Current().Weights["herbs"]
		So(w.Required(start.Add(6*time.Second), due), ShouldEqual, 0)
		So(w.Required(start.Add(8*time.Second), due), ShouldEqual, 2)
		So(w.Required(start.Add(9*time.Second), due), ShouldEqual, 3)
	})
}
