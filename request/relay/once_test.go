package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/history"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	onceCallCount          = 10_000
	onceWorkerCount        = 64
	onceEntryInstanceCount = 3
	onceSeed               = 5
)

// onceFixture consists of several entry instances that share a table and servers.
type onceFixture struct {
	table   *fakeTable
	servers map[string]*fakeServer
	opener  *fakeOpener
	holder  *confstore.Holder
	history *history.Writer

	mu             sync.Mutex
	entryInstances []*onceEntryInstance
}

// onceEntryInstance is an entry instance of an onceFixture.
type onceEntryInstance struct {
	connections *entryInstanceConnections
	http        *httptest.Server
}

func newOnceFixture(out io.Writer, f *faultSource) *onceFixture {
	fx := &onceFixture{
		table:   &fakeTable{faults: f, rows: map[string]platform.Row{}},
		servers: map[string]*fakeServer{},
		opener:  &fakeOpener{agents: map[string]fakeAgent{}},
		holder:  confstore.NewHolder(),
		history: history.NewWriter(out),
	}
	set := testDeclarations()
	for _, id := range []string{"booking-1", "booking-2", "booking-3"} {
		s := newFakeServer(id, f, fx.history)
		fx.servers[id] = s
		fx.opener.agents[id] = s.respond
		set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: "palermo", Service: "booking", Limit: 1000}
	}
	fx.holder.Offer(&declare.Snapshot{Number: 1, Set: set})
	for range onceEntryInstanceCount {
		fx.entryInstances = append(fx.entryInstances, fx.newEntryInstance())
	}
	return fx
}

func (fx *onceFixture) newEntryInstance() *onceEntryInstance {
	clock := clockwork.NewRealClock()
	log := eventlog.Discard()
	reg := registry.New()
	for id := range fx.servers {
		reg.Put(registry.Server{
			Instance: core.Instance{ID: id, DataCentre: "palermo"}, Service: "booking",
			Report: frame.Report{State: frame.StateReady, Limit: 1000},
		})
	}
	connections := &entryInstanceConnections{fakeTable: fx.table, opener: fx.opener, killed: make(chan struct{})}
	onceRecords := once.New(once.Config{
		PollInterval: 5 * time.Millisecond, QueryAfter: 20 * time.Millisecond, RecordGrace: 60 * time.Millisecond,
	}, connections, nil, log, clock)
	router := routing.New(routing.Config{}, reg, fx.holder, log, clock)
	r := New(Config{AttemptQueryTimeout: 50 * time.Millisecond, AdmitTimeout: 100 * time.Millisecond,
		ResponseIdleTimeout: 100 * time.Millisecond, CallTimeout: 2 * time.Second},
		fx.holder, router, connections, onceRecords, log, clock)
	e := echo.New()
	r.Register(e)
	return &onceEntryInstance{connections: connections, http: httptest.NewServer(e)}
}

// replaceEntryInstance kills entry instance i and puts a new one in its place.
func (fx *onceFixture) replaceEntryInstance(i int) {
	replacement := fx.newEntryInstance()
	fx.mu.Lock()
	old := fx.entryInstances[i]
	fx.entryInstances[i] = replacement
	fx.mu.Unlock()
	close(old.connections.killed)
	old.http.CloseClientConnections()
	go old.http.Close()
}

func (fx *onceFixture) close() {
	for _, e := range fx.entryInstances {
		e.http.Close()
	}
	fx.opener.running.Wait()
}

// submit sends a call through entry instance i, and returns the record that it
// adds to the history.
func (fx *onceFixture) submit(client *http.Client, i int, id, key string) history.Record {
	fx.mu.Lock()
	entryInstance := fx.entryInstances[i]
	fx.mu.Unlock()
	record := history.Record{Kind: history.KindResponse, CallID: id, EntryID: strconv.Itoa(i), SentAt: fx.history.Elapsed()}
	req, err := http.NewRequest(http.MethodPost, entryInstance.http.URL+"/services/booking/deposits", strings.NewReader(id))
	if err != nil {
		return record
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(core.HeaderIdempotencyKey, key)
	}
	resp, err := client.Do(req)
	if err == nil {
		fx.recordResponse(resp, &record)
	}
	fx.history.Add(record)
	return record
}

