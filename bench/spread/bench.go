// Package spread measures how fast a version is distributed to many agents over
// loopback connections. It runs the real distribution code with a token bucket
// for each simulated link, and compares it with alternative ways of distribution
// in the same run.
package spread

import (
	"fmt"
	"io"
	"time"

	"github.com/olekukonko/tablewriter"
	"golang.org/x/sync/errgroup"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/spread"
)

// Options are the settings of a run.
type Options struct {
	// AgentCounts lists the numbers of agents in one region to measure with.
	AgentCounts []int
	// CopyBytes is the size of the version, in bytes.
	CopyBytes int64
	// ChunkCount is the number of chunks of the version.
	ChunkCount int
	// CopyTime is the time that one copy of the version takes over the link of a
	// machine. It determines the bandwidth of every link.
	CopyTime time.Duration
	// AlternativesCopyTime takes the place of CopyTime in the runs of the
	// alternative ways of distribution.
	AlternativesCopyTime time.Duration
	// DataCentresPerRegion is the number of data centres in each region.
	DataCentresPerRegion int
	// LongPollTimeout is how long an agent holds a peer's request open. A request
	// fails if the response has not begun after twice this time, or if no further
	// byte arrives for this time.
	LongPollTimeout time.Duration
	// MaxPeerFetches, UploadSlots and Fanout are the fields of the same name in
	// spread.Config of version/spread.
	MaxPeerFetches, UploadSlots, Fanout int
	// Alternatives adds runs of the alternative ways of distribution; Faults adds
	// runs of the real distribution code with faults.
	Alternatives, Faults bool
	// Log receives the events of the agents; nil discards them.
	Log *eventlog.Logger
}

// machineRate returns the bandwidth of a machine's link in bytes per second.
func (o Options) machineRate() int64 { return int64(float64(o.CopyBytes) / o.CopyTime.Seconds()) }

// Row is the result of one run. Bytes are in copies of the version, times in
// units of Options.CopyTime.
type Row struct {
	// Way is the name of the way of distribution.
	Way     string
	Agents  int
	Regions int
	Fault   string
	// Time is the time until the last agent had the version. Origin, Link and
	// MaxSent are amounts of data: sent by the origin (the weight store), sent from
	// one region to another, and sent by the machine that sent the most.
	Time, Origin, Link, MaxSent float64
}

// faultDelayCopies is the time from the start of a run to its fault, in units of
// Options.CopyTime.
const faultDelayCopies = 0.1

// Run makes the runs that opt selects. It writes each row as soon as its run is
// done, and the table of all rows at the end.
func Run(out io.Writer, opt Options) ([]Row, error) {
	if opt.Log == nil {
		opt.Log = eventlog.Discard()
	}
	var rows []Row
	addRow := func(row Row, err error) error {
		if err != nil {
			return err
		}
		rows = append(rows, row)
		_, err = fmt.Fprintf(out, "%+v\n", row)
		return err
	}
	for _, n := range opt.AgentCounts {
		if err := addRow(runSwarm(opt, n, 1, "")); err != nil {
			return rows, err
		}
	}
	last := opt.AgentCounts[len(opt.AgentCounts)-1]
	if err := addRow(runSwarm(opt, min(64, last), 2, "")); err != nil {
		return rows, err
	}
	if opt.Faults {
		for _, fault := range []string{faultKilled, faultStalled, faultCorrupt, faultAll} {
			if err := addRow(runSwarm(opt, min(64, last), 1, fault)); err != nil {
				return rows, err
			}
		}
	}
	if opt.Alternatives {
		if err := runAlternatives(opt, addRow); err != nil {
			return rows, err
		}
	}
	return rows, writeTable(out, rows)
}

// runAlternatives measures the three alternative ways of distribution: a chain of
// machines, a binary tree of machines, and agents that all read every chunk from
// the origin.
func runAlternatives(opt Options, addRow func(Row, error) error) error {
	opt.CopyTime = opt.AlternativesCopyTime
	for _, n := range opt.AgentCounts {
		if err := addRow(runOriginOnly(opt, n)); err != nil {
			return err
		}
		if err := addRow(runTree(opt, "chain", n, 1)); err != nil {
			return err
		}
		if err := addRow(runTree(opt, "binary tree", n, 2)); err != nil {
			return err
		}
	}
	return nil
}

