package control

import (
	"context"
	"time"
)

const (
	// heldStreamTokens is the length, in tokens, of the streams that are open
	// while memory is measured.
	heldStreamTokens = 128
	// The calls and tokens per second of one entry instance and of one agent at
	// the target.
	entryCallsPerSecond  = float64(targetCallsPerSecond) / targetEntryCount
	entryTokensPerSecond = float64(targetTokensPerSecond) / targetEntryCount
	agentCallsPerSecond  = float64(targetCallsPerSecond) / targetServerCount
	agentTokensPerSecond = float64(targetTokensPerSecond) / targetServerCount
	// entryStreamCount is the number of concurrent streams of one entry instance at
	// the target.
	entryStreamCount = entryTokensPerSecond * targetSecondsPerToken
	// targetSecondsPerToken is the time between two tokens of an engine at the
	// target.
	targetSecondsPerToken = 0.035
)

// measureCalls measures the processor time that relayed calls use in both daemons,
// beyond what the daemons use without calls. It also measures the memory of both
// daemons with open streams.
func (t *testbed) measureCalls(ctx context.Context, r *Report) error {
	c := newClient()
	if err := c.waitUntilReady(ctx, t.opt.EntryAddr); err != nil {
		return err
	}
	const sizeUnit = "token of a call"
	tokens := float64(targetTokensPerSecond) / targetCallsPerSecond
	entryCPU := newSeries("entry: CPU for a call", sizeUnit, "µs", tokens, 0)
	agentCPU := newSeries("agent: CPU for a call", sizeUnit, "µs", tokens, 0)
	r.Series = append(r.Series, entryCPU, agentCPU)
	idleWindows, err := t.measureBoth(ctx, t.opt.SteadyWindow)
	if err != nil {
		return err
	}
	for _, n := range t.opt.CallLengths {
		windows, err := t.measureLoad(ctx, c, n)
		if err != nil {
			return err
		}
		perCall := 1e6 / float64(t.opt.ConcurrentCalls)
		entryCPU.add(float64(n), windows.entry.extraCPU(idleWindows.entry)*perCall)
		agentCPU.add(float64(n), windows.agent.extraCPU(idleWindows.agent)*perCall)
	}
	if err := t.measureStreams(ctx, c, r); err != nil {
		return err
	}
	entryLine, agentLine := FitLine(entryCPU.Points), FitLine(agentCPU.Points)
	r.addFact("entry: CPU of relayed payload at the target, % of a core",
		percent*1e-6*(entryCallsPerSecond*entryLine.Base+entryTokensPerSecond*entryLine.Slope))
	r.addFact("agent: CPU of relayed payload at the target, % of a core",
		percent*1e-6*(agentCallsPerSecond*agentLine.Base+agentTokensPerSecond*agentLine.Slope))
	return nil
}

// measureLoad measures both daemons while Options.ConcurrentCalls concurrent calls
// of n tokens run.
func (t *testbed) measureLoad(ctx context.Context, c *client, n int) (daemonWindows, error) {
	done := make(chan error, 1)
	length := time.Duration(n+2)*t.opt.TokenInterval + t.opt.SettleTime
	go func() {
		_, err := c.runStreams(ctx, t.opt.EntryAddr, t.opt.ConcurrentCalls, n, 1, 0)
		done <- err
	}()
	windows, err := t.measureBoth(ctx, length)
	if callErr := <-done; callErr != nil {
		return windows, callErr
	}
	return windows, err
}

// measureStreams measures the memory of both daemons with several numbers of open
// streams.
func (t *testbed) measureStreams(ctx context.Context, c *client, r *Report) error {
	const sizeUnit = "stream"
	entryMemory := newSeries("entry: live memory, open streams", sizeUnit, "KiB", entryStreamCount, 0)
	agentMemory := newSeries("agent: live memory, open streams", sizeUnit, "KiB", agentTokensPerSecond*targetSecondsPerToken, 0)
	r.Series = append(r.Series, entryMemory, agentMemory)
	for _, n := range []int{0, t.opt.ConcurrentCalls / 4, t.opt.ConcurrentCalls / 2, t.opt.ConcurrentCalls} {
		done := make(chan error, 1)
		go func() {
			_, err := c.runStreams(ctx, t.opt.EntryAddr, n, heldStreamTokens, 1, 0)
			done <- err
		}()
		if err := sleep(ctx, t.opt.TokenInterval*heldStreamTokens/4); err != nil {
			return err
		}
		if err := t.addMemory(ctx, float64(n), entryMemory, agentMemory); err != nil {
			return err
		}
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}
