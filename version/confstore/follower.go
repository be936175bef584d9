package confstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	// defaultPollInterval is the default time between two reads of the head
	// row, which describes the newest version.
	defaultPollInterval = time.Second
	// maxPollJitter is the maximum random change of the poll interval, as a
	// share of the interval. The jitter spreads the reads of many instances over
	// time.
	maxPollJitter = 0.1
	// maxDeltas is the maximum number of deltas that one update reads. A
	// process that is more than maxDeltas versions behind reads the full
	// snapshot instead.
	maxDeltas = 16
)

var (
	eventFetched = eventlog.Define(201, "configuration-fetched", logrus.InfoLevel,
		"A newer configuration was read from the platform and took effect in this process.")
	eventFetchFailed = eventlog.Define(202, "configuration-fetch-failed", logrus.ErrorLevel,
		"The platform has a newer configuration that could not be read or failed its check; the current configuration stays in effect.")
	eventPlatformUnavailable = eventlog.Define(203, "configuration-platform-lost", logrus.WarnLevel,
		"The platform's table does not respond; the process continues with the current configuration and with newer ones from its peers.")
	eventPlatformAvailable = eventlog.Define(204, "configuration-platform-back", logrus.InfoLevel,
		"The platform's table responds again.")
	eventPlatformBehind = eventlog.Define(205, "configuration-platform-behind", logrus.ErrorLevel,
		"The platform's newest configuration is older than the current one of this process, or has the same number and another digest; the process keeps its current configuration.")
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// PollInterval is the time between two reads of the head row. Default 1 s.
	PollInterval time.Duration
}

// applyDefaults sets every field that has its zero value to its default.
func (c *FollowerConfig) applyDefaults() {
	core.SetDefault(&c.PollInterval, defaultPollInterval)
}

// Follower polls the platform for newer versions and offers them to a Holder.
type Follower struct {
	config  FollowerConfig
	table   platform.Table
	objects platform.ObjectStore
	holder  *Holder
	log     *eventlog.Logger
	clock   clockwork.Clock

	// revision is the revision of the head row that was last processed.
	revision uint64
	// platformUnavailable is true if the last poll failed because the platform
	// was unavailable or refused the call.
	platformUnavailable bool
}

// NewFollower returns a Follower that offers new versions to holder. Run starts the
// polling.
func NewFollower(config FollowerConfig, table platform.Table, objects platform.ObjectStore, holder *Holder, log *eventlog.Logger, clock clockwork.Clock) *Follower {
	config.applyDefaults()
	return &Follower{config: config, table: table, objects: objects, holder: holder, log: log, clock: clock}
}

// Run polls the platform until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for {
		start := f.clock.Now()
		f.logAvailability(f.poll(ctx))
		delay := f.pollDelay(elapsed(start, f.clock.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(delay):
		}
	}
}

// pollDelay returns the time until the next poll, given the duration of the last
// poll. If the last poll took more than four intervals, this process was probably
// paused, and the next poll follows immediately.
func (f *Follower) pollDelay(lastPollDuration time.Duration) time.Duration {
	if lastPollDuration > 4*f.config.PollInterval {
		return 0
	}
	factor := 1 + maxPollJitter*(2*rand.Float64()-1)
	return time.Duration(float64(f.config.PollInterval) * factor)
}

// poll reads the head row once and offers a newer version to the Holder.
func (f *Follower) poll(ctx context.Context) error {
	requestedAt := f.clock.Now()
	row, err := f.table.Get(ctx, headKey, f.revision)
	if errors.Is(err, platform.ErrNotModified) || errors.Is(err, platform.ErrNotFound) {
		f.holder.Confirm(requestedAt)
		return nil
	}
	if err != nil {
		return err
	}
	head, err := decodeRecord(headKey, row.Value)
	if err != nil {
		return err
	}
	if err := f.updateTo(ctx, head.HistoryEntry); err != nil {
		return err
	}
	f.revision = row.Revision
	f.holder.Confirm(requestedAt)
	return nil
}

