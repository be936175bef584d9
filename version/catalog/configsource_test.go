package catalog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

func TestSourceOfAConfiguration(t *testing.T) {
	Convey("The event of a configuration names whether it was read from the store or which peer sent it", t, func() {
		var out bytes.Buffer
		log := eventlog.New(&out, logrus.InfoLevel, "test")
		source := &scriptedSource{}
		f := NewFollower(TableDeclared, source, NewHolder(log), log, clockwork.NewFakeClock())
		pollAll(f, source, response{rows: []Row{newRow("config", "1", 1)}, rev: 1}, response{rows: []Row{newRow("config", "2", 2)}, rev: 2})
		f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("config", "3", 3)}, Since: 2, Until: 3, From: "a"})
		f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("config", "4", 4)}, Since: 3, Until: 4})
		f.AdoptIfNewer(TableContent{Rows: []Row{newRow("config", "5", 5)}, ChangeRevision: 5, ReadRevision: 5}, "b")
		var sources []any
		for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			var fields map[string]any
			So(json.Unmarshal(line, &fields), ShouldBeNil)
			if fields["event"] == float64(eventConfig.Number) {
				sources = append(sources, fields["from"])
			}
		}
		So(sources, ShouldResemble, []any{"store", "store", "a", "peer", "b"})
	})
}
