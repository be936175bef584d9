package rowpatch

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const testLimit = 8 << 20

// roundTrip returns the patch from base to value after checking that Apply makes
// value from it.
func roundTrip(t testing.TB, base, value []byte) []byte {
	t.Helper()
	baseBefore, valueBefore := bytes.Clone(base), bytes.Clone(value)
	patch, err := Encode(base, value)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Apply(base, patch, len(value))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, value) {
		t.Fatalf("value of %d bytes differs from the original of %d", len(got), len(value))
	}
	if !bytes.Equal(base, baseBefore) || !bytes.Equal(value, valueBefore) {
		t.Fatal("base or value was changed")
	}
	return patch
}

// randomBytes returns n bytes from an alphabet of the given size.
func randomBytes(rng *rand.Rand, n, alphabet int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.IntN(alphabet))
	}
	return b
}

// edited returns b after random changes, insertions, removals and moves of runs.
func edited(rng *rand.Rand, b []byte, alphabet int) []byte {
	b = bytes.Clone(b)
	for range rng.IntN(8) {
		from := rng.IntN(len(b) + 1)
		to := from + rng.IntN(len(b)-from+1)
		to = min(to, from+1<<rng.IntN(14))
		run := bytes.Clone(b[from:to])
		switch rng.IntN(4) {
		case 0:
			copy(b[from:to], randomBytes(rng, len(run), alphabet))
		case 1:
			b = append(b[:from:from], append(randomBytes(rng, len(run), alphabet), b[from:]...)...)
		case 2:
			b = append(b[:from:from], b[to:]...)
		case 3:
			b = append(b[:from:from], b[to:]...)
			at := rng.IntN(len(b) + 1)
			b = append(b[:at:at], append(run, b[at:]...)...)
		}
	}
	return b
}

func TestRoundTripOfRandomEdits(t *testing.T) {
	for seed := range uint64(600) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 58))
			alphabet := 1 << rng.IntN(9)
			base := randomBytes(rng, rng.IntN(1<<rng.IntN(18)+1), alphabet)
			roundTrip(t, base, edited(rng, base, alphabet))
		})
	}
}

func TestRoundTripOfUnrelatedValues(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 58))
	values := map[string][]byte{
		"nil": nil, "empty": {}, "byte": {0}, "short": []byte("short"),
		"zeros": make([]byte, 300_000), "ones": bytes.Repeat([]byte{1}, 1000),
		"random": randomBytes(rng, 300_000, 256), "text": []byte(strings.Repeat("text ", 999)),
		"other text": []byte(strings.Repeat("text ", 777)),
	}
	for baseName, base := range values {
		for name, value := range values {
			t.Run(baseName+" to "+name, func(t *testing.T) { roundTrip(t, base, value) })
		}
	}
}

func TestIncompressibleValueHasLittleOverhead(t *testing.T) {
	value := randomBytes(rand.New(rand.NewPCG(2, 58)), 500_000, 256)
	if patch := roundTrip(t, nil, value); len(patch) > len(value)+maxHeaderBytes {
		t.Errorf("patch has %d bytes", len(patch))
	}
}

func TestApplyRefusesOtherBase(t *testing.T) {
	base, value := []byte(strings.Repeat("a base ", 100)), []byte(strings.Repeat("a value ", 100))
	for _, made := range [][]byte{nil, base} {
		patch := roundTrip(t, made, value)
		for _, other := range [][]byte{nil, base, value, base[1:], append(bytes.Clone(base), 0)} {
			if bytes.Equal(made, other) {
				continue
			}
			if got, err := Apply(other, patch, testLimit); !errors.Is(err, ErrBase) || got != nil {
				t.Errorf("base of %d bytes instead of %d: value of %d bytes, error %v", len(other), len(made), len(got), err)
			}
		}
	}
}

func TestApplyDetectsDamage(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 58))
	base := randomBytes(rng, 3000, 8)
	values := map[string][]byte{
		"raw": edited(rng, base, 8), "compressed": randomBytes(rng, 1500, 4), "empty": nil, "same": base,
	}
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			patch := roundTrip(t, base, value)
			for n := range patch {
				if _, err := Apply(base, patch[:n], testLimit); !errors.Is(err, ErrCorrupt) {
					t.Fatalf("first %d of %d bytes: error %v", n, len(patch), err)
				}
			}
			for i := range 8 * len(patch) {
				damaged := bytes.Clone(patch)
				damaged[i/8] ^= 1 << (i % 8)
				if got, err := Apply(base, damaged, testLimit); err == nil && !bytes.Equal(got, value) {
					t.Fatalf("bit %d of byte %d: another value without an error", i%8, i/8)
				}
			}
		})
	}
}

