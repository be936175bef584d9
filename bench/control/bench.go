// Package control measures the memory, processor time and traffic that the
// control path takes in an entry instance and in an agent, each at several sizes,
// and fits a line to the points. The two daemons run as separate processes and
// are measured through their metrics; the benchmark provides the platform and all
// other agents and entry instances.
package control

import (
	"context"
	"io"
	"time"

	"github.com/rattanway/rattanway/connection/homes"
)

// Limits of package homes on the number of entry instances with which an agent
// registers. The figures at the target are computed for these limits.
const (
	defaultMaxLocal  = homes.DefaultMaxLocalHomes
	defaultPerRemote = homes.DefaultHomesPerRemoteDataCentre
)

// Options are the settings of a run of the control benchmark.
type Options struct {
	// EntryID and EntryAddr are the id and the "ip:port" of the entry instance
	// under test.
	EntryID, EntryAddr string
	// AgentID and AgentAddr are the id and the "ip:port" of the agent under
	// test.
	AgentID, AgentAddr string
	// EntryPlatform and AgentPlatform are the "ip:port" that the entry instance
	// and the agent use for the platform. The benchmark listens there.
	EntryPlatform, AgentPlatform string
	// PeerToken authenticates entry instances and agents to each other.
	PeerToken string
	// AgentCounts lists the numbers of agents to register with the entry instance
	// under test.
	AgentCounts []int
	// HomeCounts lists the numbers of homes of the agent under test, the entry
	// instances with which it registers. The entry instance under test is not
	// counted.
	HomeCounts []int
	// ServerCounts lists the numbers of declared backend servers.
	ServerCounts []int
	// ListedCounts lists the numbers of instances in the platform's list.
	ListedCounts []int
	// CallLengths lists the lengths of calls, in tokens.
	CallLengths []int
	// DeclaredServers is the number of declared backend servers in the measurements
	// that do not use ServerCounts.
	DeclaredServers int
	// ConcurrentCalls is the number of concurrent calls.
	ConcurrentCalls int
	// TokenInterval is the time between two tokens of the engine.
	TokenInterval time.Duration
	// SteadyWindow is the length of a measurement in steady state, that is, while
	// nothing changes.
	SteadyWindow time.Duration
	// SettleTime is the time to wait before a measurement.
	SettleTime time.Duration
	// ChangeInterval is the time between two configuration changes.
	ChangeInterval time.Duration
	// JSON selects JSON for the report instead of tables.
	JSON bool
}

// Run makes all measurements, prints the report to out and returns it.
func Run(ctx context.Context, out io.Writer, opt Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := newTestbed(ctx, opt)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	if _, err := t.apply(ctx, t.declaredSet(opt.DeclaredServers)); err != nil {
		return nil, err
	}
	r := &Report{}
	for _, step := range []func(context.Context, *Report) error{
		t.measureEntry, t.measureAgent, t.measureDeclared, t.measureListed, t.measureCalls, t.measurePlans,
	} {
		if err := step(ctx, r); err != nil {
			return r, err
		}
	}
	if err := measureChunks(r); err != nil {
		return r, err
	}
	r.fitLines()
	return r, r.write(out, opt.JSON)
}
