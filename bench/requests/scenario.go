// Package requests drives entry instances with an open-loop load described by
// a scenario file, and counts for every call whether its answer was whole,
// refused, wrong, cut or doubled.
package requests

import (
	"bytes"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"
)

// Scenario describes one run.
type Scenario struct {
	// Name is repeated in the result.
	Name string `yaml:"name"`
	// Seed fixes arrivals, prompts and lengths.
	Seed uint64 `yaml:"seed"`
	// Duration is the time in which calls arrive.
	Duration time.Duration `yaml:"duration"`
	// Timeout bounds one call; default 60 s.
	Timeout time.Duration `yaml:"timeout"`
	// Entries are the addresses ("ip:port") of the entry instances, which
	// take calls in turn, as behind a balancer.
	Entries []string `yaml:"entries"`
	// Services are the addresses of stand-ins of plain services, whose
	// counters tell how often each once-only call ran.
	Services []string `yaml:"services"`
	// Accounts are the callers.
	Accounts []Account `yaml:"accounts"`
	// Transport reaches the entry instances; nil means over the network.
	Transport http.RoundTripper `yaml:"-"`
}

// Account is the load of one client account.
type Account struct {
	// Name identifies the account in the result.
	Name string `yaml:"name"`
	// Key is the account's secret key.
	Key string `yaml:"key"`
	// Rate is the mean number of calls per second; arrivals are Poisson.
	Rate float64 `yaml:"rate"`
	// Model is asked by model calls.
	Model string `yaml:"model"`
	// Tokens is the range of answer lengths, in tokens.
	Tokens Range `yaml:"tokens"`
	// PromptWords is the range of prompt lengths, in words.
	PromptWords Range `yaml:"promptWords"`
	// Prefixes is the number of prompt prefixes that calls share; 0 for none.
	Prefixes int `yaml:"prefixes"`
	// Stream is the share of model calls that are streamed, 0 to 1.
	Stream float64 `yaml:"stream"`
	// Once is the share of calls that are once-only calls, 0 to 1.
	Once float64 `yaml:"once"`
	// Keyed is the share of those that carry a key, 0 to 1; they are
	// resubmitted when they are not answered.
	Keyed float64 `yaml:"keyed"`
	// OncePath is the path of once-only calls, such as /services/lots/lots.
	OncePath string `yaml:"oncePath"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Load reads a scenario from a YAML file and reports everything wrong in it.
// Entries and services replace those of the file unless they are empty.
func Load(path string, entries, services []string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "scenario %s", path)
	}
	if len(entries) > 0 {
		s.Entries = entries
	}
	if len(services) > 0 {
		s.Services = services
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrapf(err, "scenario %s", path)
	}
	return &s, nil
}

// Check reports everything wrong in the scenario at once.
func (s *Scenario) Check() error {
	var wrong []error
	if s.Duration <= 0 {
		wrong = append(wrong, errors.New("duration: want more than 0"))
	}
	if len(s.Entries) == 0 {
		wrong = append(wrong, errors.New("entries: want at least one"))
	}
	if len(s.Accounts) == 0 {
		wrong = append(wrong, errors.New("accounts: want at least one"))
	}
	for _, a := range s.Accounts {
		wrong = append(wrong, a.check())
	}
	return errors.Join(wrong...)
}

func (a *Account) check() error {
	var wrong []error
	if a.Rate <= 0 {
		wrong = append(wrong, errors.Errorf("account %s: rate: want more than 0", a.Name))
	}
	if a.Tokens.Min < 1 || a.Tokens.Max < a.Tokens.Min {
		wrong = append(wrong, errors.Errorf("account %s: tokens: want 1 <= min <= max", a.Name))
	}
	if a.PromptWords.Min < 0 || a.PromptWords.Max < a.PromptWords.Min {
		wrong = append(wrong, errors.Errorf("account %s: promptWords: want 0 <= min <= max", a.Name))
	}
	if a.Once > 0 && a.OncePath == "" {
		wrong = append(wrong, errors.Errorf("account %s: oncePath: wanted with once", a.Name))
	}
	if a.Once < 1 && a.Model == "" {
		wrong = append(wrong, errors.Errorf("account %s: model: wanted with once below 1", a.Name))
	}
	return errors.Join(wrong...)
}
