package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/bench/history"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
)

// faultSource decides at random, from a seed, which faults happen. All fakes of a
// test share one faultSource.
type faultSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// happens returns true with probability p.
func (f *faultSource) happens(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// fakeTable is a table that may be down, and may lose requests and responses.
type fakeTable struct {
	faults *faultSource
	down   atomic.Bool
	mu     sync.Mutex
	rows   map[string]platform.Row
}

func (t *fakeTable) Get(_ context.Context, key string, _ uint64) (platform.Row, error) {
	if t.down.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (t *fakeTable) Commit(_ context.Context, writes []platform.Write) error {
	if t.down.Load() {
		return platform.ErrUnavailable
	}
	if t.faults.happens(0.01) { // request lost
		return platform.ErrUnknownOutcome
	}
	w := writes[0]
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.If != nil && *w.If != t.rows[w.Key].Revision {
		return platform.ErrConflict
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: t.rows[w.Key].Revision + 1}
	if t.faults.happens(0.03) { // response lost after the commit
		return platform.ErrUnknownOutcome
	}
	return nil
}

// fakeServer is an agent with a plain service that follows the protocol of
// once-only calls. The agent may be killed, may pause, and may lose responses.
type fakeServer struct {
	id      string
	faults  *faultSource
	history *history.Writer

	mu          sync.Mutex
	incarnation int
	// killed is closed when the current incarnation is killed.
	killed chan struct{}
	// The following three maps concern the current incarnation only.

	// forbidden maps the key of a call to the highest attempt number that must
	// not run.
	forbidden map[string]int
	// states maps the key and attempt of a call ("key#attempt") to the state of
	// the attempt.
	states map[string]frame.AttemptState
	// outcomes maps the key and attempt of a call to the outcome of the attempt.
	outcomes map[string]*frame.Outcome
	// runCount counts the executions in all incarnations.
	runCount int
}

func newFakeServer(id string, f *faultSource, h *history.Writer) *fakeServer {
	s := &fakeServer{id: id, faults: f, history: h}
	s.restart()
	return s
}

// restart kills the current incarnation and starts a new one without its state.
func (s *fakeServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed != nil {
		close(s.killed)
	}
	s.incarnation++
	s.killed = make(chan struct{})
	s.forbidden = map[string]int{}
	s.states = map[string]frame.AttemptState{}
	s.outcomes = map[string]*frame.Outcome{}
}

// respond is the fakeAgent of the server: it handles one exchange.
func (s *fakeServer) respond(x *fakeExchange, kind frame.Kind, msg any) {
	s.mu.Lock()
	incarnation, killed := strconv.Itoa(s.incarnation), s.killed
	s.mu.Unlock()
	defer x.breakConnection()
	if s.faults.happens(0.01) { // paused before it processes the message
		sleepUnlessKilled(killed, 150*time.Millisecond)
	}
	if kind == frame.KindAttemptQuery {
		query := msg.(frame.AttemptQuery)
		if state, alive := s.queryAndForbid(query, incarnation); alive {
			x.sendToEntryInstance(&frame.AttemptStatus{ID: query.ID, Incarnation: incarnation, State: state, Outcome: s.keptOutcome(query, state)})
		}
		return
	}
	req := msg.(frame.Request)
	if s.faults.happens(0.02) {
		x.sendToEntryInstance(&frame.Refuse{ID: req.ID, Reason: frame.ReasonFull, Load: frame.Load{Limit: 1000}})
		return
	}
	x.sendToEntryInstance(&frame.Admit{ID: req.ID, Incarnation: incarnation, HoldMillis: 100})
	select {
	case <-x.toAgent:
	case <-x.closed:
		return
	case <-killed:
		return
	}
	if s.faults.happens(0.01) { // paused after Go has arrived
		sleepUnlessKilled(killed, 150*time.Millisecond)
	}
	s.runAttempt(x, req, incarnation, killed)
}

// queryAndForbid returns the state of an attempt in an incarnation, and forbids an
// attempt that has not started. alive is false when the incarnation has been
// killed.
func (s *fakeServer) queryAndForbid(query frame.AttemptQuery, incarnation string) (state frame.AttemptState, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != strconv.Itoa(s.incarnation) {
		return "", false
	}
	if state, ok := s.states[query.Key+"#"+strconv.Itoa(query.AttemptNumber)]; ok {
		return state, true
	}
	s.forbidden[query.Key] = max(s.forbidden[query.Key], query.AttemptNumber)
	return frame.AttemptNotRun, true
}

// keptOutcome returns the outcome of an attempt that ran. With a probability of
// 0.3 it returns nil instead, as if the outcome had been evicted.
func (s *fakeServer) keptOutcome(query frame.AttemptQuery, state frame.AttemptState) *frame.Outcome {
	if state != frame.AttemptRan || s.faults.happens(0.3) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[query.Key+"#"+strconv.Itoa(query.AttemptNumber)]
}

// startAttempt records the attempt as running and returns the result of the
// execution. ok is false when the attempt is forbidden or the incarnation has been
// killed.
func (s *fakeServer) startAttempt(req frame.Request, incarnation string) (result string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != strconv.Itoa(s.incarnation) {
		return "", false
	}
	if req.Key != "" && req.AttemptNumber <= s.forbidden[req.Key] {
		return "", false
	}
	s.setState(req, frame.AttemptRunning)
	s.runCount++
	result = s.id + "/" + incarnation + "/" + strconv.Itoa(s.runCount)
	s.history.Add(history.Record{
		Kind: history.KindExecution, CallID: string(req.Body), SubmissionID: req.ID, AgentID: s.id,
		Incarnation: incarnation, BodyDigest: core.DigestOf([]byte(result)),
	})
	return result, true
}

// setState records the state of the attempt that req makes. It does nothing if
// req has no key. The caller must hold s.mu.
func (s *fakeServer) setState(req frame.Request, state frame.AttemptState) {
	if req.Key != "" {
		s.states[req.Key+"#"+strconv.Itoa(req.AttemptNumber)] = state
	}
}

// runAttempt runs the call and sends the response, or refuses an attempt that
// must not run.
func (s *fakeServer) runAttempt(x *fakeExchange, req frame.Request, incarnation string, killed chan struct{}) {
	result, ok := s.startAttempt(req, incarnation)
	if !ok {
		x.sendToEntryInstance(&frame.Refuse{ID: req.ID, Reason: frame.ReasonDuplicate, Load: frame.Load{Limit: 1000}})
		return
	}
	sleepUnlessKilled(killed, time.Millisecond)
	s.mu.Lock()
	if incarnation == strconv.Itoa(s.incarnation) {
		s.setState(req, frame.AttemptRan)
		s.outcomes[req.Key+"#"+strconv.Itoa(req.AttemptNumber)] = &frame.Outcome{Status: 201, Body: []byte(result)}
	}
	s.mu.Unlock()
	if s.faults.happens(0.03) { // response lost
		return
	}
	x.sendToEntryInstance(&frame.Head{ID: req.ID, Status: 201}, &frame.Data{ID: req.ID, Body: []byte(result)}, endFrame(req.ID, []byte(result)))
}

// sleepUnlessKilled sleeps for d, or until killed is closed.
func sleepUnlessKilled(killed chan struct{}, d time.Duration) {
	select {
	case <-killed:
	case <-time.After(d):
	}
}

// entryInstanceConnections connects an entry instance to the table and the agents.
// Once the entry instance is killed, every operation fails.
type entryInstanceConnections struct {
	*fakeTable
	opener *fakeOpener
	killed chan struct{}
}

func (c *entryInstanceConnections) isKilled() bool {
	select {
	case <-c.killed:
		return true
	default:
		return false
	}
}

func (c *entryInstanceConnections) Get(ctx context.Context, key string, known uint64) (platform.Row, error) {
	if c.isKilled() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return c.fakeTable.Get(ctx, key, known)
}

func (c *entryInstanceConnections) Commit(ctx context.Context, writes []platform.Write) error {
	if c.isKilled() {
		return platform.ErrUnavailable
	}
	return c.fakeTable.Commit(ctx, writes)
}

func (c *entryInstanceConnections) Open(ctx context.Context, agent core.Instance, id string, kind frame.Kind, msg any) (work.Exchange, error) {
	if c.isKilled() {
		return nil, errors.New("killed")
	}
	x, err := c.opener.Open(ctx, agent, id, kind, msg)
	if err != nil {
		return nil, err
	}
	return &entryInstanceExchange{Exchange: x, connections: c}, nil
}

// entryInstanceExchange is an exchange that fails once its entry instance is killed.
type entryInstanceExchange struct {
	work.Exchange
	connections *entryInstanceConnections
}

func (x *entryInstanceExchange) Send(kind frame.Kind, msg any) error {
	if x.connections.isKilled() {
		x.Close(false)
		return errors.New("killed")
	}
	return x.Exchange.Send(kind, msg)
}

func (x *entryInstanceExchange) Receive(ctx context.Context) (any, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-x.connections.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return x.Exchange.Receive(ctx)
}
