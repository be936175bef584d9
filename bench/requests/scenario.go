// Package requests sends an open-loop load, described by a scenario file, to
// entry instances, and counts the outcomes of the calls: whole, refused, wrong,
// cut, lost or doubled.
package requests

import (
	"bytes"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"
)

// Scenario describes the load of one run.
type Scenario struct {
	// Name is copied to the result and is a part of each call id.
	Name string `yaml:"name"`
	// Seed determines the random arrivals, prompts and lengths.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which calls are started.
	Duration time.Duration `yaml:"duration"`
	// Timeout is the timeout of one submission; default 60 s.
	Timeout time.Duration `yaml:"timeout"`
	// EntryAddrs are the addresses ("ip:port") of the entry instances. Calls go
	// to them in turn, as from a load balancer.
	EntryAddrs []string `yaml:"entries"`
	// ServiceAddrs are the addresses ("ip:port") of the stand-ins of plain services.
	// They count the executions of each once-only call.
	ServiceAddrs []string `yaml:"services"`
	// Accounts are the client accounts that make calls.
	Accounts []Account `yaml:"accounts"`
	// Transport sends the requests to the entry instances; nil means an HTTP
	// transport over the network.
	Transport http.RoundTripper `yaml:"-"`
}

// Account is the load of one client account.
type Account struct {
	// Name identifies the account in the result.
	Name string `yaml:"name"`
	// Key is the account's secret key.
	Key string `yaml:"key"`
	// CallsPerSecond is the mean number of calls per second; arrivals are Poisson.
	CallsPerSecond float64 `yaml:"rate"`
	// Model is the name of the model in model calls.
	Model string `yaml:"model"`
	// Tokens is the range of response lengths, in tokens.
	Tokens Range `yaml:"tokens"`
	// PromptWords is the range of prompt lengths, in words.
	PromptWords Range `yaml:"promptWords"`
	// PrefixCount is the number of different prompt prefixes that the calls share;
	// 0 for prompts without a shared prefix.
	PrefixCount int `yaml:"prefixes"`
	// StreamShare is the share of streamed calls among the model calls, 0 to 1.
	StreamShare float64 `yaml:"stream"`
	// OnceShare is the share of once-only calls among all calls, 0 to 1.
	OnceShare float64 `yaml:"once"`
	// KeyedShare is the share of calls with an idempotency key among the
	// once-only calls, 0 to 1. A call with a key is submitted again, a limited
	// number of times, until its response is whole or wrong.
	KeyedShare float64 `yaml:"keyed"`
	// OncePath is the path of once-only calls, such as /services/lots/lots.
	OncePath string `yaml:"oncePath"`
}

// Range is a range of integers that includes both Min and Max.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Load reads and checks a scenario from a YAML file. If entries or services is not
// empty, it replaces the list of that name in the file.
func Load(path string, entries, services []string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	var s Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "scenario %s", path)
	}
	if len(entries) > 0 {
		s.EntryAddrs = entries
	}
	if len(services) > 0 {
		s.ServiceAddrs = services
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrapf(err, "scenario %s", path)
	}
	return &s, nil
}

// Check returns an error that lists every problem of the scenario.
func (s *Scenario) Check() error {
	var problems []error
	if s.Duration <= 0 {
		problems = append(problems, errors.New("duration: want more than 0"))
	}
	if len(s.EntryAddrs) == 0 {
		problems = append(problems, errors.New("entries: want at least one"))
	}
	if len(s.Accounts) == 0 {
		problems = append(problems, errors.New("accounts: want at least one"))
	}
	for _, a := range s.Accounts {
		problems = append(problems, a.check())
	}
	return errors.Join(problems...)
}

// check returns an error that lists every problem of the account.
func (a *Account) check() error {
	var problems []error
	if a.CallsPerSecond <= 0 {
		problems = append(problems, errors.Errorf("account %s: rate: want more than 0", a.Name))
	}
	if a.Tokens.Min < 1 || a.Tokens.Max < a.Tokens.Min {
		problems = append(problems, errors.Errorf("account %s: tokens: want 1 <= min <= max", a.Name))
	}
	if a.PromptWords.Min < 0 || a.PromptWords.Max < a.PromptWords.Min {
		problems = append(problems, errors.Errorf("account %s: promptWords: want 0 <= min <= max", a.Name))
	}
	if a.OnceShare > 0 && a.OncePath == "" {
		problems = append(problems, errors.Errorf("account %s: oncePath: required with once above 0", a.Name))
	}
	if a.OnceShare < 1 && a.Model == "" {
		problems = append(problems, errors.Errorf("account %s: model: required with once below 1", a.Name))
	}
	return errors.Join(problems...)
}
