// Package confsync synchronises the configuration of an agent and an entry
// instance over the registration between them. Either side announces a newer
// version, which the other side pulls. Neither side returns to an older version.
package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/confstore"
)

// pullTimeout is how long a pull of a version may take before the version may be
// pulled from another peer.
const pullTimeout = time.Second

var eventConfigRejected = eventlog.Define(130, "peer-configuration-rejected", logrus.ErrorLevel,
	"A peer sent a configuration that failed its check and was not put in force.")

// Source gives access to the configuration in force in a process.
type Source interface {
	// Number returns the number of the version in force.
	Number() uint64
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Encode returns the version in force, encoded for a peer that holds
	// version peerVersion.
	Encode(peerVersion uint64) (frame.Config, error)
	// Offer checks c and puts it in force if it is newer than the version in
	// force.
	Offer(c frame.Config) error
	// RecordPeerVersion records that the newest version of a peer is number,
	// according to the response to a Pull frame that was sent at pullSentAt.
	RecordPeerVersion(number uint64, pullSentAt time.Time)
}

// Hub coordinates the sessions of one process, so that the process pulls each
// version from only one peer at a time.
type Hub struct {
	source Source
	log    *eventlog.Logger
	// mayConfirm reports whether this process may confirm a peer's version.
	mayConfirm func() bool

	mu sync.Mutex
	// pulledVersion is the version pulled last.
	pulledVersion uint64
	// pullStartedAt is the time at which the pull of pulledVersion started.
	pullStartedAt time.Time
	// sessions holds the open sessions.
	sessions map[*Session]bool
}

// NewHub returns a Hub for source that always confirms its peers' versions; see
// ConfirmPeersWhen.
func NewHub(source Source, log *eventlog.Logger) *Hub {
	always := func() bool { return true }
	return &Hub{source: source, log: log, mayConfirm: always, sessions: map[*Session]bool{}}
}

// ConfirmPeersWhen makes the Hub confirm its peers' versions only while
// mayConfirm returns true. This condition prevents a process that was paused
// from confirming the old version of another paused process. ConfirmPeersWhen
// must be called before the Hub is used.
func (h *Hub) ConfirmPeersWhen(mayConfirm func() bool) { h.mayConfirm = mayConfirm }

// PullFromPeers sends a Pull frame to every peer, so that the version in force
// here is confirmed or replaced. It must be called after each pause of the
// process.
func (h *Hub) PullFromPeers() {
	h.mu.Lock()
	sessions := make([]*Session, 0, len(h.sessions))
	for s := range h.sessions {
		sessions = append(sessions, s)
	}
	h.mu.Unlock()
	for _, s := range sessions {
		_ = s.pull()
	}
}

// startPull reports whether version number should be pulled from a peer, and
// records the pull if so. The version must be newer than the one in force, and no
// pull of it or of a newer version may have started within pullTimeout.
func (h *Hub) startPull(number uint64) bool {
	if number <= h.source.Number() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pulledVersion >= number && time.Since(h.pullStartedAt) < pullTimeout {
		return false
	}
	h.pulledVersion = number
	h.pullStartedAt = time.Now()
	return true
}

// Session synchronises the configuration over one registration.
type Session struct {
	hub  *Hub
	conn *frame.Conn
	// peerVersion is the newest version that the peer is known to hold.
	peerVersion atomic.Uint64

	mu sync.Mutex
	// pullSentAt is the time at which the oldest Pull frame without a response was
	// sent; zero if every Pull frame has a response.
	pullSentAt time.Time
}

// NewSession returns a Session over conn, whose peer holds version peerVersion. The
// caller ends the Session with Close.
func NewSession(hub *Hub, conn *frame.Conn, peerVersion uint64) *Session {
	s := &Session{hub: hub, conn: conn}
	s.peerVersion.Store(peerVersion)
	hub.mu.Lock()
	hub.sessions[s] = true
	hub.mu.Unlock()
	return s
}

// Close ends the session. The connection stays open; the caller closes it.
func (s *Session) Close() {
	s.hub.mu.Lock()
	delete(s.hub.sessions, s)
	s.hub.mu.Unlock()
}

// PullIfNewer records that the peer holds version number. It pulls that version if
// it is newer than the version in force here and is not being pulled already.
func (s *Session) PullIfNewer(number uint64) error {
	s.raisePeerVersion(number)
	if !s.hub.startPull(number) {
		return nil
	}
	return s.pull()
}

