// Package estimate estimates, from the declared figures of a model server and the work
// that it has, how long the server takes until the next event of its streams and until the
// first event of a new request.
//
// A model server works in passes. In each it runs a number of token steps for all requests
// that generate; between the steps it reads prompts. A stream gets one event per pass.
package estimate

import (
	"math"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// Engine holds the declared figures of a model server, see [catalog.Engine]. Times are in
// nanoseconds.
type Engine struct {
	slots, stepsPerPass, promptTokensPerStep float64
	stepTime, timePerRequest, timePerContext float64
	timePerPromptToken, timePerPair          float64
	// meanPrompt and meanResponse are the mean numbers of tokens of a request.
	meanPrompt, meanResponse float64
}

// maxStepTime is the longest declared time of a token step that is taken for a real one.
const maxStepTime = 10 * time.Second

// NewEngine returns the figures of a declared engine. It returns false if the figures that
// estimates need are not all declared, or are absurd.
func NewEngine(e *catalog.Engine) (Engine, bool) {
	if e == nil || e.StepTime <= 0 || e.StepTime > maxStepTime || e.StepsPerPass <= 0 || e.Slots <= 0 ||
		!(e.PromptTokensPerSecond > 0) || math.IsInf(e.PromptTokensPerSecond, 0) || e.MeanPromptTokens <= 0 || e.MeanResponseTokens <= 0 ||
		e.StepTimePerRequest < 0 || e.StepTimePerContext < 0 || e.TimePerMillionPairs < 0 {
		return Engine{}, false
	}
	return Engine{
		slots: float64(e.Slots), stepsPerPass: float64(e.StepsPerPass), promptTokensPerStep: float64(e.PromptTokensPerStep),
		stepTime: float64(e.StepTime), timePerRequest: float64(e.StepTimePerRequest), timePerContext: float64(e.StepTimePerContext) / 1e3,
		timePerPromptToken: float64(time.Second) / e.PromptTokensPerSecond, timePerPair: float64(e.TimePerMillionPairs) / 1e6,
		meanPrompt: float64(e.MeanPromptTokens), meanResponse: float64(e.MeanResponseTokens),
	}, true
}

// Work is what a server has in progress.
type Work struct {
	// Generating is the number of requests that generate tokens, and ContextTokens the
	// number of tokens in their prompts and responses so far.
	Generating, ContextTokens int64
	// Unread is the number of requests whose prompts are not read yet. UnreadTokens is the
	// number of tokens in these prompts, and UnreadPairs that of pairs of a token and any
	// earlier one.
	Unread, UnreadTokens, UnreadPairs int64
}

// AddUnread adds requests whose prompts of the given length are not read yet.
func (w *Work) AddUnread(count, promptTokens int64) {
	w.Unread += count
	w.UnreadTokens += count * promptTokens
	w.UnreadPairs += count * Pairs(promptTokens)
}

// AddGenerating adds requests that generate, each with the given tokens of context.
func (w *Work) AddGenerating(count, contextTokens int64) {
	w.Generating += count
	w.ContextTokens += count * contextTokens
}

// Add adds the work other.
func (w *Work) Add(other Work) {
	w.Generating += other.Generating
	w.ContextTokens += other.ContextTokens
	w.Unread += other.Unread
	w.UnreadTokens += other.UnreadTokens
	w.UnreadPairs += other.UnreadPairs
}

// Pairs returns the number of pairs of a token of a prompt and any earlier one.
func Pairs(promptTokens int64) int64 { return promptTokens * promptTokens / 2 }

// MeanPromptTokens returns the declared mean number of tokens of a prompt.
func (e Engine) MeanPromptTokens() int64 { return int64(e.meanPrompt) }

// MeanContextTokens returns the mean number of tokens of context of a request that
// generates: the prompt, and half of the response.
func (e Engine) MeanContextTokens() int64 { return int64(e.meanPrompt + e.meanResponse/2) }

// StepsPerPass returns the number of tokens of one event.
func (e Engine) StepsPerPass() int64 { return int64(e.stepsPerPass) }

// PassTime returns the time of one pass for the requests that generate, without the
// reading of prompts.
func (e Engine) PassTime(w Work) time.Duration {
	return time.Duration(e.passTime(float64(w.Generating), float64(w.ContextTokens)))
}

func (e Engine) passTime(generating, contextTokens float64) float64 {
	return e.stepsPerPass * (e.stepTime + generating*e.timePerRequest + contextTokens*e.timePerContext)
}

// ReadTime returns the time in which the server reads prompts with the given numbers of
// tokens and pairs.
func (e Engine) ReadTime(tokens, pairs int64) time.Duration {
	return time.Duration(e.readTime(tokens, pairs))
}

func (e Engine) readTime(tokens, pairs int64) float64 {
	return float64(tokens)*e.timePerPromptToken + float64(pairs)*e.timePerPair
}

// EventGap returns the expected time between two events of a stream: one pass, and the
// prompts that are read in it. A response takes meanResponse / stepsPerPass passes, and for
// each that ends a request with a mean prompt follows.
func (e Engine) EventGap(w Work, pace float64) time.Duration {
	return time.Duration(e.eventGap(w) * BoundPace(pace))
}

func (e Engine) eventGap(w Work) float64 {
	begunPerPass := float64(w.Generating) * e.stepsPerPass / e.meanResponse
	return e.passTime(float64(w.Generating), float64(w.ContextTokens)) +
		begunPerPass*e.readTime(int64(e.meanPrompt), Pairs(int64(e.meanPrompt)))
}

// FirstEvent returns the expected time until the first event of a new request with a
// prompt of promptTokens tokens: the rest of the present pass (half of one), the reading
// of the prompts that are there and of its own, one pass with the prompts that come
// meanwhile, and the wait for a slot of the server if all are taken.
func (e Engine) FirstEvent(w Work, promptTokens int64, pace float64) time.Duration {
	gap := e.eventGap(w)
	tokens := w.UnreadTokens + promptTokens
	t := gap/2 + e.readTime(tokens, w.UnreadPairs+Pairs(promptTokens))
	if e.promptTokensPerStep > 0 {
		// Each further part of the prompts waits for a token step.
		t += math.Floor(float64(tokens)/e.promptTokensPerStep) * e.passTime(float64(w.Generating), float64(w.ContextTokens)) / e.stepsPerPass
	}
	w.Generating += w.Unread + 1
	w.ContextTokens += tokens
	t += e.eventGap(w)
	if ahead := float64(w.Generating) - e.slots; ahead > 0 {
		// A slot becomes free each time that one of the running responses ends.
		t += ahead * gap * e.meanResponse / e.stepsPerPass / e.slots
	}
	return time.Duration(t * BoundPace(pace))
}
