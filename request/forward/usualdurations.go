package forward

import (
	"sync"
	"time"
)

// usualDurations estimates how long the responses of each route usually take at most. It
// is safe for concurrent use.
type usualDurations struct {
	mu     sync.Mutex
	routes map[string]durationEstimate
}

// maxEstimatedRoutes limits the number of routes with an estimate.
const maxEstimatedRoutes = 1024

func newUsualDurations() usualDurations {
	return usualDurations{routes: map[string]durationEstimate{}}
}

// record adds the duration of a complete response of a route.
func (u *usualDurations) record(route string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, known := u.routes[route]
	if !known && len(u.routes) >= maxEstimatedRoutes {
		clear(u.routes)
	}
	u.routes[route] = e.with(d)
}

// usual returns the duration within which the responses of a route are usually complete;
// 0 if there was none yet.
func (u *usualDurations) usual(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.routes[route].limit()
}

// durationEstimate is a running estimate of durations, as that of the round-trip time in
// RFC 6298. The zero value has no durations.
type durationEstimate struct{ mean, deviation time.Duration }

// with returns the estimate with a further duration.
func (e durationEstimate) with(d time.Duration) durationEstimate {
	if e.mean == 0 {
		return durationEstimate{mean: d, deviation: d / 2}
	}
	return durationEstimate{
		mean:      e.mean + (d-e.mean)/8,
		deviation: e.deviation + ((d-e.mean).Abs()-e.deviation)/4,
	}
}

// limit returns the duration that few are longer than.
func (e durationEstimate) limit() time.Duration { return e.mean + 4*e.deviation }
