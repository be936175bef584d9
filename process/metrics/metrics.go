// Package metrics serves a go-metrics registry over HTTP as JSON, with gauges for
// the memory and processor time of the process, and the process's profiles.
package metrics

import (
	"net/http"
	"runtime"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Names of the process gauges.
const (
	nameHeap       = "process.heap.bytes"
	nameGoroutines = "process.goroutines"
	nameCPU        = "process.cpu.microseconds"
	nameMaxRSS     = "process.rss.max.bytes"
)

// Handler returns a handler that updates the process gauges in registry and
// responds with the values of registry as JSON.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		updateGauges(registry)
		w.Header().Set("Content-Type", "application/json")
		gometrics.WriteJSONOnce(registry, w)
	})
}

// updateGauges sets the process gauges in registry.
func updateGauges(registry gometrics.Registry) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	setGauge(registry, nameHeap, int64(mem.HeapAlloc))
	setGauge(registry, nameGoroutines, int64(runtime.NumGoroutine()))
	updateMemory(registry)
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	setGauge(registry, nameCPU, cpu.Microseconds())
	setGauge(registry, nameMaxRSS, usage.Maxrss*1024)
}

// setGauge sets the gauge with the given name in registry. If there is no such
// gauge, setGauge adds it.
func setGauge(registry gometrics.Registry, name string, value int64) {
	gometrics.GetOrRegisterGauge(name, registry).Update(value)
}