func TestApplyLimitsValue(t *testing.T) {
	value := bytes.Repeat([]byte("value"), 1000)
	for _, base := range [][]byte{nil, value} {
		patch := roundTrip(t, base, value)
		for _, limit := range []int{-1, 0, 1, 4999} {
			got, err := Apply(base, patch, limit)
			if err == nil || got != nil || !strings.Contains(err.Error(), "5000") || !strings.Contains(err.Error(), fmt.Sprint(limit)) {
				t.Errorf("limit %d: value of %d bytes, error %v", limit, len(got), err)
			}
			if errors.Is(err, ErrBase) || errors.Is(err, ErrCorrupt) {
				t.Errorf("limit %d: error %v", limit, err)
			}
		}
	}
}

// patchOf returns a patch for hostileBase with the digest of another value.
func patchOf(format byte, valueBytes, literalBytes, copiesBytes int, rest []byte) []byte {
	patch := binary.BigEndian.AppendUint64([]byte{format}, xxhash.Sum64(hostileBase))
	patch = binary.BigEndian.AppendUint64(patch, 1)
	return append(appendNumbers(patch, valueBytes, literalBytes, copiesBytes), rest...)
}

// zeroFrame returns a zstd frame of n zeros, without its length if sized is false.
func zeroFrame(t *testing.T, n int, sized bool) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := zstd.NewWriter(&b, zstd.WithEncoderConcurrency(1))
	if err != nil {
		t.Fatal(err)
	}
	if sized {
		return w.EncodeAll(make([]byte, n), nil)
	}
	if _, err := w.Write(make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

var hostileBase = []byte("base")

// copiesPatch returns a patch without literals, with copies of the given numbers.
func copiesPatch(valueBytes int, numbers ...int) []byte {
	copies := appendNumbers(nil, numbers...)
	return patchOf(formatRaw, valueBytes, 0, len(copies), copies)
}

func TestApplyAllocatesWithinLimit(t *testing.T) {
	const limit, constant = 3 << 20, 1 << 20
	sized, unsized := zeroFrame(t, 64<<20, true), zeroFrame(t, 64<<20, false)
	for name, patch := range map[string][]byte{
		"longest value":      patchOf(formatZstd, math.MaxInt, math.MaxInt, 0, sized),
		"negative value":     patchOf(formatZstd, -1, -1, -1, sized),
		"long value":         patchOf(formatZstd, limit+1, 0, 0, sized),
		"more literals":      patchOf(formatZstd, 10, 20, 0, sized),
		"longest copies":     patchOf(formatZstd, limit, limit, math.MaxInt, sized),
		"long frame":         patchOf(formatZstd, limit, limit, 0, sized),
		"long frame, no fit": patchOf(formatZstd, limit, 0, 0, sized),
		"unknown length":     patchOf(formatZstd, limit, limit, 0, unsized),
		"unknown, no fit":    patchOf(formatZstd, limit, 1, 0, unsized),
		"many frames":        patchOf(formatZstd, limit, limit, 0, bytes.Repeat(zeroFrame(t, limit, true), 9)),
		"window of 3.75 TB":  patchOf(formatZstd, limit, limit, 0, []byte{0x28, 0xb5, 0x2f, 0xfd, 0, 0xff, 1, 0, 0}),
		"copy beyond base":   copiesPatch(limit, 0, limit, 0),
		"copy beyond value":  copiesPatch(3, 0, 4, 0),
		"too few copies":     copiesPatch(5, 0, 4, 0),
		"longest copy":       copiesPatch(limit, 0, math.MaxInt, 0),
		"longest shift":      copiesPatch(limit, 0, 1, 0, 0, 1, math.MaxInt),
		"lowest shift":       copiesPatch(limit, 0, 1, 0, 0, 1, math.MinInt),
		"shift to the end":   copiesPatch(limit, 0, 0, 4, 0, 1, 0),
		"missing literal":    copiesPatch(limit, 1, 1, 0),
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, err := Apply(hostileBase, patch, limit)
			runtime.ReadMemStats(&after)
			if err == nil || got != nil {
				t.Errorf("value of %d bytes, error %v", len(got), err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > limit+constant {
				t.Errorf("%d bytes were allocated", n)
			}
		})
	}
}

// FuzzApply checks that Apply neither panics nor exceeds its limit. The digest of the
// base is corrected, so that damage behind it is reached.
func FuzzApply(f *testing.F) {
	rng := rand.New(rand.NewPCG(4, 58))
	base := randomBytes(rng, 2000, 16)
	for _, value := range [][]byte{nil, base, edited(rng, base, 16), randomBytes(rng, 2000, 4)} {
		f.Add(base, roundTrip(f, base, value), 4000)
		f.Add([]byte(nil), roundTrip(f, nil, value), 4000)
	}
	f.Fuzz(func(t *testing.T, base, patch []byte, limit int) {
		limit = min(limit, testLimit)
		roundTrip(t, base, patch)
		if len(patch) >= 1+digestBytes {
			patch = bytes.Clone(patch)
			binary.BigEndian.PutUint64(patch[1:], xxhash.Sum64(base))
		}
		got, err := Apply(base, patch, limit)
		if len(got) > max(limit, 0) || err != nil && got != nil {
			t.Errorf("value of %d bytes for a limit of %d, error %v", len(got), limit, err)
		}
	})
}
