package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// TestRequestBeginsOnOutdatedWeights guards against requests that begin on older weights
// after newer ones have become mandatory: a server that is silent for a while, or whose
// queue is long, begins them long after they were sent.
func TestRequestBeginsOnOutdatedWeights(t *testing.T) {
	const (
		dueAfter  = 8 * time.Second
		sendUntil = dueAfter - 900*time.Millisecond
		// untilDue is the time from the start of a test until the newer weights are
		// mandatory.
		untilDue = 1500 * time.Millisecond
	)
	for _, c := range []struct {
		path   string
		served string
		status int
	}{
		{"/resumable/", "new", http.StatusOK},
		{"/safe/", "new", http.StatusOK},
		{"/stream/", "old", http.StatusBadGateway},
		{"/unsafe/", "old", http.StatusBadGateway},
	} {
		Convey("Given a request of "+c.path+" at a server with weights that become outdated", t, func() {
			arrived, recalled := make(chan struct{}), make(chan struct{})
			old := newServer(t, "old", func(r receivedRequest, _ int) string {
				close(arrived)
				// Returns once the request has been recalled; the server would begin it now.
				_, _ = io.Copy(io.Discard, r.conn)
				close(recalled)
				return ""
			})
			current := newServer(t, "new", func(r receivedRequest, _ int) string {
				return streamHeader(r) + chunk(event(1)) + lastChunk
			})
			f := newFixtureOf(t, fixtureConfig{scheduler: func(cfg *dispatch.Config) { cfg.WeightsDueAfter = sendUntil }}, old, current)
			f.listModel(old, 1)
			f.declareWeights(1, time.Minute)
			declaredAt := f.declareWeights(2, dueAfter-untilDue)
			response := make(chan clientResponse, 1)
			go func() { response <- f.send(t, http.MethodPost, c.path, "", testHeaders.Model, "m") }()
			<-arrived

			Convey("it is recalled in time, and sent to another server if it may be repeated", func() {
				So(wait.Until(func() bool { return isClosed(recalled) }), ShouldBeTrue)
				So(time.Since(declaredAt), ShouldBeBetween, sendUntil, dueAfter)
				f.listModel(current, 2)
				got := <-response
				So(got.status, ShouldEqual, c.status)
				So(old.requestCount(), ShouldEqual, 1)
				So(current.requestCount() == 1, ShouldEqual, c.served == "new")
			})
		})
	}

	Convey("Given a stream that has begun on weights that become outdated", t, func() {
		goOn := make(chan struct{})
		old := newServer(t, "old", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
			<-goOn
			return chunk(event(2)) + lastChunk
		})
		f := newFixtureOf(t, fixtureConfig{scheduler: func(cfg *dispatch.Config) { cfg.WeightsDueAfter = sendUntil }}, old)
		f.listModel(old, 1)
		declaredAt := f.declareWeights(2, dueAfter-untilDue)
		response := make(chan clientResponse, 1)
		go func() { response <- f.send(t, http.MethodPost, "/resumable/", "", testHeaders.Model, "m") }()

		Convey("it continues there", func() {
			So(wait.Until(func() bool { return time.Since(declaredAt) > dueAfter }), ShouldBeTrue)
			close(goOn)
			got := <-response
			So(got.err, ShouldBeNil)
			So(strings.Count(got.body, "data:"), ShouldEqual, 2)
		})
	})
}

// listModel lists server s with the given version of the model "m".
func (f *handlerFixture) listModel(s *fakeServer, version int) {
	addr, versions := s.listener.Addr().String(), map[string]int{"m": version}
	f.holder.Apply([]catalog.Change{{Server: &catalog.Server{
		ID: s.id, Service: "registry", Addr: addr, DataCentre: "palermo", Slots: 4, LoadedVersions: versions,
	}}}, false, true, time.Now())
	// An agent has proven the load and disconnected.
	f.scheduler.SetAgentState(addr, &frame.AgentState{Proven: &frame.ProvenLoad{AcceptedOrders: int64(version), Versions: versions}})
	f.scheduler.SetAgentState(addr, nil)
}

// declareWeights declares a version of the model "m" that has the given age, and returns
// the time of the declaration.
func (f *handlerFixture) declareWeights(version int, age time.Duration) time.Time {
	now := time.Now()
	declaredAt := now.Add(-age)
	f.holder.MergeWeights(catalog.Weights{Model: "m", Version: version, DeclaredAt: declaredAt}, now)
	return declaredAt
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
