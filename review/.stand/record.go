package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since
// the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("create record", err)
	}
	return &recorder{file: f, start: time.Now()}
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(step string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", step, err)
	stopAll()
	os.Exit(2)
}
