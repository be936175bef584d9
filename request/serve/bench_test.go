package serve

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// instantEngine responds to every call at once with one event per token, so
// that a benchmark measures only the agent. Each Read of the response body
// returns one event.
type instantEngine struct {
	engine.Engine
	// tokenCount is the number of tokens in each response.
	tokenCount int
}

// eventBody is the body of an instantEngine's response.
type eventBody struct {
	event []byte
	// readsLeft counts down to the [DONE] event, which is read at 0.
	readsLeft int
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	b.readsLeft--
	if b.readsLeft == 0 {
		return copy(p, doneEvent), nil
	}
	if b.readsLeft < 0 {
		return 0, io.EOF
	}
	return copy(p, b.event), nil
}

// Close implements io.Closer.
func (*eventBody) Close() error { return nil }

const doneEvent = "data: [DONE]\n\n"

// Do implements engine.Engine.
func (e instantEngine) Do(_ context.Context, c engine.Call) (engine.Response, error) {
	event := `data: {"id":"` + c.ID + `","object":"chat.completion.chunk","model":"oregano","system_fingerprint":"` +
		string(testDigest) + `","choices":[{"index":0,"delta":{"content":"oregano "},"finish_reason":null}]}` + "\n\n"
	return engine.Response{
		ID: c.ID, Status: 200, Digest: testDigest,
		Header: map[string][]string{"Content-Type": {eventStreamType}, core.HeaderRequestID: {c.ID}},
		Body:   &eventBody{event: []byte(event), readsLeft: e.tokenCount + 1},
	}, nil
}

// discardExchange is an exchange that discards all frames, as if an entry instance
// received them without delay.
type discardExchange struct{}

// Send encodes the frame, as a connection would, and discards the result.
func (discardExchange) Send(kind frame.Kind, msg any) error {
	_, err := frame.Encode(kind, msg)
	return err
}

// Receive waits until the context ends.
func (discardExchange) Receive(ctx context.Context) (frame.Frame, error) {
	<-ctx.Done()
	return frame.Frame{}, ctx.Err()
}

// Peer implements work.AgentExchange.
func (discardExchange) Peer() string { return "bench" }

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHandler measures the CPU time that the agent's own code takes per
// call, without sockets, for responses of 1 and of 201 tokens. The difference
// divided by 200 is the cost of one token.
func BenchmarkHandler(b *testing.B) {
	for _, tokens := range []int{1, 201} {
		b.Run("tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			h := newHarness(b, options{wrap: func(e engine.Engine) engine.Engine {
				return instantEngine{Engine: e, tokenCount: tokens}
			}})
			status := engine.Status{Loaded: []frame.LoadedVersion{{Model: testModel, Digest: testDigest}}}
			h.handler.status = func() (engine.Status, bool) { return status, true }
			encoded, err := frame.Encode(frame.KindRequest, completionRequest("r1", strconv.Itoa(tokens)))
			if err != nil {
				b.Fatal(err)
			}
			first, err := frame.Parse(encoded)
			if err != nil {
				b.Fatal(err)
			}
			start := cpuTime(b)
			for b.Loop() {
				if err := h.handler.Handle(context.Background(), first, discardExchange{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N)/1000, "cpu-us/call")
		})
	}
}
