package dispatch

import "time"

// soundSet is a set of what has run. It remembers an ID for soundMemory at least, if it
// gets no more than maxSoundParts in that time.
type soundSet struct {
	// recent is emptied into earlier when it is full or soundMemory old.
	recent, earlier map[string]bool
	since           time.Time
}

// add adds an ID at time now.
func (s *soundSet) add(id string, now time.Time) {
	if s.recent == nil || len(s.recent) >= maxSoundParts || now.Sub(s.since) >= soundMemory {
		s.earlier, s.recent, s.since = s.recent, map[string]bool{}, now
	}
	s.recent[id] = true
}

// has reports whether the set has an ID.
func (s *soundSet) has(id string) bool { return s.recent[id] || s.earlier[id] }
