package requests

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/standin/engine"
)

// Outcome is the outcome of a call: one of the constants below or, for a refused
// call, the outcome that the refusal contains.
type Outcome string

// Outcomes of calls that were not refused.
const (
	// OutcomeWhole means that the complete and correct response was received.
	OutcomeWhole Outcome = "whole"
	// OutcomeWrong means that a response ended normally but was not the correct
	// one.
	OutcomeWrong Outcome = "wrong"
	// OutcomeDoubled means that the response was longer than the correct one, for
	// example because a part of it was sent twice.
	OutcomeDoubled Outcome = "doubled"
	// OutcomeCut means that the response ended with an error after it had begun.
	OutcomeCut Outcome = "cut"
	// OutcomeLost means that no response was received: no entry instance was
	// ready, or the connection failed.
	OutcomeLost Outcome = "lost"
)

// maxSubmissions is the largest number of submissions of a once-only call with a
// key.
const maxSubmissions = 4

// resubmitPause is the time between two submissions of a once-only call with a
// key.
const resubmitPause = 200 * time.Millisecond

// callResult is the result of one call.
type callResult struct {
	outcome Outcome
	// firstByte is the time from the planned arrival of the call to the first byte
	// of the response; total is the time from the planned arrival to the end of the
	// response.
	firstByte, total time.Duration
	tokenCount       int
	// detail explains an outcome other than OutcomeWhole: an error, the detail of
	// the refusal, the request id or the body of the response. It is empty for
	// OutcomeWhole.
	detail string
}

// completionResponse is the part of a completion, or of one event of a streamed
// completion, that is compared with the expected text.
type completionResponse struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// caller makes calls to the entry instances in turn.
type caller struct {
	entryAddrs []string
	health     *healthChecker
	timeout    time.Duration
	client     *http.Client
}

func newCaller(s *Scenario) *caller {
	transport := s.Transport
	if transport == nil {
		dialer := &net.Dialer{Timeout: time.Second}
		transport = &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1000, DisableCompression: true,
		}
	}
	return &caller{
		entryAddrs: s.EntryAddrs,
		health:     newHealthChecker(s.EntryAddrs, s.Transport),
		timeout:    s.Timeout,
		client:     &http.Client{Transport: transport},
	}
}

// call makes a planned call. A once-only call with a key is submitted up to
// maxSubmissions times until a whole or wrong response arrives; every other call
// is submitted once. The first submission goes to the entry instance at index,
// each further one to the next entry instance.
func (c *caller) call(call plannedCall, index int, arrival time.Time) callResult {
	result := callResult{}
	for submission := range maxSubmissions {
		result = c.submit(call, index+submission, arrival)
		if !call.keyed || result.outcome == OutcomeWhole || result.outcome == OutcomeWrong {
			break
		}
		time.Sleep(resubmitPause)
	}
	result.total = time.Since(arrival)
	return result
}

// submit makes one submission. Like a load balancer, it tries the entry instances
// in turn, starting at index, and skips those that are not ready or refuse the
// connection.
func (c *caller) submit(call plannedCall, index int, arrival time.Time) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	result := callResult{outcome: OutcomeLost, detail: "no entry instance is ready"}
	for n := range c.entryAddrs {
		addr := c.entryAddrs[(index+n)%len(c.entryAddrs)]
		if !c.health.isReady(addr) {
			continue
		}
		resp, err := c.client.Do(c.newRequest(ctx, call, addr))
		var opError *net.OpError
		if errors.As(err, &opError) && opError.Op == "dial" {
			result = callResult{outcome: OutcomeLost, detail: err.Error()}
			continue
		}
		if err != nil {
			return callResult{outcome: OutcomeLost, detail: err.Error()}
		}
		defer resp.Body.Close()
		received := callResult{firstByte: time.Since(arrival)}
		c.checkResponse(call, resp, arrival, &received)
		return received
	}
	return result
}