// pull sends a Pull frame to the peer.
func (s *Session) pull() error {
	s.mu.Lock()
	if s.pullSentAt.IsZero() {
		s.pullSentAt = time.Now()
	}
	s.mu.Unlock()
	return s.conn.Send(frame.KindPull, frame.Pull{HeldNumber: s.hub.source.Number()})
}

// applyConfirmation records that the peer's newest version is number, if the frame
// is the response to a Pull and the peer marked its version as confirmed. Other
// frames confirm nothing: a Notice without a Pull may have waited in a buffer while
// this process was paused, and a peer that was paused too may hold the same old
// version.
func (s *Session) applyConfirmation(number uint64, confirmed bool) {
	if !confirmed {
		return
	}
	s.mu.Lock()
	pullSentAt := s.pullSentAt
	s.pullSentAt = time.Time{}
	s.mu.Unlock()
	if !pullSentAt.IsZero() {
		s.hub.source.RecordPeerVersion(number, pullSentAt)
	}
}

// Handle processes f if it is a frame of the configuration protocol, and reports
// whether it is.
func (s *Session) Handle(f frame.Frame) (bool, error) {
	switch f.Kind {
	case frame.KindNotice:
		var n frame.Notice
		if err := f.Decode(&n); err != nil {
			return true, err
		}
		s.applyConfirmation(n.ConfigNumber, n.Confirmed)
		return true, s.PullIfNewer(n.ConfigNumber)
	case frame.KindPull:
		var p frame.Pull
		if err := f.Decode(&p); err != nil {
			return true, err
		}
		return true, s.sendVersion(p.HeldNumber)
	case frame.KindConfig:
		var c frame.Config
		if err := f.Decode(&c); err != nil {
			return true, err
		}
		return true, s.applyConfig(c)
	default:
		return false, nil
	}
}

// Announce sends a Notice frame to the peer for each newer version until ctx ends.
// It waits for delay before each frame, because the peer may receive the version
// from elsewhere in this time.
func (s *Session) Announce(ctx context.Context, delay time.Duration) error {
	for {
		changed := s.hub.source.Changed()
		if err := s.announceOnce(ctx, delay); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// announceOnce waits for delay and sends a Notice frame, unless the peer already
// holds the version in force.
func (s *Session) announceOnce(ctx context.Context, delay time.Duration) error {
	if s.hub.source.Number() <= s.peerVersion.Load() {
		return nil
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil
	}
	number := s.hub.source.Number()
	if number <= s.peerVersion.Load() {
		return nil
	}
	return s.conn.Send(frame.KindNotice, frame.Notice{ConfigNumber: number})
}

// sendVersion sends the version in force to a peer that holds version
// peerVersion. If peerVersion is not older, it sends only the number of the
// version in force.
func (s *Session) sendVersion(peerVersion uint64) error {
	if number := s.hub.source.Number(); peerVersion >= number {
		s.raisePeerVersion(peerVersion)
		return s.conn.Send(frame.KindNotice, frame.Notice{ConfigNumber: number, Confirmed: s.hub.mayConfirm()})
	}
	c, err := s.hub.source.Encode(peerVersion)
	if err != nil {
		return err
	}
	c.Confirmed = s.hub.mayConfirm()
	s.raisePeerVersion(c.Number)
	return s.conn.Send(frame.KindConfig, c)
}

// applyConfig puts a received configuration in force. A configuration that fails
// its check is logged and dropped, and the connection stays open. If the
// configuration is a delta whose base is not the version in force, applyConfig
// requests the complete configuration.
func (s *Session) applyConfig(c frame.Config) error {
	s.raisePeerVersion(c.Number)
	err := s.hub.source.Offer(c)
	if errors.Is(err, confstore.ErrBaseMismatch) {
		return s.conn.Send(frame.KindPull, frame.Pull{HeldNumber: 0})
	}
	if err != nil {
		s.hub.log.EventWithError(eventConfigRejected, err, eventlog.Fields{
			"peer":   s.conn.Peer(),
			"number": c.Number,
			"base":   c.Base,
		})
		return nil
	}
	s.applyConfirmation(c.Number, c.Confirmed)
	return nil
}

// raisePeerVersion sets peerVersion to number unless it is higher already.
func (s *Session) raisePeerVersion(number uint64) {
	for {
		old := s.peerVersion.Load()
		if number <= old || s.peerVersion.CompareAndSwap(old, number) {
			return
		}
	}
}
