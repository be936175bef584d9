package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
)

const testToken = "secret"

// startStandin serves a stand-in and returns the stand-in, its HTTP server and a
// client of it.
func startStandin(t *testing.T, config Config) (*Server, *httptest.Server, *platform.Platform) {
	t.Helper()
	config.Token = testToken
	s := New(config, clockwork.NewRealClock())
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	return s, web, newClient(web, testToken)
}

// newClient returns a client of package process/platform that sends requests with
// token to the server web.
func newClient(web *httptest.Server, token string) *platform.Platform {
	return platform.NewHTTP(platform.Config{
		Addr:    strings.TrimPrefix(web.URL, "http://"),
		Token:   token,
		Timeout: time.Second,
		Metrics: metrics.NewRegistry(),
	})
}

// setFaults sends a fault request and asserts that the stand-in accepts it.
func setFaults(web *httptest.Server, f FaultRequest) {
	body, err := json.Marshal(f)
	So(err, ShouldBeNil)
	req, err := http.NewRequest(http.MethodPost, web.URL+"/faults", bytes.NewReader(body))
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	So(resp.StatusCode, ShouldEqual, http.StatusNoContent)
}

func TestTable(t *testing.T) {
	Convey("Given the stand-in's table", t, func() {
		_, web, p := startStandin(t, Config{})
		ctx := context.Background()

		Convey("a row is written, read, listed and deleted", func() {
			key := "calls/a b//../ü%2F"
			So(p.Table.Commit(ctx, []platform.Write{{Key: key, Value: []byte("v"), If: platform.IfRevision(0)}}), ShouldBeNil)
			row, err := p.Table.Get(ctx, key, 0)
			So(err, ShouldBeNil)
			So(string(row.Value), ShouldEqual, "v")
			So(row.Revision, ShouldEqual, 1)
			rows, err := p.Table.List(ctx, "calls/", "", 10)
			So(err, ShouldBeNil)
			So(rows, ShouldResemble, []platform.Row{row})
			So(p.Table.Commit(ctx, []platform.Write{{Key: key, Delete: true}}), ShouldBeNil)
			_, err = p.Table.Get(ctx, key, 0)
			So(err, ShouldWrap, platform.ErrNotFound)
		})
		Convey("a row that is created again after its deletion gets a new revision", func() {
			So(p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}}), ShouldBeNil)
			So(p.Table.Commit(ctx, []platform.Write{{Key: "k", Delete: true}}), ShouldBeNil)
			So(p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("2")}}), ShouldBeNil)
			row, err := p.Table.Get(ctx, "k", 1)
			So(err, ShouldBeNil)
			So(row.Revision, ShouldEqual, 2)
		})
		Convey("a read with the current revision returns not modified", func() {
			So(p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}}), ShouldBeNil)
			_, err := p.Table.Get(ctx, "k", 1)
			So(err, ShouldWrap, platform.ErrNotModified)
		})
		Convey("one failed condition leaves every row unchanged", func() {
			err := p.Table.Commit(ctx, []platform.Write{
				{Key: "a", Value: []byte("1")},
				{Key: "b", Value: []byte("1"), If: platform.IfRevision(3)},
			})
			So(err, ShouldWrap, platform.ErrConflict)
			_, err = p.Table.Get(ctx, "a", 0)
			So(err, ShouldWrap, platform.ErrNotFound)
		})
		Convey("a commit whose response is lost takes effect with an unknown outcome", func() {
			lose := 1
			setFaults(web, FaultRequest{LoseCommitResponses: &lose})
			err := p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}})
			So(err, ShouldWrap, platform.ErrUnknownOutcome)
			_, err = p.Table.Get(ctx, "k", 0)
			So(err, ShouldBeNil)
		})
		Convey("a commit to an unavailable platform has no effect", func() {
			down := true
			setFaults(web, FaultRequest{Unavailable: &down})
			err := p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}})
			So(err, ShouldWrap, platform.ErrUnavailable)
			down = false
			setFaults(web, FaultRequest{Unavailable: &down})
			_, err = p.Table.Get(ctx, "k", 0)
			So(err, ShouldWrap, platform.ErrNotFound)
		})
		Convey("a platform that does not accept connections is unavailable", func() {
			web.Close()
			err := p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}})
			So(err, ShouldWrap, platform.ErrUnavailable)
		})
		Convey("a commit that times out has an unknown outcome", func() {
			slow := int64(2000)
			setFaults(web, FaultRequest{LatencyMillis: &slow})
			err := p.Table.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("1")}})
			So(err, ShouldWrap, platform.ErrUnknownOutcome)
		})
		Convey("a wrong token is refused", func() {
			err := newClient(web, "other").Table.Commit(ctx, []platform.Write{{Key: "k"}})
			So(err, ShouldWrap, platform.ErrRefused)
		})
	})
}

