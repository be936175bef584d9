package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/request/serve"
)

// responseTimeout is the longest wait for the next message of an exchange, the
// messages of one request between an entry instance and an agent.
const responseTimeout = 20 * time.Second

// agentClient sends requests to one agent of a cluster as an entry instance
// does.
type agentClient struct {
	cluster *cluster
	pool    *work.Pool
	agent   core.Instance
	ctx     context.Context
}

func (c *cluster) newAgentClient(name string) *agentClient {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	c.t.Cleanup(cancel)
	pool := work.NewPool(work.PoolConfig{PeerToken: peerToken})
	c.t.Cleanup(pool.Close)
	return &agentClient{cluster: c, pool: pool, agent: core.Instance{ID: name, Addr: c.processes[name].addr}, ctx: ctx}
}

// open starts an exchange with the agent.
func (a *agentClient) open(id string, kind frame.Kind, msg any) work.Exchange {
	x, err := a.pool.Open(a.ctx, a.agent, id, kind, msg)
	a.cluster.must(err)
	return x
}

// receive returns the next message of an exchange. An error fails the test.
func (a *agentClient) receive(x work.Exchange) any {
	ctx, cancel := context.WithTimeout(a.ctx, responseTimeout)
	defer cancel()
	msg, err := x.Receive(ctx)
	a.cluster.must(err)
	return msg
}

// offer offers a once-only call and asserts that the agent holds a slot for
// it.
func (a *agentClient) offer(key string) work.Exchange {
	id := "offer-" + key
	x := a.open(id, frame.KindOffer, frame.Request{
		ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/lots", Key: key, AttemptNumber: 1,
		Header: map[string][]string{core.HeaderIdempotencyKey: {key}},
	})
	So(a.receive(x), ShouldHaveSameTypeAs, &frame.Admit{})
	return x
}

// awaitAdmitting waits until the agent admits offers. After a start or a pause the
// agent refuses offers until its configuration has been confirmed.
func (a *agentClient) awaitAdmitting() {
	n := 0
	a.cluster.eventually("the agent admits offers", func() bool {
		n++
		id := fmt.Sprint("probe-", n)
		x := a.open(id, frame.KindOffer, frame.Request{ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/lots"})
		_, admitted := a.receive(x).(*frame.Admit)
		x.Close(false)
		return admitted
	})
}

// freeze sends SIGSTOP to a process and waits until all of its threads have
// stopped, because the signal takes effect with a delay.
func (c *cluster) freeze(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGSTOP)
	threads := fmt.Sprintf("/proc/%d/task/*/status", c.processes[name].cmd.Process.Pid)
	c.eventually(name+" is frozen", func() bool {
		paths, err := filepath.Glob(threads)
		c.must(err)
		for _, path := range paths {
			status, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return len(paths) > 0
	})
}

// queryAttempt returns the agent's status of the first attempt of key.
func (a *agentClient) queryAttempt(key string) *frame.AttemptStatus {
	x := a.open("ask", frame.KindAttemptQuery, frame.AttemptQuery{ID: "ask", Key: key, AttemptNumber: 1})
	defer x.Close(true)
	return a.receive(x).(*frame.AttemptStatus)
}

// executionCount returns how many times the service beside an agent has executed
// the call with this key.
func (c *cluster) executionCount(server, key string) int {
	counts := map[string]int{}
	c.must(json.Unmarshal([]byte(getBody(c.processes["service:"+server].addr, "/service/counters")), &counts))
	return counts[key]
}

func (c *cluster) setServiceFaults(server, body string) {
	c.t.Helper()
	postJSON(c, c.processes["service:"+server].addr, "/service/faults", body)
}

func TestAgentOnceOnlyAcrossSignals(t *testing.T) {
	Convey("Given an agent process beside a plain service", t, func() {
		const server = "lots-palermo"
		c := newCluster(t, engineArgs, nil)
		t.Cleanup(c.stop)
		agent := c.newAgentClient(server)

		x := agent.offer("frozen")
		c.freeze(server)
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-frozen"}), ShouldBeNil)
		<-time.After(serve.DefaultHoldTimeout + time.Second)
		c.signal(server, syscall.SIGCONT)
		refused, ok := agent.receive(x).(*frame.Refuse)
		So(ok, ShouldBeTrue)
		So(refused.Reason, ShouldEqual, frame.ReasonExpired)
		So(c.executionCount(server, "frozen"), ShouldEqual, 0)
		So(agent.queryAttempt("frozen").State, ShouldEqual, frame.AttemptNotRun)

		c.setServiceFaults(server, `{"delayMillis":1500}`)
		agent.awaitAdmitting()
		x = agent.offer("killed")
		incarnation := agent.queryAttempt("other").Incarnation
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-killed"}), ShouldBeNil)
		c.eventually("the call runs", func() bool { return c.executionCount(server, "killed") == 1 })
		c.signal(server, syscall.SIGKILL)
		_, err := x.Receive(agent.ctx)
		So(err, ShouldNotBeNil)
		<-c.processes[server].done
		c.start(server)
		c.eventually("the agent serves again", func() bool { return isListening(c.processes[server].addr) })
		agent = c.newAgentClient(server)
		So(agent.queryAttempt("killed").Incarnation, ShouldNotEqual, incarnation)
		So(c.executionCount(server, "killed"), ShouldEqual, 1)

		agent.awaitAdmitting()
		x = agent.offer("stopped")
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-stopped"}), ShouldBeNil)
		c.eventually("the call runs", func() bool { return c.executionCount(server, "stopped") == 1 })
		c.terminate(server)
		head, ok := agent.receive(x).(*frame.Head)
		So(ok, ShouldBeTrue)
		So(head.Status, ShouldEqual, 200)
		So(agent.receive(x), ShouldHaveSameTypeAs, &frame.Data{})
		So(agent.receive(x), ShouldHaveSameTypeAs, &frame.End{})
		x.Close(true)
		So(c.executionCount(server, "stopped"), ShouldEqual, 1)
	})
}