// updateTo offers the version that head describes to the Holder if that version
// is newer than the current version. It logs an event if head is older, or if
// head and the current version have the same number but different digests.
func (f *Follower) updateTo(ctx context.Context, head HistoryEntry) error {
	current := f.holder.Current()
	if head.Number < current.Number || head.Number == current.Number && head.Digest != current.Digest {
		f.log.Event(eventPlatformBehind, eventlog.Fields{"number": head.Number, "in_force": current.Number})
		return nil
	}
	if head.Number == current.Number {
		return nil
	}
	snapshot, how, err := f.fetch(ctx, current, head)
	if err != nil {
		f.log.EventWithError(eventFetchFailed, err, eventlog.Fields{"number": head.Number, "in_force": current.Number})
		return err
	}
	if f.holder.Offer(snapshot) {
		f.log.Event(eventFetched, eventlog.Fields{
			"number": snapshot.Number,
			"digest": snapshot.Digest.Short(),
			"from":   current.Number,
			"how":    how,
			"author": head.Author,
			"change": head.ChangeID,
		})
	}
	return nil
}

// fetch reads the version that head describes. If head is at most maxDeltas
// versions newer than current, fetch reads deltas. If the difference is larger or
// the deltas cannot be used, fetch reads the full snapshot. how names the method
// in the log: "difference" for deltas, "whole" for a snapshot.
func (f *Follower) fetch(ctx context.Context, current *declare.Snapshot, head HistoryEntry) (s *declare.Snapshot, how string, err error) {
	if current.Number > 0 && head.Number-current.Number <= maxDeltas {
		if s, err := f.fetchDeltas(ctx, current, head); err == nil {
			return s, "difference", nil
		}
	}
	s, err = loadSnapshot(ctx, f.objects, head)
	return s, "whole", err
}

// fetchDeltas applies the deltas of the history rows after current, and returns the
// version that head describes. It returns ErrIntegrity if the rows do not lead to
// that version.
func (f *Follower) fetchDeltas(ctx context.Context, current *declare.Snapshot, head HistoryEntry) (*declare.Snapshot, error) {
	count := int(head.Number - current.Number)
	rows, err := f.table.List(ctx, historyPrefix, historyKey(current.Number), count)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		rec, err := decodeRecord(row.Key, row.Value)
		if err != nil {
			return nil, err
		}
		if current, err = applyRecord(current, rec); err != nil {
			return nil, err
		}
	}
	if current.Number != head.Number || current.Digest != head.Digest {
		return nil, core.WrapStep("follow history", "", ErrIntegrity)
	}
	return current, nil
}

// applyRecord applies the delta of rec to previous. It returns ErrIntegrity if
// previous is not the version directly before rec.
func applyRecord(previous *declare.Snapshot, rec record) (*declare.Snapshot, error) {
	if rec.Number != previous.Number+1 || rec.Parent != previous.Digest {
		return nil, fmt.Errorf("%w: version %d does not follow version %d", ErrIntegrity, rec.Number, previous.Number)
	}
	set, err := declare.ApplyDelta(previous.Set, rec.Delta, rec.Digest)
	if err != nil {
		return nil, err
	}
	return &declare.Snapshot{Number: rec.Number, Digest: rec.Digest, Set: set}, nil
}

// logAvailability logs when the platform becomes unavailable, and when the platform
// is available again. err is the result of a poll.
func (f *Follower) logAvailability(err error) {
	lost := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRefused)
	if lost && !f.platformUnavailable {
		f.log.EventWithError(eventPlatformUnavailable, err, eventlog.Fields{"in_force": f.holder.Current().Number})
	}
	if err == nil && f.platformUnavailable {
		f.log.Event(eventPlatformAvailable, eventlog.Fields{"in_force": f.holder.Current().Number})
	}
	f.platformUnavailable = lost
}