// newRequest builds the HTTP request of a call to the entry instance at addr.
func (c *caller) newRequest(ctx context.Context, call plannedCall, addr string) *http.Request {
	path := "/v1/completions"
	if call.once {
		path = call.account.OncePath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(call.body))
	if err != nil {
		panic(err) // fails only if the address and path are not a valid URL
	}
	req.Header.Set("Authorization", "Bearer "+call.account.Key)
	req.Header.Set("Content-Type", "application/json")
	if call.keyed {
		req.Header.Set(core.HeaderIdempotencyKey, call.id)
	}
	return req
}

// checkResponse reads the response, compares it with the expected one and sets
// the outcome in result.
func (c *caller) checkResponse(call plannedCall, resp *http.Response, arrival time.Time, result *callResult) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		var problem struct {
			Outcome core.FailureOutcome `json:"outcome"`
			Detail  string              `json:"detail"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
			result.outcome, result.detail = OutcomeCut, err.Error()
			return
		}
		result.outcome, result.detail = Outcome(problem.Outcome), problem.Detail
		return
	}
	if call.once {
		checkOnceResponse(call, resp, result)
		return
	}
	read := readDocument
	if call.stream {
		read = readEventStream
	}
	text, err := read(resp.Body, func() { result.firstByte = time.Since(arrival) })
	if err != nil {
		result.outcome, result.detail = OutcomeCut, err.Error()
		return
	}
	expected, err := engine.ExpectedText(core.Digest(resp.Header.Get(core.HeaderDigest)), call.body)
	result.tokenCount = len(strings.Fields(text))
	switch {
	case err == nil && text == expected:
		result.outcome = OutcomeWhole
	case err == nil && len(text) > len(expected):
		result.outcome, result.detail = OutcomeDoubled, resp.Header.Get(core.HeaderRequestID)
	default:
		result.outcome, result.detail = OutcomeWrong, resp.Header.Get(core.HeaderRequestID)
	}
}

// checkOnceResponse reads the response to a once-only call, checks that it
// contains the id of the call and sets the outcome in result.
func checkOnceResponse(call plannedCall, resp *http.Response, result *callResult) {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		result.outcome, result.detail = OutcomeCut, err.Error()
		return
	}
	var echoed onceCall
	if json.Unmarshal(raw, &echoed) != nil || echoed.ID != call.id {
		result.outcome, result.detail = OutcomeWrong, string(raw)
		return
	}
	result.outcome = OutcomeWhole
}

// readDocument reads a response that is a single JSON document and returns its
// text. It calls onFirst when the response has been read to its end.
func readDocument(body io.Reader, onFirst func()) (string, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return "", err
	}
	onFirst()
	return completionText(raw)
}

// readEventStream reads a stream of events and returns their texts as one. It
// calls onFirst when the first event arrives. If the stream ends without [DONE], it
// returns an empty text.
func readEventStream(body io.Reader, onFirst func()) (string, error) {
	var text strings.Builder
	started, done := false, false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case strings.HasPrefix(scanner.Text(), "event: error"):
			return "", errors.New("the stream ended with an error event")
		case !ok:
			continue
		case data == "[DONE]":
			done = true
			continue
		}
		if !started {
			onFirst()
			started = true
		}
		tokenText, err := completionText([]byte(data))
		if err != nil {
			return "", err
		}
		text.WriteString(tokenText)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	if !done {
		return "", nil // no [DONE] although the stream ended normally: the empty text counts as wrong
	}
	return text.String(), nil
}

// completionText returns the text of the first choice.
func completionText(raw []byte) (string, error) {
	var c completionResponse
	if err := json.Unmarshal(raw, &c); err != nil {
		return "", errors.Wrap(err, "answer")
	}
	if len(c.Choices) == 0 {
		return "", errors.New("the response has no choices")
	}
	return c.Choices[0].Text, nil
}
