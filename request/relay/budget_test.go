package relay

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
)

const overloadCallCount = 100

// attemptsUnderOverload makes overloadCallCount calls while no server responds in
// time, and returns the number of attempts that the servers receive. ratio is the
// RetryBudgetRatio.
func attemptsUnderOverload(t *testing.T, ratio float64) int {
	stallingAgent := func(x *fakeExchange, _ frame.Kind, _ any) { <-x.closed }
	fx := newFixture(t, Config{
		RetryBudgetRatio: ratio, MinConcurrentRetries: 2, RetryBudgetTimeout: 100 * time.Millisecond, FirstTokenTimeout: 200 * time.Millisecond,
	}, nil, map[string]fakeAgent{"a": stallingAgent, "b": stallingAgent, "c": stallingAgent, "d": stallingAgent})
	var calls sync.WaitGroup
	for range overloadCallCount {
		calls.Go(func() {
			if resp, err := fx.post("/v1/completions", streamBody); err == nil {
				_, _ = readBody(resp)
			}
		})
	}
	calls.Wait()
	fx.opener.mu.Lock()
	defer fx.opener.mu.Unlock()
	return len(fx.opener.opened)
}

func TestRetryBudget(t *testing.T) {
	Convey("Given servers that send no response in time, the retry budget bounds the number of attempts", t, func() {
		attemptsWithoutBudget := attemptsUnderOverload(t, -1)
		attemptsWithBudget := attemptsUnderOverload(t, defaultRetryBudgetRatio)
		t.Logf("attempts for %d calls: %d without a budget, %d with a budget of %.1f", overloadCallCount, attemptsWithoutBudget, attemptsWithBudget, defaultRetryBudgetRatio)
		So(attemptsWithoutBudget, ShouldBeGreaterThan, 2*overloadCallCount)
		So(attemptsWithBudget, ShouldBeLessThan, 2*overloadCallCount)
	})
}
