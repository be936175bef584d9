package instances

import (
	"context"
	"sort"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// fakeList is a fake of the platform's list; a nil list simulates an outage.
type fakeList struct{ list []core.Instance }

func (f *fakeList) List(context.Context, string) ([]core.Instance, string, error) {
	if f.list == nil {
		return nil, "", platform.ErrUnavailable
	}
	return f.list, "tag", nil
}

// agentsNamed returns agents with the given IDs.
func agentsNamed(ids ...string) []core.Instance {
	list := []core.Instance{}
	for _, id := range ids {
		list = append(list, core.Instance{ID: id, Role: core.RoleAgent})
	}
	return list
}

// sortedIDs returns the IDs of the instances in list, in sorted order.
func sortedIDs(list []core.Instance) []string {
	var names []string
	for _, in := range list {
		names = append(names, in.ID)
	}
	sort.Strings(names)
	return names
}

func TestWatcher(t *testing.T) {
	Convey("Given a watcher that has read a list of four instances", t, func() {
		clock := clockwork.NewFakeClock()
		source := &fakeList{list: agentsNamed("a", "b", "c", "d")}
		w := NewWatcher(Config{Clock: clock}, source, nil, eventlog.Discard())
		ctx := context.Background()
		w.refresh(ctx)
		So(sortedIDs(w.All()), ShouldResemble, []string{"a", "b", "c", "d"})

		Convey("a missing instance is kept for 60 s, and one that is listed again stays", func() {
			source.list = agentsNamed("a", "b")
			w.refresh(ctx)
			So(sortedIDs(w.All()), ShouldResemble, []string{"a", "b", "c", "d"})
			source.list = agentsNamed("a", "b", "c")
			clock.Advance(59 * time.Second)
			w.refresh(ctx)
			So(sortedIDs(w.All()), ShouldResemble, []string{"a", "b", "c", "d"})
			clock.Advance(time.Second)
			w.refresh(ctx)
			So(sortedIDs(w.All()), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("a missing instance that was listed as leaving is removed at once", func() {
			source.list = agentsNamed("a", "b", "c", "d")
			source.list[3].Leaving = true
			w.refresh(ctx)
			source.list = agentsNamed("a", "b", "c")
			w.refresh(ctx)
			So(sortedIDs(w.All()), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("when more than half of the list is missing at once, the missing instances are kept for 10 min", func() {
			source.list = agentsNamed()
			w.refresh(ctx)
			clock.Advance(10*time.Minute - time.Second)
			w.refresh(ctx)
			So(w.All(), ShouldHaveLength, 4)
			clock.Advance(time.Second)
			w.refresh(ctx)
			So(w.All(), ShouldBeEmpty)
		})
		Convey("the last list is kept throughout an outage of the platform", func() {
			source.list = nil
			clock.Advance(24 * time.Hour)
			w.refresh(ctx)
			So(w.All(), ShouldHaveLength, 4)
		})
	})
}
