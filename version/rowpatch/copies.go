package rowpatch

import (
	"encoding/binary"
	"math"
	"math/bits"
)

const (
	// blockBytes is the size of the blocks of the base that are indexed. Runs of at
	// least twice this length are found in the base at any position.
	blockBytes = 32
	// minAligned and minMoved are the lengths of the shortest runs that are copied:
	// those at the position that the previous copy suggests, and others.
	minAligned = 16
	minMoved   = 64

	hashFactor = 0x9E3779B97F4A7C15
	slotFactor = 0xD6E8FEB86659FD93
)

// copied is a run of the value that occurs in the base.
type copied struct {
	// literals is the number of bytes between the previous run and this one.
	literals int
	length   int
	// from is the position in the base.
	from int
}

// findCopies returns runs of value that occur in base, in the order of value.
func findCopies(base, value []byte) []copied {
	if len(base) < blockBytes {
		return nil
	}
	index := newIndex(base)
	var copies []copied
	// done is the end of the previous run in value, next its end in base.
	done, next := 0, 0
	h, hashed := uint64(0), -1
	for at := 0; at+blockBytes <= len(value); {
		from, length := next+at-done, 0
		if from < len(base) {
			length = commonPrefix(base[from:], value[at:])
		}
		if length < minAligned {
			if hashed >= 0 && hashed == at-1 {
				h = rollHash(h, value[at-1], value[at+blockBytes-1])
			} else {
				h = hashBlock(value[at:])
			}
			hashed = at
			from, length = index.find(h, base, value[at:])
			for length > 0 && at > done && from > 0 && base[from-1] == value[at-1] {
				at, from, length = at-1, from-1, length+1
			}
			if length < minMoved {
				at = hashed + 1
				continue
			}
		}
		copies = append(copies, copied{literals: at - done, length: length, from: from})
		at += length
		done, next = at, from+length
	}
	return copies
}

// literalsOf returns the parts of value that are not copied.
func literalsOf(value []byte, copies []copied) []byte {
	if len(copies) == 0 {
		return value
	}
	n := len(value)
	for _, c := range copies {
		n -= c.length
	}
	literals := make([]byte, 0, n)
	at := 0
	for _, c := range copies {
		literals = append(literals, value[at:at+c.literals]...)
		at += c.literals + c.length
	}
	return append(literals, value[at:]...)
}

// blockIndex finds blocks of a base by their hash. Of blocks for the same slot, it
// knows the first.
type blockIndex struct {
	slots []blockSlot
	shift int
}

type blockSlot struct {
	check uint32
	// end is the position after the block, or 0 if the slot is empty.
	end uint32
}

// newIndex indexes the blocks at multiples of blockBytes.
func newIndex(base []byte) *blockIndex {
	base = base[:min(uint64(len(base)), math.MaxUint32)]
	slotBits := bits.Len(uint(2 * len(base) / blockBytes))
	index := &blockIndex{slots: make([]blockSlot, 1<<slotBits), shift: 64 - slotBits}
	for end := blockBytes; end <= len(base); end += blockBytes {
		slot, check := index.slot(hashBlock(base[end-blockBytes:]))
		if slot.end == 0 {
			*slot = blockSlot{check: check, end: uint32(end)}
		}
	}
	return index
}

func (x *blockIndex) slot(h uint64) (*blockSlot, uint32) {
	h *= slotFactor
	return &x.slots[h>>x.shift], uint32(h)
}

// find returns the position in base of an indexed block with which value starts and
// has the hash h, and the length of the run that value and base have in common there.
func (x *blockIndex) find(h uint64, base, value []byte) (from, length int) {
	slot, check := x.slot(h)
	if slot.end == 0 || slot.check != check {
		return 0, 0
	}
	from = int(slot.end) - blockBytes
	return from, commonPrefix(base[from:], value)
}

// hashBlock returns the hash of the first blockBytes bytes of b.
func hashBlock(b []byte) uint64 {
	var h uint64
	for _, c := range b[:blockBytes] {
		h = h*hashFactor + uint64(c)
	}
	return h
}

// outFactor is hashFactor to the power of blockBytes.
var outFactor = func() uint64 {
	f := uint64(1)
	for range blockBytes {
		f *= hashFactor
	}
	return f
}()

// rollHash moves the block with the hash h by one byte: out leaves, in enters.
func rollHash(h uint64, out, in byte) uint64 {
	return h*hashFactor + uint64(in) - outFactor*uint64(out)
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
