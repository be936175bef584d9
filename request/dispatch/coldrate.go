package dispatch

import "time"

// coldWindow is the span in which the requests to a cold server are counted.
const coldWindow = time.Second

// ColdRate answers servers that came back cold under full load: it bounds what
// one entry instance sends to a cold server in a second to its even share, so
// that the sum holds also when the entry instances do not hear each other.
type ColdRate struct {
	sent window
}

// Allows reports whether one more request may be sent at now.
func (c *ColdRate) Allows(now time.Time, perSecond float64, entries int) bool {
	share := max(1, int(perSecond)/max(1, entries))
	return c.sent.count(now, coldWindow) < share
}

// Sent counts a request.
func (c *ColdRate) Sent(now time.Time) { c.sent.add(now, coldWindow) }
