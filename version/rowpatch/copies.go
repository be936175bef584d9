package rowpatch

import (
	"encoding/binary"
	"math"
	"math/bits"
)

const (
	// blockBytes is the size of the blocks of the base that are indexed. Twice as long a
	// run contains a block wherever it begins.
	blockBytes = 48
	// minAligned and minMoved are the minimum lengths of runs that are copied, for runs at
	// the same distance between base and value as the previous one and for others.
	minAligned = 16
	minMoved   = 2 * blockBytes

	hashFactor = 0x9E3779B97F4A7C15
	slotFactor = 0xD6E8FEB86659FD93
)

// run is a part of a value that is at the position from of its base.
type run struct {
	// literals is the number of bytes between the previous run and this one.
	literals, length, from int
}

// findCopies returns the runs of value to copy from base, in the order of value.
func findCopies(base, value []byte) []run {
	var copies []run
	index := newIndex(base)
	// done is the end of the previous run in value, next its end in base. h is the hash of
	// the block of value at the position hashed.
	done, next, h, hashed := 0, 0, uint64(0), -1
	for at := 0; at+blockBytes <= len(value) && len(base) >= blockBytes; {
		from := min(next+at-done, len(base))
		length := commonPrefix(base[from:], value[at:])
		if length < minAligned {
			if at > 0 && hashed == at-1 {
				h = (h-uint64(value[at-1])*oldestFactor)*hashFactor + uint64(value[at+blockBytes-1])
			} else {
				h = hashBlock(value[at:])
			}
			hashed = at
			from = index.find(h)
			length = commonPrefix(base[from:], value[at:])
			for length >= blockBytes && at > done && from > 0 && base[from-1] == value[at-1] {
				at, from, length = at-1, from-1, length+1
			}
			if length < minMoved {
				at = hashed + 1
				continue
			}
		}
		copies = append(copies, run{literals: at - done, length: length, from: from})
		done, next = at+length, from+length
		at = done
	}
	return copies
}

// literalsOf returns the parts of value that are not copied.
func literalsOf(value []byte, copies []run) []byte {
	if len(copies) == 0 {
		return value
	}
	n := len(value)
	for _, c := range copies {
		n -= c.length
	}
	literals, at := make([]byte, 0, n), 0
	for _, c := range copies {
		literals = append(literals, value[at:at+c.literals]...)
		at += c.literals + c.length
	}
	return append(literals, value[at:]...)
}

// blockIndex finds blocks of a base by their hash. Of blocks with the same slot, it has
// the first. The upper half of a slot is part of the hash, the lower half the block's
// position.
type blockIndex []uint64

func newIndex(base []byte) blockIndex {
	index := make(blockIndex, 1<<bits.Len(uint(2*len(base)/blockBytes)))
	for at := 0; at+blockBytes <= min(len(base), math.MaxUint32); at += blockBytes {
		if slot, check := index.slot(hashBlock(base[at:])); *slot == 0 {
			*slot = check | uint64(at)
		}
	}
	return index
}

// slot returns the slot for a block with the hash h, and the upper half that it has for
// this block.
func (x blockIndex) slot(h uint64) (slot *uint64, check uint64) {
	h *= slotFactor
	return &x[h>>32&uint64(len(x)-1)], h << 32
}

// find returns the position of a block that probably has the hash h, or 0.
func (x blockIndex) find(h uint64) int {
	if slot, check := x.slot(h); *slot&^math.MaxUint32 == check {
		return int(*slot & math.MaxUint32)
	}
	return 0
}

// oldestFactor is the factor of a block's first byte in its hash.
var oldestFactor = hashBlock(append([]byte{1}, make([]byte, blockBytes-1)...))

// hashBlock returns the hash of the first blockBytes bytes of b.
func hashBlock(b []byte) (h uint64) {
	for _, c := range b[:blockBytes] {
		h = h*hashFactor + uint64(c)
	}
	return h
}

// commonPrefix returns the length of the longest common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for ; i+8 <= n; i += 8 {
		if x := binary.LittleEndian.Uint64(a[i:]) ^ binary.LittleEndian.Uint64(b[i:]); x != 0 {
			return i + bits.TrailingZeros64(x)/8
		}
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}