// recordResponse copies a response to record if the response is complete, and
// otherwise leaves record unchanged.
func (fx *onceFixture) recordResponse(resp *http.Response, record *history.Record) {
	got, err := readBody(resp)
	if err != nil {
		return
	}
	record.Status = resp.StatusCode
	record.SubmissionID = resp.Header.Get(core.HeaderRequestID)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) {
		var p Problem
		if json.Unmarshal([]byte(got), &p) == nil {
			record.Outcome = p.Outcome
		}
		return
	}
	record.BodyDigest = core.DigestOf([]byte(got))
}

// runCall makes call number n. A call with an even number has no
// Idempotency-Key and is submitted once. A call with an odd number is submitted
// up to four times, through one entry instance after another, until one
// submission succeeds, and then once more. Every tenth call is also submitted
// through two entry instances concurrently.
func (fx *onceFixture) runCall(client *http.Client, n int) {
	id := fmt.Sprintf("call-%d", n)
	if n%2 == 0 {
		fx.submit(client, n%onceEntryInstanceCount, id, "")
		return
	}
	if n%10 == 1 {
		var concurrent sync.WaitGroup
		concurrent.Go(func() { fx.submit(client, (n+2)%onceEntryInstanceCount, id, "key-"+id) })
		defer concurrent.Wait()
	}
	for attempt := range 4 {
		record := fx.submit(client, (n+attempt)%onceEntryInstanceCount, id, "key-"+id)
		if record.Status == http.StatusCreated {
			break
		}
	}
	fx.submit(client, (n+1)%onceEntryInstanceCount, id, "key-"+id)
}

// injectFaults kills agents and entry instances and makes the table unavailable,
// until stop is closed.
func (fx *onceFixture) injectFaults(f *faultSource, stop <-chan struct{}) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			fx.table.down.Store(false)
			return
		case <-tick.C:
		}
		fx.table.down.Store(n%7 == 3)
		if f.happens(0.3) {
			fx.servers[fmt.Sprintf("booking-%d", 1+n%3)].restart()
		}
		if f.happens(0.2) {
			fx.replaceEntryInstance(n % onceEntryInstanceCount)
		}
	}
}

// TestOnceOnlyCallsRunAtMostOnce checks the history of all submissions and
// executions. It also writes the history to the file named by
// RATTANWAY_TEST_HISTORY if that variable is set, so that the history can be
// checked again later.
func TestOnceOnlyCallsRunAtMostOnce(t *testing.T) {
	Convey("Given 10,000 once-only calls with killed and paused processes, lost responses and table outages", t, func() {
		var out bytes.Buffer
		f := &faultSource{rng: rand.New(rand.NewPCG(onceSeed, onceSeed))}
		fx := newOnceFixture(&out, f)
		runOnceCalls(fx, f)
		fx.close()
		So(fx.history.Err(), ShouldBeNil)
		if path := os.Getenv("RATTANWAY_TEST_HISTORY"); path != "" {
			So(os.WriteFile(path, out.Bytes(), 0o644), ShouldBeNil)
		}
		res, err := history.Check(&out)
		So(err, ShouldBeNil)
		t.Logf("seed %d: %d calls, %d executions, %d submissions: %d whole, %d not-run, %d unknown, %d broken",
			onceSeed, res.Calls, res.Executions, res.Submissions, res.Whole, res.NotRun, res.OtherRefusals, res.Broken)
		So(res.Violations, ShouldBeEmpty)
		So(res.Calls, ShouldEqual, onceCallCount)
		So(res.Whole, ShouldBeGreaterThan, onceCallCount/2)
	})
}

// runOnceCalls makes onceCallCount calls through onceWorkerCount concurrent
// workers while faults are injected.
func runOnceCalls(fx *onceFixture, f *faultSource) {
	stop := make(chan struct{})
	var injector, workers sync.WaitGroup
	injector.Go(func() { fx.injectFaults(f, stop) })
	calls := make(chan int)
	for range onceWorkerCount {
		workers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for n := range calls {
				fx.runCall(client, n)
			}
		})
	}
	for n := range onceCallCount {
		calls <- n
	}
	close(calls)
	workers.Wait()
	close(stop)
	injector.Wait()
}