func TestObjects(t *testing.T) {
	Convey("Given the stand-in's stores", t, func() {
		s, web, p := startStandin(t, Config{})
		ctx := context.Background()
		body := []byte("0123456789")
		So(p.WeightStore.Put(ctx, "chunks/a", body), ShouldBeNil)

		Convey("ranges and complete objects can be read", func() {
			part, err := p.WeightStore.Get(ctx, "chunks/a", 3, 4)
			So(err, ShouldBeNil)
			So(string(part), ShouldEqual, "3456")
			rest, err := p.WeightStore.Get(ctx, "chunks/a", 8, -1)
			So(err, ShouldBeNil)
			So(string(rest), ShouldEqual, "89")
			all, err := p.WeightStore.Get(ctx, "chunks/a", 0, -1)
			So(err, ShouldBeNil)
			So(all, ShouldResemble, body)
			So(s.counters.snapshot()["weights"]["bytesOut"], ShouldEqual, 16)
		})
		Convey("the two object stores are separate", func() {
			_, err := p.ObjectStore.Get(ctx, "chunks/a", 0, -1)
			So(err, ShouldWrap, platform.ErrNotFound)
		})
		Convey("an existing object is not replaced", func() {
			So(p.WeightStore.Put(ctx, "chunks/a", body), ShouldBeNil)
			So(p.WeightStore.Put(ctx, "chunks/a", []byte("x")), ShouldWrap, platform.ErrConflict)
		})
		Convey("as many responses are corrupted as requested", func() {
			setFaults(web, FaultRequest{Corrupt: &CorruptFault{NamePrefix: "chunks/", ResponseCount: 1}})
			first, err := p.WeightStore.Get(ctx, "chunks/a", 0, -1)
			So(err, ShouldBeNil)
			So(first, ShouldNotResemble, body)
			second, err := p.WeightStore.Get(ctx, "chunks/a", 0, -1)
			So(err, ShouldBeNil)
			So(second, ShouldResemble, body)
		})
		Convey("the weight store does not exceed its bandwidth", func() {
			So(p.WeightStore.Put(ctx, "chunks/big", make([]byte, 8*maxWriteBytes)), ShouldBeNil)
			limit := int64(20 * maxWriteBytes)
			setFaults(web, FaultRequest{WeightBytesPerSecond: &limit})
			begin := time.Now()
			_, err := p.WeightStore.Get(ctx, "chunks/big", 0, -1)
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldBeGreaterThan, 300*time.Millisecond)
		})
	})
}

func TestInstances(t *testing.T) {
	Convey("Given an instance that passes its health check and one that does not run", t, func() {
		healthy := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer healthy.Close()
		instance := core.Instance{ID: "e1", Role: core.RoleEntry, Addr: strings.TrimPrefix(healthy.URL, "http://")}
		unreachable := core.Instance{ID: "e2", Role: core.RoleEntry, Addr: "127.0.0.1:1"}
		s, _, p := startStandin(t, Config{Instances: []core.Instance{instance, unreachable}})
		ctx := context.Background()

		Convey("after the first health checks only the healthy instance is listed", func() {
			list, tag, err := p.Instances.List(ctx, "")
			So(err, ShouldBeNil)
			So(list, ShouldBeEmpty)
			s.instances.updateListed(ctx, time.Second)
			list, tag, err = p.Instances.List(ctx, tag)
			So(err, ShouldBeNil)
			So(list, ShouldResemble, []core.Instance{instance})
			s.instances.updateListed(ctx, time.Second)
			_, _, err = p.Instances.List(ctx, tag)
			So(err, ShouldWrap, platform.ErrNotModified)
		})
		Convey("an instance is listed as leaving after the next health check", func() {
			So(s.instances.setLeaving("e1"), ShouldBeTrue)
			s.instances.updateListed(ctx, time.Second)
			list, _, err := p.Instances.List(ctx, "")
			So(err, ShouldBeNil)
			So(list[0].Leaving, ShouldBeTrue)
		})
		Convey("an instance that fails its health check is no longer listed", func() {
			s.instances.updateListed(ctx, time.Second)
			healthy.Close()
			s.instances.updateListed(ctx, time.Second)
			list, _, err := p.Instances.List(ctx, "")
			So(err, ShouldBeNil)
			So(list, ShouldBeEmpty)
		})
	})
}
