package once

import (
	"context"
	"math/rand/v2"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// sweepPageSize is the maximum number of rows that Sweep lists at once.
const sweepPageSize = 200

// Run removes expired records at random intervals until ctx ends. Random
// intervals make it rare that several entry instances remove records at the same
// time.
func (s *RecordStore) Run(ctx context.Context) error {
	for {
		pause := s.config.SweepInterval/2 + rand.N(s.config.SweepInterval)
		if err := s.sleep(ctx, pause); err != nil {
			return nil
		}
		removedCount, err := s.Sweep(ctx)
		if err != nil {
			s.log.EventWithError(eventTableFailed, err, eventlog.Fields{"step": "sweep"})
			continue
		}
		if removedCount > 0 {
			s.log.Event(eventSwept, eventlog.Fields{"rows": removedCount})
		}
	}
}

// Sweep removes the expired records. It returns the number of records removed,
// even if there is an error.
func (s *RecordStore) Sweep(ctx context.Context) (int, error) {
	removedCount := 0
	for after := ""; ; {
		rows, err := s.table.List(ctx, rowPrefix, after, sweepPageSize)
		if err != nil {
			return removedCount, core.WrapStep("list once-only records", "table", err)
		}
		for _, row := range rows {
			removed, err := s.removeIfExpired(ctx, row)
			if err != nil {
				return removedCount, err
			}
			if removed {
				removedCount++
			}
		}
		if len(rows) < sweepPageSize {
			return removedCount, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// removeIfExpired removes row if the record in the row has expired, and reports
// whether the row was removed.
func (s *RecordStore) removeIfExpired(ctx context.Context, row platform.Row) (bool, error) {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return false, err
	}
	if s.clock.Now().Before(rec.ExpiresAt) {
		return false, nil
	}
	err = s.table.Commit(ctx, []platform.Write{{
		Key: row.Key, Delete: true, If: platform.IfRevision(row.Revision),
	}})
	return err == nil, core.WrapStep("remove once-only record", "table", err)
}
