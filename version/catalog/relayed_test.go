package catalog

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// newDeclaredFollower returns a Follower of the declarations that has read rows, up to
// the revision 5.
func newDeclaredFollower(rows ...Row) *Follower {
	source := &scriptedSource{}
	f := NewFollower(TableDeclared, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
	if len(rows) > 0 {
		pollAll(f, source, response{rows: rows, rev: 5})
	}
	return f
}

// adoptAndPass makes f adopt content, and passes the changes to peers as the exchange does.
func adoptAndPass(f *Follower, content TableContent, peers ...*Follower) {
	changes, err := f.AdoptIfNewer(content, "remote")
	So(err, ShouldBeNil)
	for _, peer := range peers {
		if len(changes.Rows) > 0 {
			peer.ApplyFromPeer(changes)
		}
	}
}

// Guards against a change that the other entry instances of a data centre never apply, because
// the one that relays the declarations claimed that theirs go on from a revision from which
// they do not.
func TestRelayedChangesLeaveNoGap(t *testing.T) {
	Convey("A relay that adopts a table between a response of the store and its passing on", t, func() {
		relay, peer := newDeclaredFollower(newRow("config", "1", 5)), newDeclaredFollower(newRow("config", "1", 5))
		relay.Share(func() bool { return false }, peer.ApplyFromPeer)
		response := []Row{newRow("out/zone", "", 6), newRow("config", "2", 7)}
		relay.applyRows(response, Position{Revision: 7})
		adoptAndPass(relay, TableContent{
			Rows: []Row{newRow("out/zone", "", 6), newRow("config", "3", 9)}, ChangeRevision: 9, ReadRevision: 9,
		}, peer)
		relay.shareRead(response, Position{Revision: 7}, false)
		So(configVersion(relay), ShouldEqual, "3")
		So(relay.rows, ShouldContainKey, "out/zone")
		if peer.lastRead().Revision >= 6 {
			So(peer.rows, ShouldContainKey, "out/zone")
		}
	})
	Convey("A relay that has had no table does not know what others have to delete", t, func() {
		relay, peer := newDeclaredFollower(), newDeclaredFollower(newRow("config", "1", 4), newRow("out/zone", "", 5))
		adoptAndPass(relay, TableContent{Rows: []Row{newRow("config", "2", 9)}, ChangeRevision: 9, ReadRevision: 9}, peer)
		So(configVersion(relay), ShouldEqual, "2")
		if peer.lastRead().Revision >= 9 {
			So(peer.rows, ShouldNotContainKey, "out/zone")
		}
	})
	Convey("A row that was deleted after the newest change that a relayed table shows", t, func() {
		relay, peer := newDeclaredFollower(newRow("config", "1", 4), newRow("out/zone", "", 5)), newDeclaredFollower(newRow("config", "1", 4), newRow("out/zone", "", 5))
		peer.ApplyFromPeer(RowChanges{Rows: []Row{newRow("config", "2", 9)}, Since: 5, Until: 11})
		// The sender has read the complete table, which shows no deletions.
		adoptAndPass(relay, TableContent{Rows: []Row{newRow("config", "2", 9)}, ChangeRevision: 9, ReadRevision: 15}, peer)
		if peer.lastRead().Revision >= 12 {
			So(peer.rows, ShouldNotContainKey, "out/zone")
		}
	})
}

// Guards against a large value that the reader sends to all peers though another one has sent
// them a newer one.
func TestOvertakenResponseIsNotPassedOn(t *testing.T) {
	Convey("A reader that gets changes from a peer before its own response passes on no row that they cover", t, func() {
		reader, source := newLargeFollower()
		var shared []RowChanges
		reader.Share(func() bool { return false }, func(c RowChanges) { shared = append(shared, sent(c)) })
		reader.ApplyFromPeer(RowChanges{Rows: []Row{largeConfig(3, 9)}, Since: 5, Until: 9})
		pollAll(reader, &source.scriptedSource, response{rows: []Row{largeConfig(2, 7), newRow("out/zone", "", 12)}, rev: 13})
		So(shared, ShouldHaveLength, 1)
		So(shared[0].Since, ShouldEqual, 9)
		So(shared[0].Until, ShouldEqual, 13)
		So(shared[0].Rows, ShouldResemble, []Row{newRow("out/zone", "", 12)})
	})
}

// Guards against compressed values that are kept for each revision while changes arrive without
// patches, as from an earlier build.
func TestCompressedValuesThatAreKept(t *testing.T) {
	Convey("Only the newest compressed value of a row is kept", t, func() {
		f, _ := newLargeFollower()
		for rev := range uint64(5) {
			f.ApplyFromPeer(RowChanges{Rows: []Row{largeConfig(int(rev)+2, rev+6)}, Since: rev + 5, Until: rev + 6})
			So(f.ContentSince(nil, 0).Rows[0].Patches, ShouldHaveLength, 1)
		}
		So(f.patches["config"], ShouldHaveLength, 1)
	})
}
