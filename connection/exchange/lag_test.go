package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/catalog"
)

func TestLagOfALargeDeployment(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	Convey("A table that always changes is not asked for while the store brings it 300 ms late", t, func() {
		// A revision comes every 10 ms; a peer tells each 500 ms what it knows.
		asked := 0
		var l lag
		for ms := 1000; ms < 60_000; ms += 500 {
			if l.missing(uint64(ms-300)/10, uint64(ms)/10, at(ms)) {
				asked++
			}
		}
		So(asked, ShouldEqual, 0)
	})

	Convey("A revision that stays missing is asked for, also while newer ones follow", t, func() {
		var l lag
		So(l.missing(5, 6, at(0)), ShouldBeFalse)
		So(l.missing(5, 7, at(300)), ShouldBeFalse)
		So(l.missing(5, 8, at(400)), ShouldBeTrue)
		So(l.missing(8, 8, at(500)), ShouldBeFalse)
	})

	Convey("An instance that knows nothing asks at once, one peer at a time", t, func() {
		var l lag
		So(l.missing(0, 1, at(0)), ShouldBeTrue)
		x := New(Config{})
		So(x.mayAsk(catalog.TableServers, at(0)), ShouldBeTrue)
		So(x.mayAsk(catalog.TableServers, at(100)), ShouldBeFalse)
		So(x.mayAsk(catalog.TableDeclared, at(100)), ShouldBeTrue)
		So(x.mayAsk(catalog.TableServers, at(400)), ShouldBeTrue)
	})
}
