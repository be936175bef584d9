package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// lateFollower is a Follower that has read the store up to revision 5, with its log and its
// metrics.
type lateFollower struct {
	*Follower
	source   *scriptedSource
	out      bytes.Buffer
	registry gometrics.Registry
}

func newLateFollower() *lateFollower {
	l := &lateFollower{source: &scriptedSource{}, registry: gometrics.NewRegistry()}
	log := eventlog.New(&l.out, logrus.InfoLevel, "test")
	l.Follower = NewFollower(TableDeclared, l.source, NewHolder(log), log, clockwork.NewRealClock())
	l.RegisterMetrics(l.registry)
	l.read(5)
	return l
}

// read makes the Follower read a configuration of the given revision from the store.
func (l *lateFollower) read(revision uint64) {
	pollAll(l.Follower, l.source, response{rows: []Row{newRow("config", fmt.Sprint(revision), revision)}, rev: revision})
}

// observe records reports of revisions at a peer.
func (l *lateFollower) observe(revisions ...uint64) {
	for _, r := range revisions {
		l.ObservePeerPosition("peer", Position{Revision: r})
	}
}

// gauge returns the value of a gauge of the table.
func (l *lateFollower) gauge(name string) int64 {
	return l.registry.Get("catalog.declared." + name).(gometrics.Gauge).Value()
}

// events returns the lines of the events that tell that the table is late or no longer late.
func (l *lateFollower) events() []map[string]any {
	var events []map[string]any
	synctest.Wait()
	// The events are logged under the lock.
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range bytes.Split(bytes.TrimSpace(l.out.Bytes()), []byte("\n")) {
		var fields map[string]any
		_ = json.Unmarshal(line, &fields)
		if n := fields["event"]; n == float64(eventTableLate.Number) || n == float64(eventTableCaughtUp.Number) {
			events = append(events, fields)
		}
	}
	return events
}

// wantEvents checks the numbers of the events so far and the time that each tells.
func (l *lateFollower) wantEvents(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, e := range l.events() {
		got = append(got, fmt.Sprintf("%v after %v ms", e["event"], e["behindMs"]))
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("events %q, want %q", got, want)
	}
}

func TestTableThatIsLate(t *testing.T) {
	run := func(test func(t *testing.T, l *lateFollower)) func() {
		return func() { synctest.Test(t, func(t *testing.T) { test(t, newLateFollower()) }) }
	}

	Convey("A table that is missing a change of a peer for over a second is reported once, and so is the end of that", t, run(func(t *testing.T, l *lateFollower) {
		l.observe(6)
		<-time.After(700 * time.Millisecond)
		l.observe(6, 9)
		if l.gauge("behind.milliseconds") != 700 || l.gauge("revision") != 5 {
			t.Errorf("behind for %d ms at revision %d", l.gauge("behind.milliseconds"), l.gauge("revision"))
		}
		l.wantEvents(t)
		<-time.After(800 * time.Millisecond)
		l.wantEvents(t, "231 after 1000 ms")
		e := l.events()[0]
		if e["revision"] != 5.0 || e["peerRevision"] != 9.0 || e["peer"] != "peer" || e["reading"] != false || e["readByPeer"] != false {
			t.Errorf("fields %v", e)
		}
		<-time.After(time.Second)
		l.read(6)
		// Revision 9 has been missing for 1.8 s by now.
		if l.gauge("behind.milliseconds") != 1800 {
			t.Errorf("behind for %d ms", l.gauge("behind.milliseconds"))
		}
		l.wantEvents(t, "231 after 1000 ms")
		l.read(9)
		if l.gauge("behind.milliseconds") != 0 || l.gauge("revision") != 9 {
			t.Errorf("behind for %d ms at revision %d", l.gauge("behind.milliseconds"), l.gauge("revision"))
		}
		l.wantEvents(t, "231 after 1000 ms", "232 after 2500 ms")
		l.observe(9, 10)
		<-time.After(time.Second)
		l.wantEvents(t, "231 after 1000 ms", "232 after 2500 ms", "231 after 1000 ms")
	}))

	Convey("The report has the error of the last call to the store, if it failed", t, run(func(t *testing.T, l *lateFollower) {
		pollAll(l.Follower, l.source, response{err: errors.New("first")}, response{err: errors.New("second")})
		l.observe(6)
		<-time.After(1500 * time.Millisecond)
		l.wantEvents(t, "231 after 1000 ms")
		if e := l.events()[0]; e["error"] != "second" || e["failedCalls"] != 2.0 {
			t.Errorf("fields %v", e)
		}
	}))

	Convey("A table that changes all the time and follows each change within a second is not late", t, run(func(t *testing.T, l *lateFollower) {
		for revision := uint64(6); revision < 200; revision++ {
			l.observe(revision)
			<-time.After(100 * time.Millisecond)
			if revision >= 14 {
				l.read(revision - 8)
			}
		}
		l.wantEvents(t)
	}))

	Convey("The number of missing positions is bounded, and the oldest counts", t, run(func(t *testing.T, l *lateFollower) {
		for revision := uint64(6); revision < 6+3*maxMissing; revision++ {
			l.observe(revision)
			<-time.After(10 * time.Millisecond)
		}
		if n := len(l.behind.missing); n != maxMissing {
			t.Errorf("%d missing positions", n)
		}
		if l.gauge("behind.milliseconds") != 3*maxMissing*10 {
			t.Errorf("behind for %d ms", l.gauge("behind.milliseconds"))
		}
		l.read(6 + 3*maxMissing - 1)
		l.wantEvents(t, "231 after 1000 ms", fmt.Sprintf("232 after %d ms", 3*maxMissing*10))
	}))

	Convey("A peer in an older era has nothing newer, and changes from a peer end the lateness too", t, run(func(t *testing.T, l *lateFollower) {
		l.AdoptIfNewer(TableContent{Rows: []Row{newRow("config", "6", 2)}, ChangeRevision: 2, ReadRevision: 2, Era: 1}, "peer")
		l.observe(90)
		<-time.After(2 * time.Second)
		l.wantEvents(t)
		l.ObservePeerPosition("peer", Position{Era: 1, Revision: 3})
		<-time.After(1500 * time.Millisecond)
		l.ApplyFromPeer(RowChanges{Rows: []Row{newRow("config", "7", 3)}, Since: 2, Until: 3, Era: 1})
		l.wantEvents(t, "231 after 1000 ms", "232 after 1500 ms")
	}))
}