// Kinds of faults, as they are shown in Row.Fault, and the share of the chunks
// that faultCorrupt corrupts.
const (
	faultKilled         = "one owner killed"
	faultStalled        = "one owner stalled"
	faultCorrupt        = "1% of chunks corrupted"
	faultAll            = "all three at once"
	corruptedChunkShare = 0.01
)

// runSwarm measures the real distribution code with n agents distributed over
// regionCount regions. If fault is not empty, it also injects this fault.
func runSwarm(opt Options, n, regionCount int, fault string) (Row, error) {
	t, err := newTestbed(opt, n, regionCount)
	if err != nil {
		return Row{}, err
	}
	defer t.close()
	if fault == faultCorrupt || fault == faultAll {
		t.origin.corruptProbability = corruptedChunkShare
	}
	timer := time.AfterFunc(time.Duration(faultDelayCopies*float64(opt.CopyTime)), func() { t.injectFaults(fault) })
	defer timer.Stop()
	row := Row{Way: "scatter and gather", Agents: n, Regions: regionCount, Fault: fault}
	row.Time, err = t.fetchAll(t.peers)
	return t.withTraffic(row), err
}

// runOriginOnly measures n agents that each read every chunk from the origin.
func runOriginOnly(opt Options, n int) (Row, error) {
	t, err := newTestbed(opt, n, 1)
	if err != nil {
		return Row{}, err
	}
	defer t.close()
	row := Row{Way: "origin only", Agents: n, Regions: 1}
	row.Time, err = t.fetchAll(func() []spread.Peer { return nil })
	return t.withTraffic(row), err
}

// fetchAll fetches the version at every agent and returns the time until the
// last agent without a fault had it, in units of Options.CopyTime.
func (t *testbed) fetchAll(peers func() []spread.Peer) (float64, error) {
	start := time.Now()
	group, ctx := errgroup.WithContext(t.ctx)
	for _, a := range t.agents {
		group.Go(func() error {
			_, err := a.swarm.Fetch(ctx, t.version, peers)
			if a.unresponsive.Load() {
				return nil
			}
			return err
		})
	}
	err := group.Wait()
	return time.Since(start).Seconds() / t.opt.CopyTime.Seconds(), err
}

// withTraffic returns row with the traffic of the run in copies of the version.
func (t *testbed) withTraffic(row Row) Row {
	size := float64(t.opt.CopyBytes)
	row.Origin = float64(t.origin.sentBytes.Load()) / size
	row.Link = float64(t.crossRegionBytes.Load()) / size
	for _, a := range t.agents {
		row.MaxSent = max(row.MaxSent, float64(a.sentBytes.Load())/size)
	}
	return row
}

// writeTable prints the rows as a table, followed by the targets.
func writeTable(out io.Writer, rows []Row) error {
	table := tablewriter.NewWriter(out)
	table.SetHeader([]string{"way", "agents", "regions", "fault", "time", "origin", "link", "max sent"})
	table.SetAutoFormatHeaders(false)
	for _, r := range rows {
		table.Append([]string{
			r.Way, fmt.Sprint(r.Agents), fmt.Sprint(r.Regions), r.Fault,
			fmt.Sprintf("%.2f", r.Time), fmt.Sprintf("%.2f", r.Origin),
			fmt.Sprintf("%.2f", r.Link), fmt.Sprintf("%.2f", r.MaxSent),
		})
	}
	table.Render()
	_, err := fmt.Fprintln(out, "Aims: time 1.25 at 64 agents, growing under 10% from 16 to 128; origin 1.05 per region;\n"+
		"link 1.05; max sent 2; with a fault origin 1.3 and time 1.8. Bytes in copies, time in copies over a machine's link.")
	return err
}
