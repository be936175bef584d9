package rowpatch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/go-faster/errors"
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
