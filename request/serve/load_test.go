package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/request/admission"
	standin "github.com/rattanway/rattanway/standin/engine"
	"github.com/rattanway/rattanway/test/inprocess"
)

const (
	// loadTokens is the mean length of a response, in tokens. The lengths vary
	// from 0.5 to 1.5 times the mean: in virtual time, responses of equal
	// length would all begin and end together.
	loadTokens = 20
	// warmCapacity and coldCapacity are the numbers of concurrent calls that a
	// warm and a cold engine run at full speed.
	warmCapacity = 32
	coldCapacity = 8
	// timePerToken is the time that the engine takes for one token at full
	// speed.
	timePerToken = 5 * time.Millisecond
	// capacityTestTime is how long the capacity of an engine is measured.
	capacityTestTime = 10 * time.Second
	// overloadTestTime is how long an overload lasts. It is long so that the calls
	// at its start and end, which are counted only in part, matter little.
	overloadTestTime = 20 * time.Second
	// negligibleWarmPerCall is a value of warmPerCall so small that an engine
	// stays cold however many calls finish.
	negligibleWarmPerCall = 1e-9
	// maxRefusalTime is the longest time that a refusal may take.
	maxRefusalTime = 100 * time.Millisecond
)

// responseLengths generates random lengths of responses, in tokens.
type responseLengths struct{ rng *rand.Rand }

func newResponseLengths(seed uint64) responseLengths {
	return responseLengths{rand.New(rand.NewPCG(seed, loadTokens))}
}

// next returns a length as the value of max_tokens.
func (l responseLengths) next() string { return strconv.Itoa(loadTokens/2 + l.rng.IntN(loadTokens+1)) }

// tally counts the replies to calls, by client account.
type tally struct {
	mu              sync.Mutex
	completed       map[string]int
	refused         map[string]int
	otherReplyCount int
	slowestRefusal  time.Duration
	finishedCount   int
}

func newTally() *tally { return &tally{completed: map[string]int{}, refused: map[string]int{}} }

func (c *tally) add(account string, r reply, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedCount++
	switch {
	case r.end != nil:
		c.completed[account]++
	case r.refuse != nil:
		c.refused[account]++
		c.slowestRefusal = max(c.slowestRefusal, elapsed)
	default:
		c.otherReplyCount++
	}
}

func (c *tally) totalCompleted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, calls := range c.completed {
		n += calls
	}
	return n
}

// offerLoad sends calls of account at a constant rate for the given duration,
// without waiting for responses, and adds every reply to c. It returns when the
// duration is over; the returned function waits for the remaining responses.
func (h *harness) offerLoad(c *tally, account string, callsPerSecond float64, duration time.Duration) (wait func()) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / callsPerSecond))
	defer ticker.Stop()
	end := time.After(duration)
	lengths := newResponseLengths(xxhash.Sum64String(account))
	for i := 0; ; i++ {
		select {
		case <-end:
			return calls.Wait
		case <-ticker.C:
		}
		calls.Add(1)
		req := completionRequest(fmt.Sprintf("%s-%d", account, i), lengths.next())
		go func() {
			defer calls.Done()
			req.Account = account
			start := time.Now()
			r := h.do(frame.KindRequest, req)
			c.add(account, r, time.Since(start))
		}()
	}
}

// measureThroughput keeps n calls running for the given duration and returns the
// engine's throughput, in complete responses per second.
func (h *harness) measureThroughput(n int, duration time.Duration) float64 {
	c := newTally()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	start := time.Now()
	var workers sync.WaitGroup
	for w := range n {
		workers.Add(1)
		go func() {
			defer workers.Done()
			lengths := newResponseLengths(uint64(w))
			for i := 0; ctx.Err() == nil; i++ {
				req := completionRequest(fmt.Sprintf("w%d-%d", w, i), lengths.next())
				c.add("w", h.do(frame.KindRequest, req), 0)
			}
		}()
	}
	workers.Wait()
	return float64(c.totalCompleted()) / time.Since(start).Seconds()
}

// loadTestEngineConfig returns the settings of the stand-in engine. Each finished
// call adds warmPerCall to the number of calls that the engine runs at full speed.
func loadTestEngineConfig(warmPerCall float64) standin.Config {
	return standin.Config{
		Slots: 128, WarmLimit: warmCapacity, ColdLimit: coldCapacity, WarmPerCall: warmPerCall,
		TimeToFirstToken: 2 * timePerToken, TokenInterval: timePerToken,
	}
}

// loadTestLimiterConfig returns the settings of the limiter. If fixed is true,
// the limit is warmCapacity from the start and does not adapt.
func loadTestLimiterConfig(fixed bool) admission.Config {
	return admission.Config{Limit: warmCapacity, ColdLimit: coldCapacity, Fixed: fixed}
}

