package fleet

import "time"

// isolatedAfter is how long an agent must have been without a connection to an entry
// instance before it reports that. Entry instances that restart are back sooner.
const isolatedAfter = 3 * time.Second

// isolation tracks how long no entry instance has been connected.
type isolation struct {
	// since is when the last connection ended; zero while there is one.
	since time.Time
	// reported is true from the report of the isolation until its end.
	reported bool
}

// update records the number of connected entry instances. It returns true when the
// isolation is to be reported, or when a reported one has ended.
func (i *isolation) update(now time.Time, connected int) bool {
	switch {
	case connected > 0:
		ended := i.reported
		*i = isolation{}
		return ended
	case i.since.IsZero():
		i.since = now
	case !i.reported && now.Sub(i.since) >= isolatedAfter:
		i.reported = true
		return true
	}
	return false
}
