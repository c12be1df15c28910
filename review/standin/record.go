package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record file of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// printf writes one line with the time since the start of the case.
func (rec *recorder) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}
