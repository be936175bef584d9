package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/olekukonko/tablewriter"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/request/forward"
)

const (
	// explainTimeout limits the time for the answer of the entry instance.
	explainTimeout = 5 * time.Second
	// maxKeyBytes and maxAnswerBytes limit what the command reads: a key, and the answer,
	// which has about 250 bytes for each server of the service.
	maxKeyBytes    = 4 << 10
	maxAnswerBytes = 16 << 20
)

// ExplainCmd shows where a request would go now, and why, without sending it.
type ExplainCmd struct {
	Entry        string  `help:"Entry instance to ask: its address for other instances, ip:port." required:"" env:"RATTANWAY_ENTRY"`
	PeerToken    string  `help:"Secret shared by all entry instances and agents." required:"" env:"RATTANWAY_PEER_TOKEN"`
	Host         string  `help:"Host of the request." required:""`
	Path         string  `help:"Path of the request, with the query if there is one." default:"/"`
	Method       string  `help:"Method of the request." default:"POST"`
	Account      string  `help:"Name of the client account that sends the request."`
	KeyFile      string  `help:"File with the key that the request has, instead of --account; - for standard input."`
	Service      string  `help:"Service to explain if the route has several; default is the one with the largest weight."`
	Model        string  `help:"Model that the request requires."`
	PromptTokens float64 `help:"Tokens of the prompt; 0 if the request does not say." default:"0"`
	AnswerTokens float64 `help:"Tokens of the response; 0 if the request does not say." default:"0"`
	PromptParts  string  `help:"Parts of the prompt, as in the request's header."`
	DeadlineMs   float64 `help:"Time for which the client waits, in milliseconds; 0 if the request does not say." default:"0"`
	JSON         bool    `name:"json" help:"Print the answer as JSON."`
}

// Run implements the command.
func (c *ExplainCmd) Run(s *streams) error { return c.run(os.Stdin, s.Out) }

