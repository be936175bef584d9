package dispatch

import "time"

// coldWindow is the span in which the requests to a cold server are counted.
const coldWindow = time.Second

// ColdRate answers servers that came back cold under full load: it bounds what
// one entry instance sends to a cold server in a second to its even share, so
// that the sum holds also when the entry instances do not hear each other.
type ColdRate struct {
	sent []time.Time
}

// Allows reports whether one more request may be sent at now.
func (c *ColdRate) Allows(now time.Time, perSecond float64, entries int) bool {
	c.forget(now)
	share := max(1, int(perSecond)/max(1, entries))
	return len(c.sent) < share
}

// Sent counts a request.
func (c *ColdRate) Sent(now time.Time) {
	c.forget(now)
	c.sent = append(c.sent, now)
}

func (c *ColdRate) forget(now time.Time) {
	n := 0
	for n < len(c.sent) && now.Sub(c.sent[n]) >= coldWindow {
		n++
	}
	c.sent = append(c.sent[:0], c.sent[n:]...)
}
