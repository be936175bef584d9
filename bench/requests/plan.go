package requests

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// plannedCall is a call with its arrival time and content.
type plannedCall struct {
	account *Account
	// arrivalOffset is the time from the start of the run to the call.
	arrivalOffset time.Duration
	// id is unique within the run.
	id string
	// body is the body of the request.
	body []byte
	// stream is true for a streamed model call, and once for a once-only call. For
	// a once-only call with an idempotency key, keyed is also true.
	stream, once, keyed bool
}

// completionCall is the request body of a model call.
type completionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// onceCall is the request body of a once-only call. The stand-in of the plain
// service counts the executions of each ID.
type onceCall struct {
	ID string `json:"id"`
}

// planCalls returns every call of the run in order of arrival. The calls depend
// only on the scenario and its seed.
func planCalls(s *Scenario) []plannedCall {
	var calls []plannedCall
	for i := range s.Accounts {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		calls = append(calls, s.planAccount(&s.Accounts[i], rng)...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].arrivalOffset < calls[j].arrivalOffset })
	return calls
}

// planAccount returns the calls of one account, generated with rng.
func (s *Scenario) planAccount(a *Account, rng *rand.Rand) []plannedCall {
	var calls []plannedCall
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(rng.ExpFloat64() / a.CallsPerSecond * float64(time.Second))
		if arrival >= s.Duration {
			return calls
		}
		call := plannedCall{account: a, arrivalOffset: arrival, id: fmt.Sprintf("%s-%s-%d", s.Name, a.Name, len(calls))}
		call.generate(rng)
		calls = append(calls, call)
	}
}

// generate chooses the kind and the content of the call at random.
func (call *plannedCall) generate(rng *rand.Rand) {
	a := call.account
	call.once = rng.Float64() < a.OnceShare
	call.keyed = call.once && rng.Float64() < a.KeyedShare
	call.stream = !call.once && rng.Float64() < a.StreamShare
	var request any = onceCall{ID: call.id}
	if !call.once {
		request = completionCall{
			Model: a.Model, Prompt: call.prompt(rng), MaxTokens: a.Tokens.random(rng), Stream: call.stream,
		}
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // impossible: both types can be encoded
	}
	call.body = body
}

// prompt returns a prompt that begins with one of the shared prefixes, if the
// account has any, and continues with the call id and random words.
func (call *plannedCall) prompt(rng *rand.Rand) string {
	var prompt strings.Builder
	if n := call.account.PrefixCount; n > 0 {
		prompt.WriteString(strings.Repeat(fmt.Sprintf("prefix-%d ", rng.IntN(n)), 32))
	}
	fmt.Fprintf(&prompt, "%s ", call.id)
	for range call.account.PromptWords.random(rng) {
		fmt.Fprintf(&prompt, "word%d ", rng.IntN(1000))
	}
	return prompt.String()
}

// random returns a random number in the range.
func (r Range) random(rng *rand.Rand) int { return r.Min + rng.IntN(r.Max-r.Min+1) }
