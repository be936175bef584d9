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

// quickEngine makes eight streams give 1,600 tokens per second.
var quickEngine = []string{"--slots", "64", "--cold-limit", "40", "--per-token", "5ms", "--first-token", "2ms"}

// completion is a streamed call that pins digest.
func completion(id string, digest core.Digest, tokens int) frame.Request {
	return frame.Request{
		ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/v1/completions", Model: "herbs", Digest: digest,
		Body: fmt.Appendf(nil, `{"model":"herbs","stream":true,"max_tokens":%d,"prompt":"late"}`, tokens),
	}
}

// stream makes one call and returns the tokens of its whole answer, or -1.
func (d *direct) stream(req frame.Request) int {
	x, err := d.pool.Open(d.ctx, d.agent, req.ID, frame.KindRequest, req)
	if err != nil {
		return -1
	}
	tokens := 0
	for {
		msg, err := x.Receive(d.ctx)
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

// streams makes calls from as many workers as the cold limit and returns the
// tokens of all answers and how many were not whole.
func (d *direct) streams(calls int, digest core.Digest, tokens int) (sum, failed int) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	for w := range engineCold {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := w; i < calls; i += engineCold {
				n := d.stream(completion(fmt.Sprintf("call-%d-%d", tokens, i), digest, tokens))
				mu.Lock()
				if n < 0 {
					failed++
				} else {
					sum += n
				}
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	return sum, failed
}

func TestAgentProcess(t *testing.T) {
	Convey("Given an agent process in front of an engine", t, func() {
		const server = "gpu-palermo-1"
		c := newCluster(t, quickEngine, nil)
		t.Cleanup(c.stop)
		d := c.direct(server)
		digest := loadedDigest(c, server)

		const short, long, longTokens = 2000, 40, 201
		before := c.processorTime(server)
		_, failed := d.streams(short, digest, 1)
		So(failed, ShouldEqual, 0)
		middle := c.processorTime(server)
		tokens, failed := d.streams(long, digest, longTokens)
		So(failed, ShouldEqual, 0)
		So(tokens, ShouldEqual, long*longTokens)
		perCall := (middle - before) / short
		perToken := (c.processorTime(server) - middle - long*perCall) / (long * (longTokens - 1))
		t.Logf("processor time of the agent: %s per call, %s per token", perCall, perToken)

		Convey("calls given up while it is frozen are not started when it wakes", func() {
			started := c.counters(server).Started
			c.halt(server)
			for i := range engineCold {
				id := fmt.Sprint("late-", i)
				d.open(id, frame.KindRequest, completion(id, digest, 5)).Close(false)
			}
			<-time.After(2 * time.Second)
			c.signal(server, syscall.SIGCONT)
			c.eventually("the agent answers", func() bool { return strings.Contains(get(c.procs[server].addr, "/readyz"), "ready") })
			c.eventually("it admits calls", func() bool { return c.direct(server).stream(completion("new", digest, 1)) == 1 })
			So(c.counters(server).Started, ShouldEqual, started+1)
		})
	})
}

// processorTime returns the processor time that a process has used.
func (c *cluster) processorTime(name string) time.Duration {
	const ticksPerSecond = 100
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.procs[name].cmd.Process.Pid))
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
