package once

import (
	"context"
	"math/rand/v2"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// sweepPage is the number of rows that Sweep lists at once.
const sweepPage = 200

// Run removes expired records at random intervals until ctx ends. Random
// intervals make it unlikely that several entry instances do this at the same
// time.
func (s *RecordStore) Run(ctx context.Context) error {
	for {
		pause := s.config.SweepInterval/2 + rand.N(s.config.SweepInterval)
		if err := s.sleep(ctx, pause); err != nil {
			return nil
		}
		n, err := s.Sweep(ctx)
		if err != nil {
			s.log.EventWithError(eventTableFailed, err, eventlog.Fields{"step": "sweep"})
			continue
		}
		if n > 0 {
			s.log.Event(eventSwept, eventlog.Fields{"rows": n})
		}
	}
}

// Sweep removes the expired records and returns their number.
func (s *RecordStore) Sweep(ctx context.Context) (int, error) {
	removed := 0
	for after := ""; ; {
		rows, err := s.table.List(ctx, rowPrefix, after, sweepPage)
		if err != nil {
			return removed, core.WrapStep("list once-only records", "table", err)
		}
		for _, row := range rows {
			ok, err := s.removeIfExpired(ctx, row)
			if err != nil {
				return removed, err
			}
			if ok {
				removed++
			}
		}
		if len(rows) < sweepPage {
			return removed, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// removeIfExpired removes row if its record has expired, and reports whether it
// did.
func (s *RecordStore) removeIfExpired(ctx context.Context, row platform.Row) (bool, error) {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return false, err
	}
	if s.clock.Now().Before(rec.Expires) {
		return false, nil
	}
	err = s.table.Commit(ctx, []platform.Write{{
		Key: row.Key, Delete: true, If: platform.IfRevision(row.Revision),
	}})
	return err == nil, core.WrapStep("remove once-only record", "table", err)
}
