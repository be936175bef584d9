package rowpatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"testing"
)

// testRoute is a route in JSON like that of a configuration row, of the same length.
type testRoute struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Kind            string   `json:"kind"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"firstByteGoalMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	MaxAttempts     int      `json:"mostServers"`
	AllowAnonymous  bool     `json:"allowAnonymous"`
	StickySessions  bool     `json:"stickySessions"`
	Resumable       bool     `json:"resumable"`
	GapTargetMs     int      `json:"gapTargetMs"`
	AllowedRegions  []string `json:"allowedRegions"`
}

// testConfig is the value of a configuration row.
type testConfig struct {
	Version  int              `json:"version"`
	Routes   []testRoute      `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func randomName(rng *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rng.IntN(len(letters))]
	}
	return string(b)
}

func randomRoutes(rng *rand.Rand, n int) []testRoute {
	routes := make([]testRoute, n)
	for i := range routes {
		name := randomName(rng, 10)
		routes[i] = testRoute{
			Name: "r-" + name, Host: randomName(rng, 14) + ".customers.example.net", Prefix: "/api/" + randomName(rng, 8) + "/v1/",
			Kind:      []string{"safe", "unsafe", "streaming"}[rng.IntN(3)],
			TimeoutMs: 500 * (1 + rng.IntN(40)), TargetLatencyMs: 50 * (1 + rng.IntN(20)), Priority: rng.IntN(3),
			Service: fmt.Sprint("service-of-region-", rng.IntN(40)), MaxAttempts: 1 + rng.IntN(3), AllowAnonymous: rng.IntN(4) == 0,
			Resumable: rng.IntN(2) == 0, GapTargetMs: 300, AllowedRegions: []string{},
		}
		if rng.IntN(3) == 0 {
			routes[i].AllowedRegions = []string{"north"}
		}
	}
	return routes
}

// randomConfig returns a configuration with the given number of routes. It changes
// the rest of the configuration with the number, not with the state of rng.
func randomConfig(rng *rand.Rand, routes int) testConfig {
	c := testConfig{
		Version: 4711, Routes: randomRoutes(rng, routes),
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for i := range 40 {
		c.Services = append(c.Services, map[string]any{"name": fmt.Sprint("service-of-region-", i), "healthCheck": "/healthz", "maxConnections": 50 + i})
	}
	for i := range 20 {
		c.Tenants = append(c.Tenants, map[string]any{"name": fmt.Sprint("tenant-", i), "secrets": []string{randomName(rng, 24)}})
	}
	return c
}

func (c testConfig) encode(t testing.TB) []byte {
	t.Helper()
	value, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func sortByName(routes []testRoute) {
	slices.SortFunc(routes, func(a, b testRoute) int { return cmp.Compare(a.Name, b.Name) })
}

// configChange makes two values of a configuration with about the given number of
// routes.
type configChange struct {
	name   string
	values func(t testing.TB, routes int) (base, value []byte)
}

// changeRoutes returns a change of a configuration with sorted routes by change,
// under a new version number.
func changeRoutes(name string, change func(rng *rand.Rand, routes []testRoute) []testRoute) configChange {
	return configChange{name: name, values: func(t testing.TB, routes int) (base, value []byte) {
		rng := rand.New(rand.NewPCG(uint64(routes), 58))
		c := randomConfig(rng, routes)
		sortByName(c.Routes)
		base = c.encode(t)
		c.Version += 3
		c.Routes = change(rng, slices.Clone(c.Routes))
		return base, c.encode(t)
	}}
}

const addedRoutes = 1400

var benchChanges = []configChange{
	changeRoutes("a-timeout", func(rng *rand.Rand, routes []testRoute) []testRoute {
		routes[rng.IntN(len(routes))].TimeoutMs = 123456
		return routes
	}),
	changeRoutes("b-regions", func(rng *rand.Rand, routes []testRoute) []testRoute {
		for range 3 {
			routes[rng.IntN(len(routes))].AllowedRegions = []string{"north", "west"}
		}
		return routes
	}),
	changeRoutes("c-added-at-end", func(rng *rand.Rand, routes []testRoute) []testRoute {
		return append(routes, randomRoutes(rng, addedRoutes)...)
	}),
	changeRoutes("d-added-sorted", func(rng *rand.Rand, routes []testRoute) []testRoute {
		routes = append(routes, randomRoutes(rng, addedRoutes)...)
		sortByName(routes)
		return routes
	}),
	{name: "e-no-base", values: func(t testing.TB, routes int) (base, value []byte) {
		return nil, randomConfig(rand.New(rand.NewPCG(uint64(routes), 58)), routes).encode(t)
	}},
}

// peakHeap returns by how much the heap's objects, including garbage that is not
// collected yet, grew at most during calls of f, with frequent collections.
func peakHeap(f func()) float64 {
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtime.GC()
	metrics.Read(sample)
	before, peak := sample[0].Value.Uint64(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 {
			f()
		}
	}()
	for {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())
		select {
		case <-done:
			return float64(peak - before)
		default:
		}
	}
}

func BenchmarkConfig(b *testing.B) {
	for _, routes := range []int{260, 1650, 3050, 4450, 10000} {
		for _, change := range benchChanges {
			base, value := change.values(b, routes)
			patch := roundTrip(b, base, value)
			calls := map[string]func(){
				"Encode": func() {
					if _, err := Encode(base, value); err != nil {
						b.Fatal(err)
					}
				},
				"Apply": func() {
					if _, err := Apply(base, patch, len(value)); err != nil {
						b.Fatal(err)
					}
				},
			}
			for _, name := range []string{"Encode", "Apply"} {
				b.Run(fmt.Sprintf("%d/%s/%s", routes, change.name, name), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						calls[name]()
					}
					b.ReportMetric(float64(len(value)), "value-B")
					b.ReportMetric(float64(len(patch)), "patch-B")
					b.ReportMetric(peakHeap(calls[name]), "peak-B")
				})
			}
		}
	}
}
