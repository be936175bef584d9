package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// Guards against requests that stay at a server that has gone silent, until their clients
// leave, because requests that wait take each slot that becomes free elsewhere.
func TestRequestsOfASilentServerMoveUnderLoad(t *testing.T) {
	const (
		victimCount = 4
		// clientPatience is the time without an event after which clients give up a stream.
		clientPatience = 2400 * time.Millisecond
	)
	Convey("Given requests at a server that has gone silent, and full load at the other one", t, func() {
		silent := newSilentServer(t)
		good := newServer(t, "good", func(r receivedRequest, _ int) string {
			<-time.After(100 * time.Millisecond)
			return streamHeader(r) + chunk(event(1)) + lastChunk
		})
		f := newFixture(t, nil)
		list := func(servers ...*fakeServer) {
			var changes []catalog.Change
			for _, s := range servers {
				changes = append(changes, catalog.Change{Server: &catalog.Server{
					ID: s.id, Service: "registry", Addr: s.listener.Addr().String(), DataCentre: "palermo", Slots: victimCount,
				}})
			}
			f.holder.Apply(changes, true, true, time.Now())
		}
		list(silent)
		begin := time.Now()
		var victims sync.WaitGroup
		responses := make(chan clientResponse, victimCount)
		for range victimCount {
			victims.Go(func() { responses <- f.send(t, http.MethodPost, "/resumable/", "") })
		}
		So(wait.Until(func() bool { return silent.requestCount() == victimCount }), ShouldBeTrue)
		list(silent, good)
		done := make(chan struct{})
		var others sync.WaitGroup
		for range 40 {
			others.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						f.send(t, http.MethodPost, "/resumable/", "", "X-Deadline", "1000")
					}
				}
			})
		}
		victims.Wait()
		took := time.Since(begin)
		close(done)
		others.Wait()
		for range victimCount {
			So((<-responses).status, ShouldEqual, http.StatusOK)
		}
		So(took, ShouldBeLessThan, clientPatience)
	})
}
