package registry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// Path is the HTTP path at which entry instances accept registrations.
const Path = "/internal/register"

// Heartbeat and timeout settings of a Listener.
const (
	// DefaultHeartbeatInterval is the default for the longest time between two reports.
	DefaultHeartbeatInterval = 5 * time.Second
	// helloTimeout is how long a Listener waits for the first frame.
	helloTimeout = 5 * time.Second
	// suspectAfterHeartbeats is the number of heartbeat intervals without a report
	// after which a server is suspect.
	suspectAfterHeartbeats = 2
	// goneAfterHeartbeats is the number of heartbeat intervals without any frame
	// from the agent, or without a further byte of one, after which the agent's registration ends.
	goneAfterHeartbeats = 4
	// maxHeartbeatInterval is the longest accepted heartbeat interval; an agent
	// that announces a longer interval is treated as if it had announced this one.
	maxHeartbeatInterval = time.Minute
)

// The events that a Listener logs.
var (
	eventAgentRegistered = eventlog.Define(101, "agent-registered", logrus.InfoLevel,
		"An agent registered with this entry instance.")
	eventAgentGone = eventlog.Define(102, "agent-gone", logrus.InfoLevel,
		"An agent's registration ended; this entry instance sends it no new requests.")
	eventAgentSuspect = eventlog.Define(103, "agent-suspect", logrus.WarnLevel,
		"An agent missed its heartbeats; this entry instance sends it no new requests until it reports again.")
	eventServerState = eventlog.Define(104, "server-state", logrus.InfoLevel,
		"A backend server's state, limit or loaded versions changed.")
	eventRegistrationRefused = eventlog.Define(105, "registration-refused", logrus.WarnLevel,
		"A registration was refused or ended with an error.")
)

// ListenerConfig holds the settings of a Listener.
type ListenerConfig struct {
	// Self is this entry instance.
	Self core.Instance
	// HeartbeatInterval is the longest time between two reports of an agent that announces
	// no heartbeat interval. Default 5 s.
	HeartbeatInterval time.Duration
}

// applyDefaults returns c with its zero fields set to their defaults.
func (c ListenerConfig) applyDefaults() ListenerConfig {
	core.SetDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	return c
}

// Listener accepts registrations of agents and keeps a Registry up to date with
// their reports. It implements http.Handler; the peer token must be checked before
// ServeHTTP is called.
type Listener struct {
	cfg          ListenerConfig
	registry     *Registry
	configHub    *confsync.Hub
	configSource confsync.Source
	log          *eventlog.Logger
	// onUnregister is called with the address of an agent whose registration
	// ended.
	onUnregister func(addr string)

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*frame.Conn]bool
	// lastRegistrationNumber is the number of the newest registration.
	lastRegistrationNumber uint64
}

// NewListener returns a Listener. onUnregister is called with the address of an
// agent whose registration ended, unless a newer one replaced it; it may be nil.
func NewListener(cfg ListenerConfig, registry *Registry, configHub *confsync.Hub, configSource confsync.Source, onUnregister func(addr string), log *eventlog.Logger) *Listener {
	if onUnregister == nil {
		onUnregister = func(string) {}
	}
	return &Listener{
		cfg:          cfg.applyDefaults(),
		registry:     registry,
		configHub:    configHub,
		configSource: configSource,
		log:          log,
		onUnregister: onUnregister,
		conns:        map[*frame.Conn]bool{},
	}
}

// Close ends every registration.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// ServeHTTP upgrades r to a connection, which carries one registration, and
// returns when the registration has ended.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		l.log.EventWithError(eventRegistrationRefused, err, eventlog.Fields{"peer": r.RemoteAddr})
		return
	}
	l.mu.Lock()
	l.conns[conn] = true
	l.lastRegistrationNumber++
	registrationNumber := l.lastRegistrationNumber
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
		_ = conn.Close()
	}()
	if err := l.serveRegistration(conn, registrationNumber); err != nil {
		l.log.EventWithError(eventRegistrationRefused, err, eventlog.Fields{"peer": conn.Peer()})
	}
}

