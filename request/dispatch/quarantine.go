package dispatch

import (
	"slices"
	"time"
)

// Parameters of a [PartQuarantine].
const (
	// endsOfNewPart is the number of servers that must have ended under a part before
	// the part is quarantined, if no request with the part is known to have run.
	// endsOfSoundPart applies if requests with the part have run before.
	endsOfNewPart   = 3
	endsOfSoundPart = 5
	// minEndSpacing is the least time between two ends that count separately. Servers
	// that a fault of the platform ends together end at the same time.
	minEndSpacing = 100 * time.Millisecond
	// quarantineTime is how long a part stays quarantined after the last end under it.
	// One more end renews the quarantine for as long as endMemory keeps the earlier ones.
	// A whole request that has never run stays so for requestQuarantineTime: nobody but its
	// caller has to do without it, and a trial costs a server.
	quarantineTime        = 2 * time.Minute
	requestQuarantineTime = endMemory
	endMemory             = MaxEndAge
	expireInterval        = time.Second
	// soundMemory is how long a part is known to have run, at least.
	soundMemory = time.Minute
	// minKeptEnds is the number of ends from which a part keeps those that another part
	// explains: the other one may turn out to have been there by chance.
	minKeptEnds = endsOfNewPart - 1
	// maxSuspectParts, maxSuspectRequests, maxEndsOfPart and maxSoundParts limit the
	// memory. Each end makes all requests at the server suspect, but few parts.
	maxSuspectParts    = 256
	maxSuspectRequests = 1024
	maxEndsOfPart      = 16
	maxSoundParts      = 4096
)

// WholeRequest is the Position of a [PromptPart] that stands for a request as a whole.
// Only equal requests have it in common, so it is rarer than each part of the prompt.
const WholeRequest = maxPromptPosition

// MaxEndAge is the age from which the end of a server no longer counts for a part.
const MaxEndAge = 10 * time.Minute

// PromptPart is a part of a prompt that several requests may have, or a request as a
// whole, which its caller may send several times.
type PromptPart struct {
	// ID identifies the part together with the model, or the request by what it asks for.
	ID string
	// Position is the position of the part in the prompt, or WholeRequest. Later parts are
	// rarer.
	Position int
}

// PartQuarantine finds out which part of their prompts requests have in common that
// end the servers at which they run, or which single request does, and keeps requests with
// that part away from the servers. A request may be the cause of a server's end if the
// server had just begun to respond to it or had not begun. A part is suspect while no
// request with it has run since. Of several suspect parts the one with the most ends is quarantined, which
// explains these ends, so that they do not count for the others. This is decided anew
// with each end: a part is released if another one turns out to explain its ends.
type PartQuarantine struct {
	parts map[string]*suspectPart
	// soundParts holds the parts of prompts of requests that have run, and soundRequests
	// these requests as a whole.
	soundParts, soundRequests soundSet
	changes                   *changeCounter
	// reassessDue is true if something has changed since the last reassess.
	reassessDue bool
	// expiredAt is when expire last removed parts.
	expiredAt time.Time
}

// suspectPart is a part that was at servers that ended.
type suspectPart struct {
	position int
	// knownSound is true if requests with the part had run before servers ended.
	knownSound bool
	// ends are in ascending order of time.
	ends []partEnd
	// separate is the largest number of ends that counted separately since one was last
	// refuted, here or at the entry instances that reported them.
	separate int
	// quarantined is true once the part has been quarantined, until a request with it
	// runs, another part explains the ends, or the quarantine ends.
	quarantined bool
	changeMark
}

// partEnd is the end of a server while a request with the part was there.
type partEnd struct {
	// boot is the boot of the server.
	boot string
	at   time.Time
	// refuted is true if a request with the part has run since.
	refuted bool
	// observer is the nearest one that has reported the end, or refuted it.
	observer observer
}

// NewPartQuarantine returns a quarantine without suspect parts. changes numbers its
// changes.
func NewPartQuarantine(changes *changeCounter) *PartQuarantine {
	return &PartQuarantine{changes: changes, parts: map[string]*suspectPart{}}
}

