package registry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

// lateCheckFactor is the number of heartbeat intervals after which the next
// check is late. A late check marks no server as suspect, because this process
// was probably paused and reports may be waiting to be read.
const lateCheckFactor = 1.5

// heartbeatMonitor marks a server as suspect if Server.LastSeen has not changed
// for suspectAfterHeartbeats heartbeat intervals. It uses a timer instead of a
// goroutine, because an entry instance has one monitor for each registration.
type heartbeatMonitor struct {
	listener *Listener
	serverID string
	// registrationNumber is the number of the monitored registration.
	registrationNumber uint64
	// heartbeatInterval is the longest time between two reports, in nanoseconds.
	heartbeatInterval atomic.Int64
	timer             *time.Timer
	// lastCheck is the time of the last check. Only check uses it.
	lastCheck time.Time
}

// monitorHeartbeats starts a heartbeatMonitor for a registration of the server
// with the given ID.
func (l *Listener) monitorHeartbeats(serverID string, registrationNumber uint64, heartbeatInterval time.Duration) *heartbeatMonitor {
	m := &heartbeatMonitor{listener: l, serverID: serverID, registrationNumber: registrationNumber, lastCheck: time.Now()}
	m.setHeartbeatInterval(heartbeatInterval)
	m.timer = time.AfterFunc(math.MaxInt64, m.check)
	m.timer.Reset(heartbeatInterval)
	return m
}

// setHeartbeatInterval sets the longest time between two reports. The check that
// is already scheduled keeps its time.
func (m *heartbeatMonitor) setHeartbeatInterval(heartbeatInterval time.Duration) {
	m.heartbeatInterval.Store(int64(heartbeatInterval))
}

// stop ends the checks.
func (m *heartbeatMonitor) stop() { m.timer.Stop() }

// check marks the server as suspect if its reports are overdue. The timer calls
// check once in each heartbeat interval until the registration has ended.
func (m *heartbeatMonitor) check() {
	srv, ok := m.listener.registry.Get(m.serverID)
	if !ok || srv.RegistrationNumber != m.registrationNumber {
		return
	}
	heartbeatInterval := time.Duration(m.heartbeatInterval.Load())
	late := time.Since(m.lastCheck).Seconds() >= lateCheckFactor*heartbeatInterval.Seconds()
	m.lastCheck = time.Now()
	m.timer.Reset(heartbeatInterval)
	if late || srv.Suspect || time.Since(srv.LastSeen) < suspectAfterHeartbeats*heartbeatInterval {
		return
	}
	m.listener.registry.Update(m.serverID, srv.Incarnation, func(srv *Server) { srv.Suspect = true })
	m.listener.log.Event(eventAgentSuspect, eventlog.Fields{"server": m.serverID})
}