// run asks the entry instance and prints the answer to out. stdin is read if the key is there.
func (c *ExplainCmd) run(stdin io.Reader, out io.Writer) error {
	if err := c.check(); err != nil {
		return usageError{err}
	}
	key, err := c.readKey(stdin)
	if err != nil {
		return usageError{err}
	}
	answer, err := c.ask(key)
	if err != nil {
		return core.WrapStep("explain", c.Entry, err)
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	return printExplanation(out, answer)
}

// check returns an error that names the invalid flags.
func (c *ExplainCmd) check() error {
	var problems settings.Problems
	problems.Add(settings.CheckAddr("--entry", c.Entry))
	problems.Add(settings.CheckToken("--peer-token", c.PeerToken))
	if c.Host == "" {
		problems.Add(settings.Problem{Name: "--host", Allowed: "the host of the request"})
	}
	if !strings.HasPrefix(c.Path, "/") {
		problems.Add(settings.Problem{Name: "--path", Value: c.Path, Allowed: "a path that begins with a slash"})
	}
	if c.Account != "" && c.KeyFile != "" {
		problems.Add(settings.Problem{Name: "--key-file", Value: c.KeyFile, Allowed: "only without --account"})
	}
	for name, n := range map[string]float64{"--prompt-tokens": c.PromptTokens, "--answer-tokens": c.AnswerTokens, "--deadline-ms": c.DeadlineMs} {
		if !(n >= 0) {
			problems.Add(settings.Problem{Name: name, Value: fmt.Sprint(n), Allowed: "a number from 0"})
		}
	}
	return problems.Err()
}

// readKey returns the key from the key file, or from stdin if that is "-"; empty if there is
// no key file. The error does not contain the content.
func (c *ExplainCmd) readKey(stdin io.Reader) (string, error) {
	if c.KeyFile == "" {
		return "", nil
	}
	in := stdin
	if c.KeyFile != "-" {
		file, err := os.Open(c.KeyFile)
		if err != nil {
			return "", errors.Wrap(err, "read key")
		}
		defer file.Close()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return "", errors.Wrapf(err, "read key from %s", c.KeyFile)
	}
	key := strings.TrimSpace(string(raw))
	if key == "" || len(raw) > maxKeyBytes || strings.ContainsAny(key, "\r\n") {
		return "", errors.Errorf("read key from %s: not one line of 1 to %d bytes", c.KeyFile, maxKeyBytes)
	}
	return key, nil
}

// ask sends the question to the entry instance.
func (c *ExplainCmd) ask(key string) (*forward.ExplainAnswer, error) {
	question, err := json.Marshal(forward.ExplainQuestion{
		Method: c.Method, Host: c.Host, Path: c.Path, Account: c.Account, Key: key, Service: c.Service, Model: c.Model,
		PromptTokens: c.PromptTokens, AnswerTokens: c.AnswerTokens, PromptParts: c.PromptParts, DeadlineMs: c.DeadlineMs,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Entry+forward.ExplainPath, bytes.NewReader(question))
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderPeerToken, c.PeerToken)
	client := &http.Client{Timeout: explainTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	answer := &forward.ExplainAnswer{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return answer, nil
}

// printExplanation prints an answer for people: the outcome last.
func printExplanation(out io.Writer, a *forward.ExplainAnswer) error {
	var text bytes.Buffer
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&text, "%-9s%s\n", name, fmt.Sprintf(format, args...))
	}
	line("at", "%s, data centre %s, configuration %d", a.At.UTC().Format(time.RFC3339Nano), a.DataCentre, a.ConfigVersion)
	if a.Route == nil {
		line("route", "none")
	} else {
		var targets []string
		for _, target := range a.Route.Targets {
			targets = append(targets, fmt.Sprintf("%s (weight %d)", target.Service, target.Weight))
		}
		line("route", "%s: host %s, path %s, %s, to %s%s",
			a.Route.Name, a.Route.Host, a.Route.Prefix, a.Route.Kind, strings.Join(targets, ", "), regionsText(a.Route.Regions))
		line("account", "%s%s", nameOrNone(a.Account), regionsText(a.AccountRegions))
		line("priority", "%d", a.Priority)
		line("limits", "%s", limitsText(&a.Limits))
	}
	if a.Service != "" {
		line("service", "%s, model %s%s", a.Service, nameOrNone(a.Model), minWeightsText(a.MinWeights))
		line("queue", "%d waiting, %d ahead; slots of each server reserved for more urgent requests: %d", a.Waiting, a.Ahead, a.Reserved)
		printExplainedServers(&text, a.Servers)
	}
	line("outcome", "%s", a.Outcome.String())
	_, err := out.Write(text.Bytes())
	return err
}

// printExplainedServers prints a table of the servers.
func printExplainedServers(out io.Writer, servers []forward.ExplainedServer) {
	if len(servers) == 0 {
		return
	}
	table := tablewriter.NewWriter(out)
	table.SetHeader([]string{"server", "data centre", "first event ms", "running", "limit", "weights", "verdict"})
	table.SetAutoWrapText(false)
	for i := range servers {
		s := &servers[i]
		expected, weights := "-", "-"
		if s.ExpectedMs > 0 {
			expected = strconv.FormatFloat(s.ExpectedMs, 'f', 1, 64)
		}
		if s.Weights > 0 {
			weights = strconv.Itoa(s.Weights)
		}
		table.Append([]string{s.ID, s.DataCentre, expected, strconv.Itoa(s.Running), strconv.Itoa(s.Limit), weights, verdictOn(s)})
	}
	table.Render()
}

// verdictOn returns how a server counts for the request.
func verdictOn(s *forward.ExplainedServer) string {
	verdict := s.Excluded
	switch {
	case s.Chosen:
		verdict = "chosen"
	case verdict == "":
		verdict = "possible"
	}
	if s.PausedMs > 0 {
		verdict += fmt.Sprintf(" for %d ms", s.PausedMs)
	}
	if s.Penalty > 0 {
		verdict += fmt.Sprintf(", counts %.1f requests more for failures", s.Penalty)
	}
	return verdict
}

// limitsText returns the limits that are declared.
func limitsText(l *forward.ExplainedLimits) string {
	var parts []string
	add := func(n float64, format string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf(format, strconv.FormatFloat(n, 'f', -1, 64)))
		}
	}
	add(float64(l.TimeMs), "%s ms for the response")
	add(float64(l.FirstByteMs), "%s ms to the first byte")
	add(float64(l.MaxServers), "at most %s servers")
	add(float64(l.HeaderBytes), "head of %s bytes")
	add(float64(l.BodyBytes), "body of %s bytes")
	add(l.ColdPerSecond, "%s requests per second to a cold server")
	return strings.Join(parts, ", ")
}

// nameOrNone returns a name, or "none" if it is empty.
func nameOrNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// regionsText returns the regions that are allowed, if not all are.
func regionsText(regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return ", regions " + strings.Join(regions, ", ")
}

// minWeightsText returns the oldest version of the weights, if there is one.
func minWeightsText(version int) string {
	if version == 0 {
		return ""
	}
	return fmt.Sprintf(", weights from version %d", version)
}