// Holds reports whether one of the parts is quarantined at time now, and which.
func (q *PartQuarantine) Holds(parts []PromptPart, now time.Time) (string, bool) {
	if len(q.parts) == 0 {
		return "", false
	}
	for _, part := range parts {
		if p := q.parts[part.ID]; p != nil && p.quarantined && p.suspect(nil, now) {
			return part.ID, true
		}
	}
	return "", false
}

// heldFor returns how long the parts that are quarantined now stay so; 0 if none is.
func (q *PartQuarantine) heldFor(parts []PromptPart, now time.Time) time.Duration {
	var longest time.Duration
	for _, part := range parts {
		if p := q.parts[part.ID]; p != nil && p.quarantined {
			longest = max(longest, p.lastEnd().Add(p.quarantineTime()).Sub(now))
		}
	}
	return longest
}

// RecordEnd records that a boot of a server ended at time at, with requests there
// that have the parts and may be the cause. It returns the parts that are quarantined
// and released because of that.
func (q *PartQuarantine) RecordEnd(boot string, parts []PromptPart, at, now time.Time) (quarantined, released []string) {
	q.expire(now)
	for _, part := range parts {
		q.addEnd(part, partEnd{boot: boot, at: at}, q.knownSound(part), observedHere, now)
	}
	return q.reassess(now)
}

// RecordSound records that a request with the parts has run and its server goes on.
// It returns the parts that are no longer quarantined because of that.
func (q *PartQuarantine) RecordSound(parts []PromptPart, now time.Time) []string {
	var released []string
	for _, part := range parts {
		q.soundSetOf(part).add(part.ID, now)
		p := q.parts[part.ID]
		if p == nil {
			continue
		}
		for i := range p.ends {
			if !p.ends[i].refuted {
				p.ends[i].refuted, p.ends[i].observer, p.separate = true, observedHere, 0
				q.changes.mark(&p.changeMark, observedHere)
			}
		}
		if p.quarantined {
			p.quarantined = false
			released = append(released, part.ID)
		}
	}
	return released
}

// soundSetOf returns the set for parts of the same kind.
func (q *PartQuarantine) soundSetOf(part PromptPart) *soundSet {
	if part.Position == WholeRequest {
		return &q.soundRequests
	}
	return &q.soundParts
}

// knownSound reports whether a request with the part is known to have run.
func (q *PartQuarantine) knownSound(part PromptPart) bool { return q.soundSetOf(part).has(part.ID) }

// addEnd adds an end to a part, unless it is known. An end that a quarantined part
// explains makes no other part of a prompt suspect. An end that is known becomes refuted
// if the new one is. If a nearer observer reports a known end, that is a change as well,
// because it decides who passes the end on.
func (q *PartQuarantine) addEnd(part PromptPart, end partEnd, knownSound bool, o observer, now time.Time) {
	p := q.parts[part.ID]
	if p == nil {
		if end.refuted || part.Position != WholeRequest && q.explained(end.boot) {
			return
		}
		q.makeRoom(part.Position == WholeRequest)
		p = &suspectPart{position: part.Position}
		q.parts[part.ID] = p
	}
	if knownSound && !p.knownSound {
		q.markKnownSound(p, o)
	}
	i := p.indexOfEnd(end.boot)
	if i >= 0 && end.at.Before(p.ends[i].at) {
		// A reported end seems later by the time that the report was on its way.
		p.ends[i].at = end.at
		q.reassessDue = true
		p.sortEnds()
		i = p.indexOfEnd(end.boot)
	}
	switch {
	case i >= 0 && (end.refuted && !p.ends[i].refuted || end.refuted == p.ends[i].refuted && o > p.ends[i].observer):
		if end.refuted != p.ends[i].refuted {
			p.separate = 0
		}
		p.ends[i].refuted, p.ends[i].observer = end.refuted, o
	case i >= 0:
		return
	default:
		end.observer = o
		p.ends = append(p.ends, end)
		p.sortEnds()
		p.ends = p.ends[max(0, len(p.ends)-maxEndsOfPart):]
	}
	q.changes.mark(&p.changeMark, o)
	q.reassessDue = true
}

