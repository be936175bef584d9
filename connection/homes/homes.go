// Package homes registers an agent with a set of entry instances, called its
// homes, and maintains the registrations. One goroutine per home dials, sends
// reports and synchronises the configuration.
package homes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// DefaultMaxLocalHomes is the default of Config.MaxLocalHomes.
	DefaultMaxLocalHomes = 64
	// DefaultHomesPerRemoteDataCentre is the default of
	// Config.HomesPerRemoteDataCentre.
	DefaultHomesPerRemoteDataCentre = 2
	// defaultMinHomes is the default of Config.MinHomes.
	defaultMinHomes = 4
	// MaxFullRateAgents is the largest number of agents per entry instance at
	// which agents send reports at the configured interval. With more, they
	// lengthen the interval in proportion.
	MaxFullRateAgents = 60
	// dialTimeout limits the time to connect to a home. The same limit applies
	// again to the wait for the home's Welcome frame.
	dialTimeout = 2 * time.Second
	// announceDelay is the wait before an agent announces a newer configuration to
	// an entry instance, which usually receives the configuration from elsewhere
	// in this time.
	announceDelay = 2 * time.Second
	// reportCheckInterval is the time between two checks of the agent's report for
	// changes.
	reportCheckInterval = 100 * time.Millisecond
)

var (
	eventHomeRegistered = eventlog.Define(110, "home-registered", logrus.InfoLevel,
		"This agent registered with a home entry instance.")
	eventHomeLost = eventlog.Define(111, "home-lost", logrus.WarnLevel,
		"A registration with a home entry instance failed or ended; the agent dials the entry instance again.")
)

// Config holds the settings of Homes.
type Config struct {
	// Self is the instance of this agent.
	Self core.Instance
	// Incarnation is different each time the agent starts.
	Incarnation string
	// Service names the plain service beside the agent. It is empty beside an
	// inference engine.
	Service string
	// PeerToken authenticates this process to entry instances.
	PeerToken string
	// BaseHeartbeatInterval is the longest time between two reports if each entry instance has
	// at most MaxFullRateAgents registered agents. With more agents, the function
	// HeartbeatInterval computes a longer time. Default 5 s.
	BaseHeartbeatInterval time.Duration
	// MaxLocalHomes is the largest number of homes in the agent's own data centre,
	// unless more are needed to reach MinHomes. Default 64.
	MaxLocalHomes int
	// HomesPerRemoteDataCentre is the largest number of homes in each other data centre, unless
	// more are needed to reach MinHomes. Default 2.
	HomesPerRemoteDataCentre int
	// MinHomes is the smallest total number of homes, if there are that many entry
	// instances. Default 4.
	MinHomes int
}

// applyDefaults returns c with its zero fields set to their defaults.
func (c Config) applyDefaults() Config {
	core.SetDefault(&c.BaseHeartbeatInterval, registry.DefaultHeartbeatInterval)
	core.SetDefault(&c.MaxLocalHomes, DefaultMaxLocalHomes)
	core.SetDefault(&c.HomesPerRemoteDataCentre, DefaultHomesPerRemoteDataCentre)
	core.SetDefault(&c.MinHomes, defaultMinHomes)
	return c
}

// Members provides the list of known instances.
type Members interface {
	// All returns the newest list.
	All() []core.Instance
	// Changed returns a channel that is closed when the list next changes.
	Changed() <-chan struct{}
}

// Homes maintains the registrations of one agent with its homes.
type Homes struct {
	cfg       Config
	members   Members
	configHub *confsync.Hub
	log       *eventlog.Logger

	// reportWatcher detects changes of the agent's report for all
	// registrations.
	reportWatcher *reportWatcher
	// heartbeatInterval is the time, in nanoseconds, after which a report is sent
	// even if nothing has changed. It is recomputed when the list of instances
	// changes.
	heartbeatInterval atomic.Int64

	mu sync.Mutex
	// registered holds the IDs of the entry instances that have accepted the
	// agent's registration.
	registered map[string]bool
	// registrations holds the registrations that are open or being opened.
	registrations map[endpoint]*registration
}

// New returns Homes without registrations; Run opens them. report returns the
// agent's current report. It must always set Loaded; Homes leaves an unchanged
// list out when it sends the report.
func New(cfg Config, members Members, configHub *confsync.Hub, report func() frame.Report, log *eventlog.Logger) *Homes {
	cfg = cfg.applyDefaults()
	h := &Homes{
		cfg:           cfg,
		members:       members,
		configHub:     configHub,
		log:           log,
		reportWatcher: newReportWatcher(report),
		registered:    map[string]bool{},
		registrations: map[endpoint]*registration{},
	}
	h.heartbeatInterval.Store(int64(cfg.BaseHeartbeatInterval))
	return h
}

// RegisteredCount returns the number of homes with which the agent is currently
// registered.
func (h *Homes) RegisteredCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.registered)
}

