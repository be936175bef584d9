package control

import (
	"time"

	"github.com/rattanway/rattanway/connection/homes"
	"github.com/rattanway/rattanway/connection/registry"
)

// The target: the size of the deployment that the system must support.
const (
	targetEntryCount      = 330
	targetServerCount     = 600
	targetDataCentreCount = 6
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

// HomesPerAgent returns the number of homes of an agent at the target: the entry
// instances with which the agent registers. maxLocal and perRemote are values of
// homes.Config.MaxLocal and homes.Config.PerRemote.
func HomesPerAgent(maxLocal, perRemote int) int {
	local := targetEntryCount / targetDataCentreCount
	return min(maxLocal, local) + perRemote*(targetDataCentreCount-1)
}

// AgentsPerEntry returns the number of agents registered with an entry instance at
// the target if the agent of each of serverCount backend servers registers with
// homesPerAgent entry instances.
func AgentsPerEntry(serverCount, homesPerAgent int) int {
	return serverCount * homesPerAgent / targetEntryCount
}

// reportIntervalAtTarget returns the time between two reports of an agent if
// agentCount agents are registered with each entry instance.
func reportIntervalAtTarget(agentCount int) time.Duration {
	factor := max(1, float64(agentCount)/homes.MaxFullRateAgents)
	return time.Duration(float64(registry.DefaultHeartbeatInterval) * factor)
}

// reportsPerSecond returns the rate of the reports of n registrations, each of which
// sends one report every interval.
func reportsPerSecond(n int, interval time.Duration) float64 {
	return float64(n) / interval.Seconds()
}