// markKnownSound records that requests with a part had run before servers ended.
func (q *PartQuarantine) markKnownSound(p *suspectPart, o observer) {
	p.knownSound = true
	if p.position == WholeRequest {
		// Its ends counted separately without regard to their times.
		p.separate = 0
	}
	q.changes.mark(&p.changeMark, o)
	q.reassessDue = true
}

// explained reports whether a boot ended under a part that is quarantined.
func (q *PartQuarantine) explained(boot string) bool {
	for _, p := range q.parts {
		if p.quarantined && p.endedUnder(boot) {
			return true
		}
	}
	return false
}

// endedUnder reports whether a boot ended under the part.
func (p *suspectPart) endedUnder(boot string) bool {
	return slices.ContainsFunc(p.ends, func(e partEnd) bool { return e.boot == boot && !e.refuted })
}

// indexOfEnd returns the index of the end of a boot; -1 if it is not known.
func (p *suspectPart) indexOfEnd(boot string) int {
	return slices.IndexFunc(p.ends, func(e partEnd) bool { return e.boot == boot })
}

// sortEnds puts the ends into ascending order of time.
func (p *suspectPart) sortEnds() {
	slices.SortFunc(p.ends, func(a, b partEnd) int { return a.at.Compare(b.at) })
}

// reassess decides which parts are quarantined: the most suspect one, which explains
// its ends, then the most suspect one by the remaining ends, and so on. It returns the
// parts that are quarantined from now on, and those that are released because others
// explain their ends.
func (q *PartQuarantine) reassess(now time.Time) (quarantined, released []string) {
	q.reassessDue = false
	candidates := map[string]*suspectPart{}
	for id, p := range q.parts {
		if p.suspect(nil, now) {
			candidates[id] = p
		}
	}
	guilty, explained := map[string]bool{}, map[string]bool{}
	for worst := mostSuspect(candidates, explained, now); worst != ""; worst = mostSuspect(candidates, explained, now) {
		guilty[worst] = true
		for _, e := range q.parts[worst].ends {
			explained[e.boot] = explained[e.boot] || !e.refuted
		}
		delete(candidates, worst)
	}
	for id, p := range q.parts {
		switch {
		case guilty[id] && !p.quarantined:
			quarantined = append(quarantined, id)
		case p.quarantined && !guilty[id] && p.suspect(nil, now):
			released = append(released, id)
		}
		p.quarantined = guilty[id]
		if p.separate < len(p.ends) {
			p.separate = max(p.separate, p.countEnds(nil, now))
		}
		if !guilty[id] && p.position != WholeRequest && p.unrefutedCount(nil) < minKeptEnds {
			p.ends = slices.DeleteFunc(p.ends, func(e partEnd) bool { return !e.refuted && explained[e.boot] })
			p.separate = min(p.separate, p.unrefutedCount(nil))
		}
	}
	slices.Sort(quarantined)
	slices.Sort(released)
	return quarantined, released
}

// mostSuspect returns the most suspect one of the candidates, without the explained ends;
// empty if there is none.
func mostSuspect(candidates map[string]*suspectPart, explained map[string]bool, now time.Time) string {
	worst, worstCount := "", 0
	for id, p := range candidates {
		if !p.suspect(explained, now) {
			continue
		}
		count := p.countEnds(explained, now)
		if worst == "" || moreSuspect(id, p, count, worst, candidates[worst], worstCount, explained) {
			worst, worstCount = id, count
		}
	}
	return worst
}

// moreSuspect orders suspect parts with the given numbers of separate ends. Of equally rare
// parts with as many separate ends, the one with more ends in all explains those of the
// other one, if that was there by chance. All entry instances with the same ends have the
// same order.
func moreSuspect(idA string, a *suspectPart, countA int, idB string, b *suspectPart, countB int, explained map[string]bool) bool {
	switch {
	case a.knownSound != b.knownSound:
		return b.knownSound
	case countA != countB:
		return countA > countB
	case a.position != b.position:
		return a.position > b.position
	}
	if allA, allB := a.unrefutedCount(explained), b.unrefutedCount(explained); allA != allB {
		return allA > allB
	}
	return idA < idB
}