// Run maintains the registrations until ctx ends.
func (h *Homes) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.reportWatcher.run(ctx) })
	for {
		changed := h.members.Changed()
		for _, r := range h.reconcile(ctx) {
			wg.Go(func() { h.maintainRegistration(r) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// runRegistration dials a home and registers with it. It then sends reports and
// handles the home's frames until the connection ends.
func (h *Homes) runRegistration(ctx context.Context, home core.Instance) error {
	conn, err := frame.Dial(home.Addr, registry.Path, h.cfg.PeerToken, dialTimeout)
	if err != nil {
		return err
	}
	conn.SetPeer(home.ID)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()

	firstReport, changed := h.reportWatcher.refresh()
	firstReport.LoadedChanged = true
	firstReport.HeartbeatMillis = time.Duration(h.heartbeatInterval.Load()).Milliseconds()
	hello := frame.Hello{
		Instance:    h.cfg.Self,
		Incarnation: h.cfg.Incarnation,
		Service:     h.cfg.Service,
		Report:      firstReport,
	}
	if err := conn.Send(frame.KindHello, hello); err != nil {
		return err
	}
	var welcome frame.Welcome
	if err := conn.Expect(frame.KindWelcome, &welcome, time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	h.markRegistered(home)
	defer h.markUnregistered(home)

	session := confsync.NewSession(h.configHub, conn, welcome.ConfigNumber)
	defer session.Close()
	if err := session.PullIfNewer(welcome.ConfigNumber); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		h.sendReports(ctx, conn, firstReport, changed)
		_ = conn.Close()
	}()
	go func() { _ = session.Announce(ctx, announceDelay) }()
	return receiveFrames(conn, session)
}

// markRegistered records that a home has accepted the registration.
func (h *Homes) markRegistered(home core.Instance) {
	h.mu.Lock()
	h.registered[home.ID] = true
	h.mu.Unlock()
	h.log.Event(eventHomeRegistered, eventlog.Fields{"entry": home.ID, "addr": home.Addr})
}

// markUnregistered records that the registration with a home has ended.
func (h *Homes) markUnregistered(home core.Instance) {
	h.mu.Lock()
	delete(h.registered, home.ID)
	h.mu.Unlock()
}

// receiveFrames handles the frames from an entry instance until the connection
// ends.
func receiveFrames(conn *frame.Conn, session *confsync.Session) error {
	for {
		f, err := conn.Receive(time.Time{})
		if err != nil {
			return err
		}
		handled, err := session.Handle(f)
		if err != nil {
			return err
		}
		if !handled {
			return core.WrapStep("registration", conn.Peer(), frame.ErrUnexpectedKind)
		}
	}
}

// sendReports sends reports until ctx ends or sending fails: one at each
// heartbeat, and one at once when a value that routing depends on has changed.
// lastSent is the report in the Hello frame. changed is the channel that
// reportWatcher.refresh returned with that report.
func (h *Homes) sendReports(ctx context.Context, conn *frame.Conn, lastSent frame.Report, changed <-chan struct{}) {
	heartbeatTimer := time.NewTimer(time.Duration(lastSent.HeartbeatMillis) * time.Millisecond)
	defer heartbeatTimer.Stop()
	for {
		heartbeatDue := false
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeatTimer.C:
			heartbeatDue = true
		}
		var current frame.Report
		current, changed = h.reportWatcher.refresh()
		if !heartbeatDue && !mustSendEarly(current, lastSent) {
			continue
		}
		interval := time.Duration(h.heartbeatInterval.Load())
		current.HeartbeatMillis = interval.Milliseconds()
		if err := conn.Send(frame.KindReport, withoutUnchangedFields(current, lastSent)); err != nil {
			return
		}
		lastSent = current
		heartbeatTimer.Reset(interval)
	}
}

// withoutUnchangedFields returns current without the loaded versions if they are
// the same as in last, and without the heartbeat interval if it is the same as
// in last.
func withoutUnchangedFields(current, last frame.Report) frame.Report {
	if current.HeartbeatMillis == last.HeartbeatMillis {
		current.HeartbeatMillis = 0
	}
	current.LoadedChanged = !sameLoaded(current.Loaded, last.Loaded)
	if !current.LoadedChanged {
		current.Loaded = nil
	}
	return current
}

// mustSendEarly reports whether current must be sent before the next heartbeat,
// because the loaded versions or a value that routing depends on differ from those
// in last.
func mustSendEarly(current, last frame.Report) bool {
	return routingInputsChanged(current, last) || !sameLoaded(current.Loaded, last.Loaded)
}

// limitChangeDivisor determines which change of the limit is reported before the
// next heartbeat: a change by more than 1/limitChangeDivisor of the last
// reported limit.
const limitChangeDivisor = 4

// routingInputsChanged reports whether the state or the configuration has
// changed, or the limit by more than 1/limitChangeDivisor. Routing depends on
// these values. Routing also depends on the numbers of calls, which responses
// and heartbeats carry.
func routingInputsChanged(current, last frame.Report) bool {
	limitChange := current.Limit - last.Limit
	if limitChange < 0 {
		limitChange = -limitChange
	}
	return current.State != last.State ||
		current.ConfigNumber != last.ConfigNumber ||
		limitChange*limitChangeDivisor > last.Limit
}

// sameLoaded reports whether two lists contain the same loaded versions in the
// same order.
func sameLoaded(a, b []frame.LoadedVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
