// Package partarchive keeps in the platform's store which prompt parts are quarantined,
// so that entry instances that have all been restarted at once know them.
package partarchive

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// retryPause is the pause after a failed call of the store.
	retryPause = 500 * time.Millisecond
	// maxParts limits the parts that wait to be written, and those that are restored.
	maxParts = 256
	// maxRemovals is the largest number of rows that one call removes.
	maxRemovals = 100
	// maxKeyBytes is the length of the longest key of a row.
	maxKeyBytes = 200
)

var (
	eventRestored = eventlog.Define(549, "parts-restored", logrus.InfoLevel,
		"This entry instance has read from the store which prompt parts were quarantined before it started; the fields give their number and that of the outdated rows, which it removes. If the line has an error, the call failed and is tried again.")
	eventSaved = eventlog.Define(550, "part-saved", logrus.InfoLevel,
		"This entry instance has written to the store that a prompt part is quarantined or, with 0 ends, released. If the line has an error, the call failed and is tried again.")
	eventRowRejected = eventlog.Define(551, "part-row-rejected", logrus.WarnLevel,
		"A row of the store about a quarantined prompt part cannot be decoded or holds invalid values; it is not used.")
	eventRemoved = eventlog.Define(553, "part-rows-removed", logrus.InfoLevel,
		"This entry instance has removed outdated rows about prompt parts from the store. If the line has an error, they stay until an entry instance starts.")
	eventNotSaved = eventlog.Define(552, "part-not-saved", logrus.WarnLevel,
		"A quarantined prompt part is not written to the store, because its ID is too long or too many others wait.")
)

// Store is the part of the platform's store that an [Archive] uses.
type Store interface {
	// List returns all rows of a table and the store's position.
	List(ctx context.Context, t catalog.Table) ([]catalog.Row, catalog.Position, error)
	// Put writes a row. It returns the store's era in which it was written.
	Put(ctx context.Context, t catalog.Table, key string, value []byte) (era uint64, err error)
	// Remove removes rows.
	Remove(ctx context.Context, t catalog.Table, keys []string) error
}

// Config holds the settings and dependencies of an [Archive].
type Config struct {
	// Store holds the rows.
	Store Store
	// Restore adds the parts that were quarantined. The error names what is invalid; the
	// valid parts are added nevertheless.
	Restore func([]frame.SuspectPart) error
	// MaxEndAge is the age from which the end of a server no longer matters.
	MaxEndAge time.Duration
	// Log receives the events.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
}

// Archive writes the quarantined parts to the store and restores them after a start. It
// is safe for concurrent use.
type Archive struct {
	cfg Config
	// restored is true once the parts have been restored, and written holds the rows that
	// this process wrote and has not removed, by the ID of the part. Only Run uses them.
	restored bool
	written  map[string]writtenRow

	mu sync.Mutex
	// pending holds the rows that must be written, by the ID of the part.
	pending map[string]row
	// era is the store's newest known era.
	era uint64
	// wake receives a value when pending is no longer empty, or era has risen.
	wake chan struct{}
}

// writtenRow is a row that this process wrote.
type writtenRow struct {
	row row
	// at is the time of the first write of this state, and era the store's era at the
	// last one.
	at  time.Time
	era uint64
}

// row is the content of a row of the store.
type row struct {
	Part frame.SuspectPart `cbor:"1,keyasint"`
	// SavedUnixMs is the time to which the ages of the ends refer, by the clock of the
	// writer. The clocks of machines differ by seconds, which matters little against
	// MaxEndAge.
	SavedUnixMs int64 `cbor:"2,keyasint"`
}

// New returns an Archive; Run restores the parts and writes them.
func New(cfg Config) *Archive {
	return &Archive{cfg: cfg, pending: map[string]row{}, written: map[string]writtenRow{}, wake: make(chan struct{}, 1)}
}

// Save makes Run write the state of a part that has been quarantined or, if it has no
// ends, released. It does not block.
func (a *Archive) Save(part frame.SuspectPart) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addPending(row{Part: part, SavedUnixMs: a.cfg.Clock.Now().UnixMilli()})
	a.wakeUp()
}

// wakeUp makes Run take a step.
func (a *Archive) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetStoreEra tells the Archive in which era the store is. In a newer era the rows that
// were written before may be gone, and Run writes them again. It does not block.
func (a *Archive) SetStoreEra(era uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era > a.era {
		a.era = era
		a.wakeUp()
	}
}

// storeEra returns the store's newest known era.
func (a *Archive) storeEra() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// addPending makes a row pending, unless that would exceed a limit. The caller holds
// a.mu.
func (a *Archive) addPending(r row) {
	id := r.Part.ID
	if _, known := a.pending[id]; len(id) > maxKeyBytes || !known && len(a.pending) >= maxParts {
		a.cfg.Log.Event(eventNotSaved, eventlog.Fields{"part": id[:min(len(id), maxKeyBytes)], "pending": len(a.pending)})
		return
	}
	a.pending[id] = r
}

// Run restores the parts from the store and then writes those given to Save, until ctx
// ends. It tries failed calls again.
func (a *Archive) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var wait <-chan time.Time
		if !a.step(ctx) {
			wait = a.cfg.Clock.After(retryPause)
		}
		select {
		case <-ctx.Done():
		case <-wait:
		case <-a.wake:
		}
	}
	return nil
}