// coldGoodput sends calls to a cold engine at three times its capacity, and
// returns the goodput (the rate of complete responses) as a share of the
// capacity. capacity is in calls per second.
func coldGoodput(t *testing.T, capacity float64, fixed bool, duration time.Duration) float64 {
	h := newVirtualHarness(t, options{engine: loadTestEngineConfig(negligibleWarmPerCall), limiter: loadTestLimiterConfig(fixed)})
	c := newTally()
	start := time.Now()
	h.offerLoad(c, "a", 3*capacity, duration)()
	share := float64(c.totalCompleted()) / time.Since(start).Seconds() / capacity
	t.Logf("fixed=%v: cold engine capacity %.1f calls/s, goodput %.2f of it, engine %+v", fixed, capacity, share, h.engine.Counters())
	return share
}

// coldCallRate returns the capacity of a cold engine, in calls per second.
func coldCallRate(t *testing.T) float64 {
	baseline := newVirtualHarness(t, options{engine: loadTestEngineConfig(negligibleWarmPerCall), limiter: loadTestLimiterConfig(false)})
	return baseline.measureThroughput(coldCapacity, capacityTestTime)
}

func TestColdEngine(t *testing.T) { inprocess.RunInVirtualTime(t, coldEngine) }

func coldEngine(t *testing.T) {
	capacity := coldCallRate(t)
	Convey("A cold engine offered three times its capacity keeps 90% of its throughput when the limit adapts", t, func() {
		So(coldGoodput(t, capacity, false, overloadTestTime), ShouldBeGreaterThan, 0.9)
	})
	Convey("A cold engine offered three times its capacity collapses when the limit is fixed", t, func() {
		So(coldGoodput(t, capacity, true, time.Second), ShouldBeLessThan, 0.5)
	})
	Convey("An engine that turns cold under load without warning keeps 90% of the throughput of a cold engine", t, func() {
		h := newVirtualHarness(t, options{engine: loadTestEngineConfig(100), limiter: loadTestLimiterConfig(false)})
		h.offerLoad(newTally(), "a", 3*capacity, 1500*time.Millisecond)
		So(h.limiter.State(), ShouldNotEqual, frame.StateCold)
		h.engine.SetFaults(standin.Faults{Cold: true, StayCold: true})
		c := newTally()
		start := time.Now()
		h.offerLoad(c, "a", 3*capacity, overloadTestTime)()
		share := float64(c.totalCompleted()) / time.Since(start).Seconds() / capacity
		t.Logf("cold capacity %.1f calls/s, goodput %.2f of it, limiter %+v, engine %+v", capacity, share, h.limiter.Load(), h.engine.Counters())
		So(share, ShouldBeGreaterThan, 0.9)
	})
}

func TestTwiceTheCapacity(t *testing.T) { inprocess.RunInVirtualTime(t, twiceTheCapacity) }

func twiceTheCapacity(t *testing.T) {
	Convey("Given a warm engine, a declared limit of four times its capacity, and a load of twice its capacity, mostly from one large account", t, func() {
		engineConfig := loadTestEngineConfig(1)
		engineConfig.ColdLimit = warmCapacity
		limiterConfig := admission.Config{Limit: 4 * warmCapacity, ColdLimit: warmCapacity}
		baseline := newVirtualHarness(t, options{engine: engineConfig, limiter: limiterConfig})
		capacity := baseline.measureThroughput(warmCapacity, capacityTestTime)

		h := newVirtualHarness(t, options{engine: engineConfig, limiter: limiterConfig})
		c := newTally()
		var accounts sync.WaitGroup
		load := func(account string, share float64) {
			accounts.Add(1)
			go func() {
				defer accounts.Done()
				h.offerLoad(c, account, share*capacity, overloadTestTime)()
			}()
		}
		start := time.Now()
		load("large", 1.7)
		load("small-1", 0.15)
		load("small-2", 0.15)
		accounts.Wait()
		share := float64(c.totalCompleted()) / time.Since(start).Seconds() / capacity
		t.Logf("capacity %.1f calls/s, goodput %.2f of it, slowest refusal %s, completed %v, refused %v, other replies %d",
			capacity, share, c.slowestRefusal, c.completed, c.refused, c.otherReplyCount)
		So(share, ShouldBeGreaterThan, 0.95)
		So(c.slowestRefusal, ShouldBeLessThan, maxRefusalTime)
		So(c.otherReplyCount, ShouldEqual, 0)
		for _, small := range []string{"small-1", "small-2"} {
			So(float64(c.completed[small])/float64(c.completed[small]+c.refused[small]), ShouldBeGreaterThan, 0.95)
		}
	})
}