// suspect reports whether enough servers have ended under the part, the last one
// within p.quarantineTime. The ends of the explained boots do not count, but two requests
// that end servers may meet at one: one of the ends of a request as a whole may be
// explained.
func (p *suspectPart) suspect(explained map[string]bool, now time.Time) bool {
	needed := endsOfNewPart
	if p.knownSound {
		needed = endsOfSoundPart
	}
	switch {
	case len(p.ends) < needed:
		return false
	case p.position == WholeRequest:
		return p.countEnds(nil, now) >= needed && p.countEnds(explained, now) >= needed-1
	}
	return p.countEnds(explained, now) >= needed
}

// minSpacing returns the least time between two ends that count separately. A request as
// a whole that has never run comes to one server after the other, so a fault that ends
// several servers together does not add to its ends.
func (p *suspectPart) minSpacing() time.Duration {
	if p.position == WholeRequest && !p.knownSound {
		return 0
	}
	return minEndSpacing
}

// quarantineTime returns how long the part stays quarantined after the last end.
func (p *suspectPart) quarantineTime() time.Duration {
	if p.position == WholeRequest && !p.knownSound {
		return requestQuarantineTime
	}
	return quarantineTime
}

// countEnds returns the number of ends that are neither refuted nor explained and are
// minSpacing apart. It is 0 if the last one is p.quarantineTime ago. While none is
// explained, as many of them as p.separate count, even if they seem closer together.
func (p *suspectPart) countEnds(explained map[string]bool, now time.Time) int {
	all, spaced, separate, minSpacing := 0, 0, p.separate, p.minSpacing()
	var last time.Time
	for _, e := range p.ends {
		if explained[e.boot] {
			separate = 0
		}
		if e.refuted || explained[e.boot] || now.Sub(e.at) >= endMemory {
			continue
		}
		all++
		if spaced == 0 || e.at.Sub(last) >= minSpacing {
			spaced++
			last = e.at
		}
	}
	if now.Sub(last) >= p.quarantineTime() {
		return 0
	}
	return max(spaced, min(separate, all))
}

// lastEnd returns the time of the last end.
func (p *suspectPart) lastEnd() time.Time {
	if len(p.ends) == 0 {
		return time.Time{}
	}
	return p.ends[len(p.ends)-1].at
}

// expire removes the parts without an end within endMemory, at most once in each
// expireInterval.
func (q *PartQuarantine) expire(now time.Time) {
	if now.Sub(q.expiredAt) < expireInterval {
		return
	}
	q.expiredAt = now
	for id, p := range q.parts {
		if now.Sub(p.lastEnd()) >= endMemory {
			delete(q.parts, id)
		}
	}
}

// makeRoom removes the part with the oldest last end if there are maxSuspectParts, or that
// of the whole requests if there are maxSuspectRequests. Quarantined ones are removed only
// if there are no others.
func (q *PartQuarantine) makeRoom(wholeRequests bool) {
	limit, count, oldest := maxSuspectParts, 0, ""
	if wholeRequests {
		limit = maxSuspectRequests
	}
	for id, p := range q.parts {
		if (p.position == WholeRequest) != wholeRequests {
			continue
		}
		count++
		o := q.parts[oldest]
		if o == nil || o.quarantined && !p.quarantined || o.quarantined == p.quarantined && p.lastEnd().Before(o.lastEnd()) {
			oldest = id
		}
	}
	if count >= limit {
		delete(q.parts, oldest)
	}
}

// unrefutedCount returns the number of ends that are neither refuted nor explained.
func (p *suspectPart) unrefutedCount(explained map[string]bool) int {
	count := 0
	for _, e := range p.ends {
		if !e.refuted && !explained[e.boot] {
			count++
		}
	}
	return count
}