// step makes the calls that are due, and returns whether all succeeded. After a failed
// call it makes no other.
func (a *Archive) step(ctx context.Context) bool {
	if !a.restored {
		err := a.restore(ctx)
		if err != nil {
			a.cfg.Log.EventWithError(eventRestored, err, eventlog.Fields{})
			return false
		}
		a.restored = true
	}
	for r, ok := a.takePending(); ok; r, ok = a.takePending() {
		if err := a.write(ctx, r); err != nil {
			a.cfg.Log.EventWithError(eventSaved, err, eventlog.Fields{"part": r.Part.ID})
			a.putBack(r)
			return false
		}
	}
	if err := a.writeLost(ctx); err != nil {
		a.cfg.Log.EventWithError(eventSaved, err, eventlog.Fields{})
		return false
	}
	a.removeOutdated(ctx)
	return true
}

// writeLost writes the rows again that this process wrote in an earlier era of the
// store.
func (a *Archive) writeLost(ctx context.Context) error {
	now, era := a.cfg.Clock.Now(), a.storeEra()
	for id, w := range a.written {
		if w.era >= era || now.Sub(w.at) >= a.cfg.MaxEndAge {
			continue
		}
		if err := a.write(ctx, w.row); err != nil {
			return err
		}
		a.written[id] = writtenRow{row: w.row, at: w.at, era: max(era, a.written[id].era)}
	}
	return nil
}

// takePending removes one of the pending rows and returns it, or false if there are
// none.
func (a *Archive) takePending() (row, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.pending {
		delete(a.pending, id)
		return r, true
	}
	return row{}, false
}

// putBack makes a row pending again, unless Save has got a newer state of the part.
func (a *Archive) putBack(r row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, newer := a.pending[r.Part.ID]; !newer {
		a.addPending(r)
	}
}

// write writes a row.
func (a *Archive) write(ctx context.Context, r row) error {
	var era uint64
	value, err := cbor.Marshal(r)
	if err == nil {
		era, err = a.cfg.Store.Put(ctx, catalog.TableQuarantine, r.Part.ID, value)
	}
	if err != nil {
		return core.WrapStep("save prompt part", r.Part.ID, err)
	}
	a.written[r.Part.ID] = writtenRow{row: r, at: a.cfg.Clock.Now(), era: era}
	a.cfg.Log.Event(eventSaved, eventlog.Fields{"part": r.Part.ID, "ends": len(r.Part.Ends)})
	return nil
}

// removeOutdated removes the rows that this process wrote MaxEndAge ago.
func (a *Archive) removeOutdated(ctx context.Context) {
	now := a.cfg.Clock.Now()
	var outdated []string
	for id, w := range a.written {
		if now.Sub(w.at) >= a.cfg.MaxEndAge {
			outdated = append(outdated, id)
			delete(a.written, id)
		}
	}
	a.remove(ctx, outdated)
}

// remove removes rows. Those that it cannot remove are removed after the next start of
// an entry instance, because nobody needs them until then.
func (a *Archive) remove(ctx context.Context, ids []string) {
	for chunk := range slices.Chunk(ids, maxRemovals) {
		if err := a.cfg.Store.Remove(ctx, catalog.TableQuarantine, chunk); err != nil {
			a.cfg.Log.EventWithError(eventRemoved, err, eventlog.Fields{"rows": len(chunk)})
			return
		}
		a.cfg.Log.Event(eventRemoved, eventlog.Fields{"rows": len(chunk)})
	}
}

// restore reads the rows, adds the parts that still matter, and removes the other rows.
func (a *Archive) restore(ctx context.Context) error {
	rows, _, err := a.cfg.Store.List(ctx, catalog.TableQuarantine)
	if err != nil {
		return err
	}
	parts, outdated := a.selectParts(rows)
	if err := a.cfg.Restore(parts); err != nil {
		a.cfg.Log.EventWithError(eventRowRejected, err, eventlog.Fields{})
	}
	a.cfg.Log.Event(eventRestored, eventlog.Fields{"parts": len(parts), "outdated": len(outdated)})
	a.remove(ctx, outdated)
	return nil
}

// selectParts returns the parts in the rows that still matter, at most maxParts of them
// and the latest ones first, with the present ages of their ends, and the keys of the
// other rows.
func (a *Archive) selectParts(rows []catalog.Row) (parts []frame.SuspectPart, outdated []string) {
	now := a.cfg.Clock.Now()
	var current []row
	for _, stored := range rows {
		var r row
		if err := cbor.Unmarshal(stored.Value, &r); err != nil || r.Part.ID != stored.Key {
			a.cfg.Log.EventWithError(eventRowRejected, err, eventlog.Fields{"key": stored.Key})
			outdated = append(outdated, stored.Key)
			continue
		}
		passed := max(0, now.Sub(time.UnixMilli(r.SavedUnixMs)))
		// The ages are compared before the addition, which could overflow.
		maxAgeMs := (a.cfg.MaxEndAge - passed).Milliseconds()
		r.Part.Ends = slices.DeleteFunc(r.Part.Ends, func(e frame.PartEnd) bool { return e.AgeMs < 0 || e.AgeMs >= maxAgeMs })
		for i := range r.Part.Ends {
			r.Part.Ends[i].AgeMs += passed.Milliseconds()
		}
		if len(r.Part.Ends) == 0 {
			outdated = append(outdated, stored.Key)
			continue
		}
		current = append(current, r)
	}
	slices.SortStableFunc(current, func(x, y row) int { return cmp.Compare(y.SavedUnixMs, x.SavedUnixMs) })
	for i, r := range current {
		if i < maxParts {
			parts = append(parts, r.Part)
		} else {
			outdated = append(outdated, r.Part.ID)
		}
	}
	return parts, outdated
}
