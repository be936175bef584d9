package faults

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// fastEngineArgs are arguments with which eight concurrent streams together produce
// 1,600 tokens per second.
var fastEngineArgs = []string{"--slots", "64", "--cold-limit", "40", "--per-token", "5ms", "--first-token", "2ms"}

// completionRequest returns a streamed call that only the version with this
// digest may serve.
func completionRequest(id string, digest core.Digest, tokens int) frame.Request {
	return frame.Request{
		ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/v1/completions", Model: "herbs", Digest: digest,
		Body: fmt.Appendf(nil, `{"model":"herbs","stream":true,"max_tokens":%d,"prompt":"late"}`, tokens),
	}
}

// makeCall makes one streamed call and returns the number of tokens of its
// response, or -1 if no complete response arrives.
func (a *agentClient) makeCall(req frame.Request) int {
	x, err := a.pool.Open(a.ctx, a.agent, req.ID, frame.KindRequest, req)
	if err != nil {
		return -1
	}
	tokens := 0
	for {
		msg, err := x.Receive(a.ctx)
		if err != nil {
			x.Close(false)
			return -1
		}
		switch m := msg.(type) {
		case *frame.Data:
			tokens += m.Tokens
		case *frame.End:
			x.Close(true)
			return tokens
		case *frame.Refuse, *frame.Fail:
			x.Close(true)
			return -1
		}
	}
}

// makeCalls makes callCount calls from engineColdLimit workers. It returns the
// number of tokens of all complete responses, and the number of calls without a
// complete response.
func (a *agentClient) makeCalls(callCount int, digest core.Digest, tokensPerCall int) (tokenCount, failedCount int) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	for w := range engineColdLimit {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := w; i < callCount; i += engineColdLimit {
				n := a.makeCall(completionRequest(fmt.Sprintf("call-%d-%d", tokensPerCall, i), digest, tokensPerCall))
				mu.Lock()
				if n < 0 {
					failedCount++
				} else {
					tokenCount += n
				}
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	return tokenCount, failedCount
}

func TestAgentProcess(t *testing.T) {
	Convey("Given an agent process beside an engine", t, func() {
		const server = "gpu-palermo-1"
		c := newCluster(t, fastEngineArgs, nil)
		t.Cleanup(c.stop)
		agent := c.newAgentClient(server)
		digest := loadedDigest(c, server)

		const shortCallCount, longCallCount, longCallTokens = 2000, 40, 201
		cpuBefore := c.cpuTime(server)
		_, failed := agent.makeCalls(shortCallCount, digest, 1)
		So(failed, ShouldEqual, 0)
		cpuAfterShortCalls := c.cpuTime(server)
		tokens, failed := agent.makeCalls(longCallCount, digest, longCallTokens)
		So(failed, ShouldEqual, 0)
		So(tokens, ShouldEqual, longCallCount*longCallTokens)
		perCall := (cpuAfterShortCalls - cpuBefore) / shortCallCount
		perToken := (c.cpuTime(server) - cpuAfterShortCalls - longCallCount*perCall) / (longCallCount * (longCallTokens - 1))
		t.Logf("CPU time of the agent: %s per call, %s per token", perCall, perToken)

		Convey("calls that were cancelled while the agent was frozen are not started when it resumes", func() {
			started := c.engineCounters(server).Started
			c.freeze(server)
			for i := range engineColdLimit {
				id := fmt.Sprint("late-", i)
				agent.open(id, frame.KindRequest, completionRequest(id, digest, 5)).Close(false)
			}
			<-time.After(2 * time.Second)
			c.signal(server, syscall.SIGCONT)
			c.eventually("the agent is ready", func() bool { return strings.Contains(getBody(c.processes[server].addr, "/readyz"), "ready") })
			c.eventually("the agent admits calls", func() bool { return c.newAgentClient(server).makeCall(completionRequest("new", digest, 1)) == 1 })
			So(c.engineCounters(server).Started, ShouldEqual, started+1)
		})
	})
}

// cpuTime returns the user and system CPU time that a process has used.
func (c *cluster) cpuTime(name string) time.Duration {
	const ticksPerSecond = 100
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.processes[name].cmd.Process.Pid))
	c.must(err)
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		c.must(err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
