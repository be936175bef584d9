package control

import (
	"time"

	"github.com/rattanway/rattanway/connection/homes"
	"github.com/rattanway/rattanway/connection/registry"
)

// The target: the size of the deployment that the system must support.
const (
	targetEntries         = 330
	targetServers         = 600
	targetDataCentres     = 6
	targetCallsPerSecond  = 2_100
	targetTokensPerSecond = 880_000
	targetChangesPerDay   = 1_100
	secondsPerDay         = 86_400
)

// Limits at the target for the control path of one entry instance or agent.
const (
	// LimitCPU is the limit of the processor time, in cores.
	LimitCPU = 0.021
	// LimitMemory is the limit of the memory, in bytes.
	LimitMemory = 32 << 20
	// LimitTraffic is the limit of the traffic, in bytes per second.
	LimitTraffic = 3 << 10
)

// segmentHeaderBytes is the estimated size of the headers of one TCP segment over
// IPv4: 20 bytes for IP, 20 bytes for TCP and 12 bytes for TCP timestamps.
const segmentHeaderBytes = 52

// HomesPerAgent returns the number of home entry instances, those with which an
// agent registers, at the target and with the given values of
// homes.Config.MaxLocal and homes.Config.PerRemote.
func HomesPerAgent(maxLocal, perRemote int) int {
	local := targetEntries / targetDataCentres
	return min(maxLocal, local) + perRemote*(targetDataCentres-1)
}

// AgentsPerEntry returns the number of agents registered with an entry instance at
// the target when the agent of each backend server has that many homes.
func AgentsPerEntry(servers, homes int) int { return servers * homes / targetEntries }

// heartbeatAtTarget returns the time between two reports of an agent when that many
// agents are registered with an entry instance.
func heartbeatAtTarget(agents int) time.Duration {
	factor := max(1, float64(agents)/homes.MaxFullRateAgents)
	return time.Duration(float64(registry.DefaultHeartbeat) * factor)
}

// reportsPerSecond returns the number of reports per second of n registrations.
func reportsPerSecond(n int, heartbeat time.Duration) float64 {
	return float64(n) / heartbeat.Seconds()
}
