package registry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

// lateCheckFactor is the time between two checks, in heartbeats, from which on the
// later check marks no server as suspect: this process was probably paused, and
// reports may be waiting to be read.
const lateCheckFactor = 1.5

// heartbeatMonitor marks a server as suspect if Server.LastSeen has not changed for
// suspectAfter heartbeats. It uses a timer instead of a goroutine, since an entry
// instance has one monitor for each registration.
type heartbeatMonitor struct {
	listener *Listener
	server   string
	// registration is the number of the monitored registration.
	registration uint64
	// heartbeat is the longest time between two reports, in nanoseconds.
	heartbeat atomic.Int64
	timer     *time.Timer
	// lastCheck is the time of the last check. Only check uses it.
	lastCheck time.Time
}

// monitorHeartbeats starts a heartbeatMonitor for a registration. server is the ID
// of the server.
func (l *Listener) monitorHeartbeats(server string, registration uint64, heartbeat time.Duration) *heartbeatMonitor {
	m := &heartbeatMonitor{listener: l, server: server, registration: registration, lastCheck: time.Now()}
	m.setHeartbeat(heartbeat)
	m.timer = time.AfterFunc(math.MaxInt64, m.check)
	m.timer.Reset(heartbeat)
	return m
}

// setHeartbeat sets the longest time until the next report. The next check is still
// due after the previous heartbeat.
func (m *heartbeatMonitor) setHeartbeat(heartbeat time.Duration) { m.heartbeat.Store(int64(heartbeat)) }

// stop ends the checks.
func (m *heartbeatMonitor) stop() { m.timer.Stop() }

// check marks the server as suspect if its reports are overdue. The timer runs it
// once per heartbeat until the registration has ended.
func (m *heartbeatMonitor) check() {
	srv, ok := m.listener.registry.Get(m.server)
	if !ok || srv.Registration != m.registration {
		return
	}
	heartbeat := time.Duration(m.heartbeat.Load())
	late := time.Since(m.lastCheck).Seconds() >= lateCheckFactor*heartbeat.Seconds()
	m.lastCheck = time.Now()
	m.timer.Reset(heartbeat)
	if late || srv.Suspect || time.Since(srv.LastSeen) < suspectAfter*heartbeat {
		return
	}
	m.listener.registry.Update(m.server, srv.Incarnation, func(srv *Server) { srv.Suspect = true })
	m.listener.log.Event(eventAgentSuspect, eventlog.Fields{"server": m.server})
}
