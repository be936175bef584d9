package rowpatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

var (
	// ErrBase means that the patch was made from another base.
	ErrBase = errors.New("patch is for another base")
	// ErrCorrupt means that the patch is malformed or that it does not result in the
	// value from which it was made.
	ErrCorrupt = errors.New("patch is corrupt")
)

const (
	formatRaw  = 1
	formatZstd = 2

	digestBytes = 8
	// maxHeaderBytes is the maximum size of a patch without copies and literals.
	maxHeaderBytes = 1 + 2*digestBytes + 3*binary.MaxVarintLen64
	// minZstdBytes is the length of literals from which on they are compressed.
	minZstdBytes = 512
	// zstdWindow is the distance within which literals are compressed.
	zstdWindow = 256 << 10
	// minDecoderMemory is more than the window that encoders declare for literals of
	// up to zstd.MinWindowSize.
	minDecoderMemory = 2 * zstd.MinWindowSize
)

// Encode returns a patch from which Apply makes value, given base. With an empty
// base, the patch is the compressed value.
func Encode(base, value []byte) ([]byte, error) {
	copies := findCopies(base, value)
	literals := literalsOf(value, copies)
	var encodedCopies []byte
	next := 0
	for _, c := range copies {
		encodedCopies = binary.AppendUvarint(encodedCopies, uint64(c.literals))
		encodedCopies = binary.AppendUvarint(encodedCopies, uint64(c.length))
		encodedCopies = binary.AppendVarint(encodedCopies, int64(c.from-next))
		next = c.from + c.length
	}
	format, payload := byte(formatRaw), literals
	if len(literals) >= minZstdBytes {
		compressed, err := compress(literals)
		if err != nil {
			return nil, err
		}
		if len(compressed) < len(literals) {
			format, payload = formatZstd, compressed
		}
	}
	patch := make([]byte, 0, maxHeaderBytes+len(encodedCopies)+len(payload))
	patch = append(patch, format)
	patch = binary.BigEndian.AppendUint64(patch, xxhash.Sum64(base))
	patch = binary.BigEndian.AppendUint64(patch, xxhash.Sum64(value))
	patch = binary.AppendUvarint(patch, uint64(len(value)))
	patch = binary.AppendUvarint(patch, uint64(len(literals)))
	patch = binary.AppendUvarint(patch, uint64(len(encodedCopies)))
	patch = append(patch, encodedCopies...)
	return append(patch, payload...), nil
}

// Apply returns the value from which Encode made patch, given the same base. The
// value does not share memory with base or patch. The error is ErrBase if base is
// not the one from which the patch was made, and ErrCorrupt if the patch or its
// result is wrong. A value of more than maxBytes is an error.
func Apply(base, patch []byte, maxBytes int) ([]byte, error) {
	if len(patch) < 1+2*digestBytes {
		return nil, errors.Wrapf(ErrCorrupt, "header in %d bytes", len(patch))
	}
	format, rest := patch[0], patch[1:]
	if format != formatRaw && format != formatZstd {
		return nil, errors.Wrapf(ErrCorrupt, "format %d", format)
	}
	if has, want := xxhash.Sum64(base), binary.BigEndian.Uint64(rest); has != want {
		return nil, errors.Wrapf(ErrBase, "digest %016x, not %016x", has, want)
	}
	digest, r := binary.BigEndian.Uint64(rest[digestBytes:]), reader(rest[2*digestBytes:])
	valueBytes, ok1 := r.uvarint()
	literalBytes, ok2 := r.uvarint()
	copiesBytes, ok3 := r.uvarint()
	if !ok1 || !ok2 || !ok3 || literalBytes > valueBytes || copiesBytes > uint64(len(r)) {
		return nil, errors.Wrap(ErrCorrupt, "lengths")
	}
	if valueBytes > uint64(max(maxBytes, 0)) {
		return nil, errors.Errorf("value has %d bytes, more than the limit of %d", valueBytes, maxBytes)
	}
	copies, payload := r[:copiesBytes], r[copiesBytes:]
	value := make([]byte, valueBytes)
	// The literals are decoded into the end of the value. The part of the value that
	// is still to be made is never shorter than the literals that are still to be used,
	// so these aren't overwritten before their use.
	if err := decodeLiterals(value[valueBytes-literalBytes:], payload, format); err != nil {
		return nil, err
	}
	if !copies.run(base, value, int(literalBytes)) {
		return nil, errors.Wrap(ErrCorrupt, "copies")
	}
	if has := xxhash.Sum64(value); has != digest {
		return nil, errors.Wrapf(ErrCorrupt, "value with digest %016x, not %016x", has, digest)
	}
	return value, nil
}

// reader is the unread part of a patch.
type reader []byte

func (r *reader) uvarint() (uint64, bool) {
	v, n := binary.Uvarint(*r)
	if n <= 0 {
		return 0, false
	}
	*r = (*r)[n:]
	return v, true
}

func (r *reader) varint() (int64, bool) {
	v, n := binary.Varint(*r)
	if n <= 0 {
		return 0, false
	}
	*r = (*r)[n:]
	return v, true
}

// run makes value from base and the literals at the end of value. It reports whether
// the copies are well-formed and make the whole value.
func (r reader) run(base, value []byte, literals int) bool {
	done, next := 0, 0
	for len(r) > 0 {
		before, ok1 := r.uvarint()
		length, ok2 := r.uvarint()
		shift, ok3 := r.varint()
		if !ok1 || !ok2 || !ok3 || before > uint64(literals) {
			return false
		}
		done += copy(value[done:], value[len(value)-literals:][:before])
		literals -= int(before)
		// Neither difference can overflow: next is between 0 and len(base).
		if shift < int64(-next) || shift > int64(len(base)-next) {
			return false
		}
		next += int(shift)
		if length > uint64(len(base)-next) || length > uint64(len(value)-literals-done) {
			return false
		}
		done += copy(value[done:], base[next:][:length])
		next += int(length)
	}
	return done+literals == len(value)
}

// compress compresses literals without a checksum.
func compress(literals []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(zstdWindow))
	if err != nil {
		return nil, errors.Wrap(err, "create encoder")
	}
	return encoder.EncodeAll(literals, nil), nil
}

// decodeLiterals fills literals from payload.
func decodeLiterals(literals, payload []byte, format byte) error {
	if format == formatRaw {
		if len(payload) != len(literals) {
			return errors.Wrapf(ErrCorrupt, "%d bytes of literals, not %d", len(payload), len(literals))
		}
		copy(literals, payload)
		return nil
	}
	limit := uint64(max(len(literals), minDecoderMemory))
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(limit), zstd.WithDecodeAllCapLimit(true))
	if err != nil {
		return errors.Wrap(err, "create decoder")
	}
	defer decoder.Close()
	decoded, err := decoder.DecodeAll(payload, literals[:0:len(literals)])
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "decode literals: %v", err)
	}
	if len(decoded) != len(literals) {
		return errors.Wrapf(ErrCorrupt, "%d bytes of literals, not %d", len(decoded), len(literals))
	}
	copy(literals, decoded)
	return nil
}
