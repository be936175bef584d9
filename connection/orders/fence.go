package orders

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
)

// ErrSuperseded is returned when another agent has taken a fencing number for the
// same backend server since this agent last took one.
var ErrSuperseded = errors.New("superseded: another agent has taken a newer fencing number for this backend server")

const (
	// fencePrefix is the prefix of a counter row's key; the name of the
	// backend server follows.
	fencePrefix = "fence/"
	// maxFenceAttempts is the maximum number of attempts to increment the counter
	// when other writes conflict, or when a write with an unknown outcome had no
	// effect.
	maxFenceAttempts = 5
)

// fenceRow is the content of the table row that counts the fencing numbers of
// one backend server.
type fenceRow struct {
	// Fence is the last fencing number taken.
	Fence uint64 `json:"fence"`
	// Holder is the incarnation of the agent that took the number.
	Holder string `json:"holder"`
}

// fenceCounter takes fencing numbers for one backend server from a row of the
// table.
type fenceCounter struct {
	table       platform.Table
	key         string
	incarnation string
	// hasTakenNumber is true once this agent has taken a number.
	hasTakenNumber bool
}

// next takes and returns the next fencing number. If another agent has taken a
// number since this agent's last number, next returns ErrSuperseded, unless
// takeOver is true.
func (f *fenceCounter) next(ctx context.Context, takeOver bool) (uint64, error) {
	var lastErr error
	for range maxFenceAttempts {
		row, revision, err := f.read(ctx)
		if err != nil {
			return 0, err
		}
		if f.hasTakenNumber && row.Holder != f.incarnation && !takeOver {
			return 0, ErrSuperseded
		}
		newRow := fenceRow{Fence: row.Fence + 1, Holder: f.incarnation}
		err = f.write(ctx, newRow, revision)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			err = f.confirmWrite(ctx, newRow)
		}
		if err == nil {
			f.hasTakenNumber = true
			return newRow.Fence, nil
		}
		lastErr = err
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	return 0, core.WrapStep("take fencing number", "table", lastErr)
}

// read returns the counter row and its revision, both zero if there is no row.
func (f *fenceCounter) read(ctx context.Context) (fenceRow, uint64, error) {
	var row fenceRow
	stored, err := f.table.Get(ctx, f.key, 0)
	if errors.Is(err, platform.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, core.WrapStep("read fencing number", "table", err)
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, 0, core.WrapStep("decode fencing number", "table", err)
	}
	return row, stored.Revision, nil
}

// write stores the counter row if the row in the table still has the given
// revision.
func (f *fenceCounter) write(ctx context.Context, row fenceRow, revision uint64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return f.table.Commit(ctx, []platform.Write{{
		Key: f.key, Value: value, If: platform.IfRevision(revision),
	}})
}

// confirmWrite returns nil if a write with an unknown outcome took effect, and
// platform.ErrConflict if the write had no effect. An agent writes each number at
// most once, so a row with this number and incarnation comes from that write.
func (f *fenceCounter) confirmWrite(ctx context.Context, newRow fenceRow) error {
	row, _, err := f.read(ctx)
	if err != nil {
		return err
	}
	if row != newRow {
		return platform.ErrConflict
	}
	return nil
}
