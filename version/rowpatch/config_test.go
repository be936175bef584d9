package rowpatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPatchOfFewChangedRoutesIsSmall changes routes of the largest configuration at
// the start, at the end and between.
func TestPatchOfFewChangedRoutesIsSmall(t *testing.T) {
	const routes, maxBytes = 10000, 2000
	rng := rand.New(rand.NewPCG(5, 58))
	old := randomConfig(rng, routes)
	base := old.encode(t)
	changes := map[string]func(r []testRoute, i int) []testRoute{
		"timeout": func(r []testRoute, i int) []testRoute {
			r[i].TimeoutMs = 1234567
			return r
		},
		"regions": func(r []testRoute, i int) []testRoute {
			for _, j := range []int{i, routes - 1 - i, (i + routes/3) % routes} {
				r[j].AllowedRegions = []string{"north", "west"}
			}
			return r
		},
		"new name": func(r []testRoute, i int) []testRoute {
			r[i].Name = "another"
			return r
		},
		"insert":  func(r []testRoute, i int) []testRoute { return slices.Insert(r, i, randomRoutes(rng, 3)...) },
		"remove":  func(r []testRoute, i int) []testRoute { return slices.Delete(r, i, i+1) },
		"move":    func(r []testRoute, i int) []testRoute { return append(slices.Delete(slices.Clone(r), i, i+1), r[i]) },
		"swap":    func(r []testRoute, i int) []testRoute { return append(slices.Clone(r[i:]), r[:i]...) },
		"reorder": func(r []testRoute, i int) []testRoute { return slices.Insert(r[1:], rng.IntN(routes), r[0]) },
	}
	for name, change := range changes {
		for _, i := range []int{0, rng.IntN(routes), routes - 1} {
			t.Run(fmt.Sprint(name, " at ", i), func(t *testing.T) {
				c := old
				c.Version = 5000
				c.Routes = change(slices.Clone(old.Routes), i)
				patch := roundTrip(t, base, c.encode(t))
				if t.Logf("patch of %d bytes", len(patch)); len(patch) > maxBytes {
					t.Errorf("patch has more than %d bytes", maxBytes)
				}
			})
		}
	}
}

// TestPatchOfSmallRows checks values that are shorter than an indexed block.
func TestPatchOfSmallRows(t *testing.T) {
	const overhead = 30
	for n := range 200 {
		base := randomBytes(rand.New(rand.NewPCG(uint64(n), 58)), n, 256)
		if patch := roundTrip(t, base, append(slices.Clone(base), "end"...)); len(patch) > n+overhead {
			t.Errorf("patch for %d more bytes has %d bytes", n, len(patch))
		}
	}
}
