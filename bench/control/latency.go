package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
)

// Targets for the median and the 99th percentile of the latency that an entry
// instance and an agent together add to a call.
const (
	maxAddedMedian = 500 * time.Microsecond
	maxAddedP99    = 2 * time.Millisecond
)

// Range, in nanoseconds, and precision of the histograms.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(time.Minute)
	histogramDigits = 3
)

// LatencyOptions are the settings of a run of the latency benchmark.
type LatencyOptions struct {
	// Options holds the daemons under test and the load.
	Options
	// EngineAddr is the "ip:port" of the engine beside the agent under test. Direct
	// calls go there.
	EngineAddr string
	// RoundCount is the number of measured rounds for each route. The rounds of the
	// routes alternate.
	RoundCount int
	// TokensPerCall is the number of tokens of a call.
	TokensPerCall int
	// Burst starts all streams of a round at the same time, with one call each.
	// Without it, each stream makes callsPerStream calls one after another, and
	// the starts of the streams are distributed over the length of a call, so that
	// calls begin at any time.
	Burst bool
}

// route holds the times of the calls sent to one address.
type route struct {
	addr             string
	firstToken, gaps *hdrhistogram.Histogram
}

// newRoute returns a route to addr with empty histograms.
func newRoute(addr string) *route {
	return &route{
		addr:       addr,
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gaps:       hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// RunLatency compares streamed calls sent directly to the engine, through two plain
// TCP proxies, and through an entry instance and an agent. The rounds of the three
// routes alternate. It prints percentiles of the latencies of each route.
func RunLatency(ctx context.Context, out io.Writer, opt LatencyOptions) error {
	t, err := newTestbed(ctx, opt.Options)
	if err != nil {
		return err
	}
	defer t.Close()
	if _, err := t.apply(ctx, t.declaredSet(opt.DeclaredServers)); err != nil {
		return err
	}
	c := newClient()
	if err := c.waitUntilReady(ctx, opt.EntryAddr); err != nil {
		return err
	}
	proxyAddr, err := startProxies(opt.EngineAddr)
	if err != nil {
		return err
	}
	direct, proxied, relayed := newRoute(opt.EngineAddr), newRoute(proxyAddr), newRoute(opt.EntryAddr)
	// The first round of each route opens the connections and is not recorded.
	for round := range opt.RoundCount + 1 {
		for _, r := range []*route{direct, proxied, relayed} {
			calls, err := opt.runRound(ctx, c, r.addr)
			if err != nil {
				return err
			}
			if round == 0 {
				continue
			}
			if err := r.record(calls); err != nil {
				return err
			}
		}
	}
	return writeLatency(out, direct, proxied, relayed)
}

// callsPerStream is the number of calls that a stream makes in a round without
// Burst.
const callsPerStream = 3

// runRound makes the calls of one round. Without Burst the starts of the streams
// are distributed evenly over the length of a call.
func (opt LatencyOptions) runRound(ctx context.Context, c *client, addr string) ([]streamTimes, error) {
	if opt.Burst {
		return c.runStreams(ctx, addr, opt.ConcurrentCalls, opt.TokensPerCall, 1, 0)
	}
	return c.runStreams(ctx, addr, opt.ConcurrentCalls, opt.TokensPerCall, callsPerStream, opt.TokenInterval*time.Duration(opt.TokensPerCall))
}

// record adds the times of the calls to the histograms.
func (r *route) record(calls []streamTimes) error {
	for _, times := range calls {
		if err := r.firstToken.RecordValue(int64(times.firstToken)); err != nil {
			return err
		}
		for _, gap := range times.gaps {
			if err := r.gaps.RecordValue(max(int64(gap), histogramMin)); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProxies starts a chain of two plain TCP proxies in front of addr and returns
// the address of the chain. The chain shows the latency that two hops add on this
// machine when they only copy bytes.
func startProxies(addr string) (string, error) {
	for range 2 {
		p, err := newProxy(addr)
		if err != nil {
			return "", err
		}
		addr = p.Addr().String()
	}
	return addr, nil
}

// writeLatency prints percentiles of each route and the latency that the relayed
// route adds to the direct one.
func writeLatency(out io.Writer, direct, proxied, relayed *route) error {
	table := tablewriter.NewWriter(out)
	table.SetHeader([]string{"time", "quantile", "direct ms", "bare relays ms", "through ms", "added ms", "aim ms", "met"})
	table.SetAutoFormatHeaders(false)
	for _, row := range []struct {
		name                     string
		direct, proxied, relayed *hdrhistogram.Histogram
	}{
		{"first token", direct.firstToken, proxied.firstToken, relayed.firstToken},
		{"between tokens", direct.gaps, proxied.gaps, relayed.gaps},
	} {
		for _, q := range []struct {
			percentile float64
			target     time.Duration
		}{{50, maxAddedMedian}, {99, maxAddedP99}} {
			table.Append(latencyRow(row.name, q.percentile, q.target, row.direct, row.proxied, row.relayed))
		}
	}
	table.Render()
	_, err := fmt.Fprintf(out, "%d streams and %d gaps each way\n", direct.firstToken.TotalCount(), direct.gaps.TotalCount())
	return err
}

// latencyRow returns the table row of one percentile.
func latencyRow(name string, percentile float64, target time.Duration, direct, proxied, relayed *hdrhistogram.Histogram) []string {
	directTime := time.Duration(direct.ValueAtQuantile(percentile))
	proxiedTime := time.Duration(proxied.ValueAtQuantile(percentile))
	relayedTime := time.Duration(relayed.ValueAtQuantile(percentile))
	met := "no"
	if relayedTime-directTime <= target {
		met = "yes"
	}
	return []string{name, fmt.Sprintf("%g %%", percentile), formatMillis(directTime), formatMillis(proxiedTime), formatMillis(relayedTime), formatMillis(relayedTime - directTime), formatMillis(target), met}
}

// formatMillis returns d in milliseconds.
func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.3f", float64(d)/float64(time.Millisecond))
}