// serveRegistration receives the agent's Hello frame, adds the agent to the
// registry and handles the agent's frames until the connection ends. It then
// removes the agent.
func (l *Listener) serveRegistration(conn *frame.Conn, registrationNumber uint64) error {
	var hello frame.Hello
	if err := conn.Expect(frame.KindHello, &hello, time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	conn.SetPeer(hello.Instance.ID)
	welcome := frame.Welcome{Instance: l.cfg.Self, ConfigNumber: l.configSource.Number()}
	if err := conn.Send(frame.KindWelcome, welcome); err != nil {
		return err
	}
	l.register(hello, registrationNumber)
	defer l.unregister(hello, registrationNumber)

	session := confsync.NewSession(l.configHub, conn, hello.Report.ConfigNumber)
	defer session.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = session.Announce(ctx, 0) }()
	if err := session.PullIfNewer(hello.Report.ConfigNumber); err != nil {
		return err
	}
	return l.receiveFrames(conn, session, hello, registrationNumber)
}

// receiveFrames handles the agent's frames until the connection ends or nothing
// arrives for goneAfterHeartbeats heartbeat intervals. It returns nil in both
// cases, and an error for a frame that it cannot handle.
func (l *Listener) receiveFrames(conn *frame.Conn, session *confsync.Session, hello frame.Hello, registrationNumber uint64) error {
	heartbeatInterval := l.announcedHeartbeatInterval(hello.Report, l.cfg.HeartbeatInterval)
	monitor := l.monitorHeartbeats(hello.Instance.ID, registrationNumber, heartbeatInterval)
	defer monitor.stop()
	for {
		f, err := conn.ReceiveWithin(goneAfterHeartbeats * heartbeatInterval)
		if err != nil {
			return nil
		}
		handled, err := session.Handle(f)
		if err != nil {
			return err
		}
		if handled {
			continue
		}
		if f.Kind != frame.KindReport {
			return core.WrapStep("registration", conn.Peer(), frame.ErrUnexpectedKind)
		}
		var report frame.Report
		if err := f.Decode(&report); err != nil {
			return core.WrapStep("registration", conn.Peer(), err)
		}
		heartbeatInterval = l.announcedHeartbeatInterval(report, heartbeatInterval)
		l.applyReport(hello, report)
		monitor.setHeartbeatInterval(heartbeatInterval)
		if err := session.PullIfNewer(report.ConfigNumber); err != nil {
			return err
		}
	}
}

// announcedHeartbeatInterval returns the heartbeat interval that a report
// announces, at most maxHeartbeatInterval. It returns current if the report
// announces none.
func (l *Listener) announcedHeartbeatInterval(report frame.Report, current time.Duration) time.Duration {
	if report.HeartbeatMillis <= 0 {
		return current
	}
	return min(time.Duration(report.HeartbeatMillis)*time.Millisecond, maxHeartbeatInterval)
}

// register adds the server to the registry and replaces an earlier registration of
// the same server.
func (l *Listener) register(hello frame.Hello, registrationNumber uint64) {
	l.registry.Put(Server{
		Instance:           hello.Instance,
		Incarnation:        hello.Incarnation,
		RegistrationNumber: registrationNumber,
		Service:            hello.Service,
		Report:             hello.Report,
		LastSeen:           time.Now(),
	})
	l.log.Event(eventAgentRegistered, eventlog.Fields{
		"server":      hello.Instance.ID,
		"dataCentre":  hello.Instance.DataCentre,
		"incarnation": hello.Incarnation,
		"state":       hello.Report.State,
		"limit":       hello.Report.Limit,
		"loaded":      len(hello.Report.Loaded),
	})
}

// unregister removes the server from the registry, unless a newer registration has
// replaced this one.
func (l *Listener) unregister(hello frame.Hello, registrationNumber uint64) {
	if !l.registry.Remove(hello.Instance.ID, registrationNumber) {
		return
	}
	l.onUnregister(hello.Instance.Addr)
	l.log.Event(eventAgentGone, eventlog.Fields{
		"server":      hello.Instance.ID,
		"incarnation": hello.Incarnation,
	})
}

// applyReport stores an agent's report in the registry. A report without a list of
// loaded versions keeps the previous list.
func (l *Listener) applyReport(hello frame.Hello, report frame.Report) {
	var changed bool
	l.registry.Update(hello.Instance.ID, hello.Incarnation, func(srv *Server) {
		previous := srv.Report
		if !report.LoadedChanged {
			report.Loaded = previous.Loaded
		}
		changed = report.LoadedChanged || report.State != previous.State || report.Limit != previous.Limit || srv.Suspect
		srv.Report = report
		srv.LastSeen = time.Now()
		srv.Suspect = false
	})
	if changed {
		l.log.Event(eventServerState, eventlog.Fields{
			"server": hello.Instance.ID,
			"state":  report.State,
			"limit":  report.Limit,
			"loaded": len(report.Loaded),
		})
	}
}
