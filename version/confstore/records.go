package confstore

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Keys of rows and names of objects on the platform.
const (
	// headKey is the key of the head row, which describes the newest version.
	headKey = "config/head"
	// historyPrefix begins the key of a history row; each version has one such
	// row.
	historyPrefix = "config/history/"
	// changesPrefix begins the key of a row that maps a change id to a version.
	changesPrefix = "config/changes/"
	// snapshotsPrefix begins the name of the object with a version's content.
	snapshotsPrefix = "config/snapshots/"
)

// Maximum sizes in bytes.
const (
	maxAuthorBytes   = 128
	maxReasonBytes   = 1024
	maxChangeIDBytes = 128
	// maxDeltaBytes is the maximum size of a delta stored in a history row. A
	// larger delta is not stored, and readers load the full snapshot.
	maxDeltaBytes = 32 << 10
)

// ErrIntegrity is returned when a stored record or snapshot does not match its
// digest or the other records. It was then damaged, or was not written by this
// package.
var ErrIntegrity = errors.New("record is damaged")

// HistoryEntry describes one accepted version in the history.
type HistoryEntry struct {
	// Number is the version number, from 1.
	Number uint64 `json:"number"`
	// Digest is the digest of the encoded set.
	Digest core.Digest `json:"digest"`
	// Parent is the digest of the previous version; empty for version 1.
	Parent core.Digest `json:"parent,omitempty"`
	// Author is the operator who made the change.
	Author string `json:"author"`
	// Reason is the operator's reason for the change.
	Reason string `json:"reason"`
	// ChangeID identifies the change; retries of the change have the same id.
	ChangeID string `json:"changeId"`
	// Time is when the version was accepted, in UTC.
	Time time.Time `json:"time"`
	// ChangeCount is the number of objects that differ from the previous version.
	ChangeCount int `json:"changes"`
}

// record is the stored form of a HistoryEntry, with a delta and a checksum.
type record struct {
	HistoryEntry
	// Delta is the encoded delta from the previous version. It is empty in the
	// head row and the change rows, and when the delta is larger than
	// maxDeltaBytes.
	Delta []byte `json:"delta,omitempty"`
	// Sum is the digest of the record's encoding with Sum empty.
	Sum core.Digest `json:"sum"`
}

// computeSum returns the digest of r's encoding with Sum empty.
func (r record) computeSum() (core.Digest, error) {
	r.Sum = ""
	body, err := json.Marshal(r)
	if err != nil {
		return "", errors.Wrap(err, "encode record")
	}
	return core.DigestOf(body), nil
}

// encodeRecord returns r as JSON with its Sum set.
func encodeRecord(r record) ([]byte, error) {
	sum, err := r.computeSum()
	if err != nil {
		return nil, err
	}
	r.Sum = sum
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return body, nil
}

// decodeRecord decodes the record in the row key and checks its Sum. It returns
// ErrIntegrity when the record is damaged.
func decodeRecord(key string, body []byte) (record, error) {
	var r record
	if err := json.Unmarshal(body, &r); err != nil {
		return record{}, fmt.Errorf("%w: row %s: %v", ErrIntegrity, key, err)
	}
	sum, err := r.computeSum()
	if err != nil {
		return record{}, err
	}
	if sum != r.Sum {
		return record{}, fmt.Errorf("%w: row %s: digest does not match", ErrIntegrity, key)
	}
	return r, nil
}

// historyKey returns the key of the history row of a version.
func historyKey(number uint64) string { return fmt.Sprintf("%s%016d", historyPrefix, number) }

// parseHistoryKey returns the version number in the key of a history row.
func parseHistoryKey(key string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(key, historyPrefix), 10, 64)
}

// changeKey returns the key of the row that maps a change id to its version. The id
// is escaped because operators may choose any characters; the prefix "id-" keeps
// the last part of the key from being "." or "..".
func changeKey(id string) string { return changesPrefix + "id-" + url.QueryEscape(id) }

// snapshotName returns the object name of a version's encoded set. The name contains
// the version number, so that versions with equal sets have separate objects and an
// old version can be deleted without the others.
func snapshotName(number uint64, d core.Digest) string {
	return fmt.Sprintf("%s%016d-%s", snapshotsPrefix, number, d)
}
