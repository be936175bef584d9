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

// Word says what became of a call.
type Word string

// What becomes of calls. A refusal has its own outcome as its word.
const (
	// WordWhole says that the whole and right answer came.
	WordWhole Word = "whole"
	// WordWrong says that an answer that looked whole was not the right one.
	WordWrong Word = "wrong"
	// WordDoubled says that the right answer came with more after it, or
	// that a once-only call ran more than once.
	WordDoubled Word = "doubled"
	// WordCut says that an answer broke off visibly.
	WordCut Word = "cut"
	// WordLost says that the connection broke before an answer began.
	WordLost Word = "lost"
)

// maxSubmissions bounds the submissions of one keyed call.
const maxSubmissions = 4

// resubmitPause is the time before a keyed call is submitted again.
const resubmitPause = 200 * time.Millisecond

// outcome is what became of one call.
type outcome struct {
	word Word
	// first and total are the times to the first byte and the end, counted
	// from the planned arrival.
	first, total time.Duration
	tokens       int
	// detail describes a call that was not whole.
	detail string
}

// chunk is the part of an answer that is compared.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// caller makes calls at the entry instances in turn.
type caller struct {
	entries []string
	healthy *health
	timeout time.Duration
	client  *http.Client
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
		entries: s.Entries,
		healthy: newHealth(s.Entries, s.Transport),
		timeout: s.Timeout,
		client:  &http.Client{Transport: transport},
	}
}

// call makes a planned call; turn chooses the first entry instance.
func (c *caller) call(p planned, turn int, arrival time.Time) outcome {
	out := outcome{}
	for try := range maxSubmissions {
		out = c.submit(p, turn+try, arrival)
		if !p.keyed || out.word == WordWhole || out.word == WordWrong {
			break
		}
		time.Sleep(resubmitPause)
	}
	out.total = time.Since(arrival)
	return out
}

// submit makes one submission. Like a balancer, it passes over an entry
// instance that is not ready or accepts no connection.
func (c *caller) submit(p planned, turn int, arrival time.Time) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	out := outcome{word: WordLost, detail: "no entry instance is ready"}
	for n := range c.entries {
		entry := c.entries[(turn+n)%len(c.entries)]
		if !c.healthy.ready(entry) {
			continue
		}
		resp, err := c.client.Do(c.request(ctx, p, entry))
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			out = outcome{word: WordLost, detail: err.Error()}
			continue
		}
		if err != nil {
			return outcome{word: WordLost, detail: err.Error()}
		}
		defer resp.Body.Close()
		out := outcome{first: time.Since(arrival)}
		c.judge(p, resp, arrival, &out)
		return out
	}
	return out
}

func (c *caller) request(ctx context.Context, p planned, entry string) *http.Request {
	path := "/v1/completions"
	if p.once {
		path = p.account.OncePath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(p.body))
	if err != nil {
		panic(err) // the addresses have been checked
	}
	req.Header.Set("Authorization", "Bearer "+p.account.Key)
	req.Header.Set("Content-Type", "application/json")
	if p.keyed {
		req.Header.Set(core.HeaderIdempotencyKey, p.id)
	}
	return req
}

// judge reads the answer and compares it with the one that must come.
func (c *caller) judge(p planned, resp *http.Response, arrival time.Time, out *outcome) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		var problem struct {
			Outcome core.Refusal `json:"outcome"`
			Detail  string       `json:"detail"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
			out.word, out.detail = WordCut, err.Error()
			return
		}
		out.word, out.detail = Word(problem.Outcome), problem.Detail
		return
	}
	if p.once {
		judgeOnce(p, resp, out)
		return
	}
	read := readWhole
	if p.stream {
		read = readStream
	}
	text, err := read(resp.Body, func() { out.first = time.Since(arrival) })
	if err != nil {
		out.word, out.detail = WordCut, err.Error()
		return
	}
	want, err := engine.Expected(core.Digest(resp.Header.Get(core.HeaderDigest)), p.body)
	out.tokens = len(strings.Fields(text))
	switch {
	case err == nil && text == want:
		out.word = WordWhole
	case err == nil && len(text) > len(want):
		out.word, out.detail = WordDoubled, resp.Header.Get(core.HeaderRequestID)
	default:
		out.word, out.detail = WordWrong, resp.Header.Get(core.HeaderRequestID)
	}
}

// judgeOnce checks that the answer names the call.
func judgeOnce(p planned, resp *http.Response, out *outcome) {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		out.word, out.detail = WordCut, err.Error()
		return
	}
	var result onceCall
	if json.Unmarshal(raw, &result) != nil || result.ID != p.id {
		out.word, out.detail = WordWrong, string(raw)
		return
	}
	out.word = WordWhole
}

// readWhole reads an answer in one document.
func readWhole(body io.Reader, first func()) (string, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return "", err
	}
	first()
	return textOf(raw)
}

// readStream reads a stream of events up to its [DONE].
func readStream(body io.Reader, first func()) (string, error) {
	var text strings.Builder
	begun, done := false, false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case strings.HasPrefix(lines.Text(), "event: error"):
			return "", errors.New("error event")
		case !ok:
			continue
		case data == "[DONE]":
			done = true
			continue
		}
		if !begun {
			first()
			begun = true
		}
		piece, err := textOf([]byte(data))
		if err != nil {
			return "", err
		}
		text.WriteString(piece)
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	if !done {
		return "", nil // ended as though whole: the text will not compare
	}
	return text.String(), nil
}

func textOf(raw []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(raw, &c); err != nil {
		return "", errors.Wrap(err, "answer")
	}
	if len(c.Choices) == 0 {
		return "", errors.New("answer without choices")
	}
	return c.Choices[0].Text, nil
}
