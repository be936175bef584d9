// Package rowpatch encodes the value of a store's row for a receiver that may have an
// earlier value of the row, the base. Patches are small if long runs of the value occur
// in the base, in whatever order. Neither function keeps memory between calls. All sizes
// are in bytes.
//
// The digests in a patch detect another base and damage; they are no protection from a
// sender that forges a value.
//
// A patch consists of its format, the digests of base and value with 64 bits each, the
// lengths of the value, of its literals and of the encoded copies, the copies, and the
// literals. A copy is the length of the literals before it, the length of a run of the
// base, and the run's position relative to the end of the previous run. Literals that no
// copy follows are the end of the value. Numbers are varints.
package rowpatch

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

var (
	// ErrBase means that the patch was made from another base.
	ErrBase = errors.New("patch is for another base")
	// ErrCorrupt means that the patch is malformed or makes a value that is not the one
	// that was encoded.
	ErrCorrupt = errors.New("patch is corrupt")
)

const (
	formatRaw  = 1
	formatZstd = 2

	digestBytes = 8
	// maxHeaderBytes is the maximum size of a patch without copies and literals.
	maxHeaderBytes = 1 + 2*digestBytes + 3*binary.MaxVarintLen64
	// minZstdBytes is the length of literals from which on compression is tried.
	minZstdBytes = 512
	zstdWindow   = 64 << 10
	// minDecoderMemory is the largest window that an encoder declares for literals of up
	// to zstd.MinWindowSize.
	minDecoderMemory = 2 * zstd.MinWindowSize
)

// Encode returns a patch from which Apply makes value, given base. With an empty base it
// is the compressed value.
func Encode(base, value []byte) ([]byte, error) {
	copies := findCopies(base, value)
	literals := literalsOf(value, copies)
	var encodedCopies []byte
	next := 0
	for _, c := range copies {
		encodedCopies = appendNumbers(encodedCopies, c.literals, c.length, c.from-next)
		next = c.from + c.length
	}
	format, payload := byte(formatRaw), literals
	if len(literals) >= minZstdBytes {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(zstdWindow))
		if err != nil {
			return nil, errors.Wrap(err, "create encoder of literals")
		}
		if compressed := encoder.EncodeAll(literals, nil); len(compressed) < len(literals) {
			format, payload = formatZstd, compressed
		}
	}
	patch := append(make([]byte, 0, maxHeaderBytes+len(encodedCopies)+len(payload)), format)
	patch = binary.BigEndian.AppendUint64(patch, xxhash.Sum64(base))
	patch = binary.BigEndian.AppendUint64(patch, xxhash.Sum64(value))
	patch = appendNumbers(patch, len(value), len(literals), len(encodedCopies))
	return append(append(patch, encodedCopies...), payload...), nil
}

// Apply returns the value from which Encode made patch, given the same base. The value
// shares no memory with base and patch. The error is ErrBase if base is another one, and
// ErrCorrupt if the patch or its result is wrong. A value of more than maxBytes is an error.
func Apply(base, patch []byte, maxBytes int) ([]byte, error) {
	if len(patch) < 1+2*digestBytes || patch[0] != formatRaw && patch[0] != formatZstd {
		return nil, errors.Wrapf(ErrCorrupt, "header in %d bytes", len(patch))
	}
	if has, want := xxhash.Sum64(base), binary.BigEndian.Uint64(patch[1:]); has != want {
		return nil, errors.Wrapf(ErrBase, "base with digest %016x, not %016x", has, want)
	}
	want, r := binary.BigEndian.Uint64(patch[1+digestBytes:]), reader(patch[1+2*digestBytes:])
	valueBytes, literalBytes, copiesBytes := r.number(), r.number(), r.number()
	if literalBytes < 0 || literalBytes > valueBytes || copiesBytes < 0 || copiesBytes > int64(len(r)) {
		return nil, errors.Wrapf(ErrCorrupt, "lengths %d, %d, %d", valueBytes, literalBytes, copiesBytes)
	}
	if valueBytes > int64(maxBytes) {
		return nil, errors.Errorf("value has %d bytes, more than the limit of %d", valueBytes, maxBytes)
	}
	value := make([]byte, valueBytes)
	// The literals are decoded into the end of the value. What is still to be made of the
	// value is never shorter than the literals still to be used, so none is overwritten
	// before its use.
	if err := decodeLiterals(value[valueBytes-literalBytes:], r[copiesBytes:], patch[0]); err != nil {
		return nil, err
	}
	if !r[:copiesBytes].copyRuns(base, value, literalBytes) {
		return nil, errors.Wrapf(ErrCorrupt, "copies for a value of %d bytes", valueBytes)
	}
	if has := xxhash.Sum64(value); has != want {
		return nil, errors.Wrapf(ErrCorrupt, "value with digest %016x, not %016x", has, want)
	}
	return value, nil
}

// decodeLiterals fills literals from payload.
func decodeLiterals(literals, payload []byte, format byte) error {
	if format == formatZstd {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecodeAllCapLimit(true),
			zstd.WithDecoderMaxMemory(uint64(max(len(literals), minDecoderMemory))))
		if err != nil {
			return errors.Wrap(err, "create decoder of literals")
		}
		defer decoder.Close()
		if payload, err = decoder.DecodeAll(payload, literals[:0:len(literals)]); err != nil {
			return errors.Wrapf(ErrCorrupt, "decode literals: %v", err)
		}
	}
	if len(payload) != len(literals) {
		return errors.Wrapf(ErrCorrupt, "%d bytes of literals, not %d", len(payload), len(literals))
	}
	copy(literals, payload)
	return nil
}

// appendNumbers appends the encoded numbers to b.
func appendNumbers(b []byte, numbers ...int) []byte {
	for _, n := range numbers {
		b = binary.AppendVarint(b, int64(n))
	}
	return b
}

// reader is the unread part of a patch.
type reader []byte

// number returns the next number, or math.MinInt64, which is no length or position, if
// there is none.
func (r *reader) number() int64 {
	v, n := binary.Varint(*r)
	if n <= 0 {
		return math.MinInt64
	}
	*r = (*r)[n:]
	return v
}

// copyRuns makes value from the literals at its end and the runs of base that the copies
// in r name. It reports whether these are valid and make the whole value.
func (r reader) copyRuns(base, value []byte, literals int64) bool {
	var done, next int64
	for len(r) > 0 {
		before, length, shift := r.number(), r.number(), r.number()
		if before < 0 || before > literals || shift < -next || shift > int64(len(base))-next {
			return false
		}
		done += int64(copy(value[done:], value[int64(len(value))-literals:][:before]))
		literals, next = literals-before, next+shift
		if length < 0 || length > int64(len(base))-next || length > int64(len(value))-literals-done {
			return false
		}
		done += int64(copy(value[done:], base[next:][:length]))
		next += length
	}
	return done+literals == int64(len(value))
}
