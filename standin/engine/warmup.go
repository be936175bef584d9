package engine

import (
	"container/list"
	"math"
	"time"
)

const (
	// slowdownExponent determines the slowdown while more requests run than the
	// capacity: the time per token grows by the ratio of running requests to
	// capacity, raised to this power.
	slowdownExponent = 3
	// refuseRatio is the ratio of running and waiting requests to the capacity
	// above which new requests are refused.
	refuseRatio = 2.0
	// cachedTimeShare is the time to the first token if the prefix of the prompt is
	// cached, as a share of the time without a cached prefix.
	cachedTimeShare = 0.2
	// prefixBytes is the length, in bytes, of the prefixes that are cached. A
	// shorter prompt is cached completely.
	prefixBytes = 256
)

// warmUp simulates the warm-up of an engine after a start. The capacity starts at
// the cold limit and grows with finished requests and with time up to the warm
// limit.
type warmUp struct {
	coldLimit, warmLimit int
	// gainPerRequest is the number by which each finished request increases
	// the capacity.
	gainPerRequest float64
	// warmAfter is the time after coldSince at which the engine is warm even
	// without requests; 0 means never.
	warmAfter time.Duration
	// coldSince is the time of the last reset or, if there was none, of the start.
	coldSince time.Time
	// requestGain is the increase of the capacity by finished requests.
	requestGain float64
	// paused is true if neither finished requests nor time increase the
	// capacity.
	paused bool
}

// capacity returns the number of requests that run at full speed.
func (w *warmUp) capacity(now time.Time) float64 {
	maxGain := float64(w.warmLimit - w.coldLimit)
	gain := w.requestGain
	if w.warmAfter > 0 && !w.paused {
		gain += maxGain * now.Sub(w.coldSince).Seconds() / w.warmAfter.Seconds()
	}
	return float64(w.coldLimit) + math.Min(gain, maxGain)
}

// recordFinished increases the capacity for one finished request.
func (w *warmUp) recordFinished() {
	if !w.paused {
		w.requestGain += w.gainPerRequest
	}
}

// reset sets the capacity back to the cold limit.
func (w *warmUp) reset(now time.Time) {
	w.requestGain = 0
	w.coldSince = now
}

// slowdown returns the factor by which the time per token grows when inFlight
// requests run on an engine with the given capacity.
func slowdown(inFlight int, capacity float64) float64 {
	ratio := float64(inFlight) / capacity
	if ratio <= 1 {
		return 1
	}
	return math.Pow(ratio, slowdownExponent)
}

// prefixCache is a least-recently-used cache of prefixes of prompts.
type prefixCache struct {
	maxEntries int
	// recent holds the prefixes, most recently used first.
	recent   *list.List
	byPrefix map[string]*list.Element
}

// newPrefixCache returns an empty cache for up to maxEntries prefixes.
func newPrefixCache(maxEntries int) *prefixCache {
	return &prefixCache{maxEntries: maxEntries, recent: list.New(), byPrefix: map[string]*list.Element{}}
}

// lookup reports whether the prefix of a prompt was already cached, and caches it
// if it was not.
func (c *prefixCache) lookup(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if element, ok := c.byPrefix[prefix]; ok {
		c.recent.MoveToFront(element)
		return true
	}
	c.byPrefix[prefix] = c.recent.PushFront(prefix)
	if c.recent.Len() > c.maxEntries {
		oldest := c.recent.Back()
		delete(c.byPrefix, c.recent.Remove(oldest).(string))
	}
	return false
}
