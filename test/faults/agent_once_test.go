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

const answerTimeout = 20 * time.Second

// direct talks to one agent of a cluster as an entry instance does.
type direct struct {
	c     *cluster
	pool  *work.Pool
	agent core.Instance
	ctx   context.Context
}

func (c *cluster) direct(name string) *direct {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	c.t.Cleanup(cancel)
	pool := work.NewPool(work.PoolConfig{PeerToken: peerToken})
	c.t.Cleanup(pool.Close)
	return &direct{c: c, pool: pool, agent: core.Instance{ID: name, Addr: c.procs[name].addr}, ctx: ctx}
}

// open starts an exchange.
func (d *direct) open(id string, kind frame.Kind, msg any) work.Exchange {
	x, err := d.pool.Open(d.ctx, d.agent, id, kind, msg)
	d.c.must(err)
	return x
}

// receive returns the next frame; errors fail the test.
func (d *direct) receive(x work.Exchange) any {
	ctx, cancel := context.WithTimeout(d.ctx, answerTimeout)
	defer cancel()
	msg, err := x.Receive(ctx)
	d.c.must(err)
	return msg
}

// offer offers a once-only call and demands that a slot is held.
func (d *direct) offer(key string) work.Exchange {
	id := "offer-" + key
	x := d.open(id, frame.KindOffer, frame.Request{
		ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/lots", Key: key, Attempt: 1,
		Header: map[string][]string{core.HeaderIdempotencyKey: {key}},
	})
	So(d.receive(x), ShouldHaveSameTypeAs, &frame.Admit{})
	return x
}

// awaitAdmitting waits until the agent admits offers, as it does once its
// configuration is confirmed after a pause or a start.
func (d *direct) awaitAdmitting() {
	n := 0
	d.c.eventually("the agent admits offers", func() bool {
		n++
		id := fmt.Sprint("probe-", n)
		x := d.open(id, frame.KindOffer, frame.Request{ID: id, Account: "erbe", Share: 1, Method: "POST", Path: "/lots"})
		_, admitted := d.receive(x).(*frame.Admit)
		x.Close(false)
		return admitted
	})
}

// halt stops a process and waits until every thread of it has stopped: the
// signal takes effect some time after it was sent.
func (c *cluster) halt(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGSTOP)
	threads := fmt.Sprintf("/proc/%d/task/*/status", c.procs[name].cmd.Process.Pid)
	c.eventually(name+" is stopped", func() bool {
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

// ask asks whether the first attempt of key ran.
func (d *direct) ask(key string) *frame.Answer {
	x := d.open("ask", frame.KindAsk, frame.Ask{ID: "ask", Key: key, Attempt: 1})
	defer x.Close(true)
	return d.receive(x).(*frame.Answer)
}

// executions returns how often the service beside an agent executed key.
func (c *cluster) executions(server, key string) int {
	counts := map[string]int{}
	c.must(json.Unmarshal([]byte(get(c.procs["service:"+server].addr, "/service/counters")), &counts))
	return counts[key]
}

func (c *cluster) serviceFaults(server, body string) {
	c.t.Helper()
	postJSON(c, c.procs["service:"+server].addr, "/service/faults", body)
}

func TestAgentOnceOnlyAcrossSignals(t *testing.T) {
	Convey("Given an agent process in front of a plain service", t, func() {
		const server = "lots-palermo"
		c := newCluster(t, engineArgs, nil)
		t.Cleanup(c.stop)
		d := c.direct(server)

		x := d.offer("frozen")
		c.halt(server)
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-frozen"}), ShouldBeNil)
		<-time.After(serve.DefaultHold + time.Second)
		c.signal(server, syscall.SIGCONT)
		refused, ok := d.receive(x).(*frame.Refuse)
		So(ok, ShouldBeTrue)
		So(refused.Reason, ShouldEqual, frame.ReasonExpired)
		So(c.executions(server, "frozen"), ShouldEqual, 0)
		So(d.ask("frozen").Ran, ShouldEqual, frame.RanNo)

		c.serviceFaults(server, `{"delayMillis":1500}`)
		d.awaitAdmitting()
		x = d.offer("killed")
		incarnation := d.ask("other").Incarnation
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-killed"}), ShouldBeNil)
		c.eventually("the call runs", func() bool { return c.executions(server, "killed") == 1 })
		c.signal(server, syscall.SIGKILL)
		_, err := x.Receive(d.ctx)
		So(err, ShouldNotBeNil)
		<-c.procs[server].done
		c.start(server)
		c.eventually("the agent serves again", func() bool { return listening(c.procs[server].addr) })
		d = c.direct(server)
		So(d.ask("killed").Incarnation, ShouldNotEqual, incarnation)
		So(c.executions(server, "killed"), ShouldEqual, 1)

		d.awaitAdmitting()
		x = d.offer("stopped")
		So(x.Send(frame.KindGo, frame.Go{ID: "offer-stopped"}), ShouldBeNil)
		c.eventually("the call runs", func() bool { return c.executions(server, "stopped") == 1 })
		c.terminate(server)
		head, ok := d.receive(x).(*frame.Head)
		So(ok, ShouldBeTrue)
		So(head.Status, ShouldEqual, 200)
		So(d.receive(x), ShouldHaveSameTypeAs, &frame.Data{})
		So(d.receive(x), ShouldHaveSameTypeAs, &frame.End{})
		x.Close(true)
		So(c.executions(server, "stopped"), ShouldEqual, 1)
	})
}
