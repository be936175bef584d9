package metrics

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the memory gauges.
const (
	nameLiveHeap = "process.heap.live.bytes"
	nameStack    = "process.stack.bytes"
	nameRSS      = "process.rss.bytes"
)

// statmPath is the file with the memory sizes of this process in pages; the
// second field is the size of the resident set.
const statmPath = "/proc/self/statm"

// updateMemory sets the memory gauges: the live heap as of the last garbage
// collection, the stacks of all goroutines and the resident set.
func updateMemory(registry gometrics.Registry) {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	setGauge(registry, nameLiveHeap, int64(samples[0].Value.Uint64()))
	setGauge(registry, nameStack, int64(samples[1].Value.Uint64()))
	setGauge(registry, nameRSS, residentBytes())
}

// residentBytes returns the size of the resident set in bytes, or 0 if it cannot
// be read.
func residentBytes() int64 {
	raw, err := os.ReadFile(statmPath)
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
