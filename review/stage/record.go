package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// addf adds a line with the time since the start of the run in seconds.
func (r *recorder) addf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows in the record, which is then incomplete.
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// elapsed returns the time since the start of the run.
func (r *recorder) elapsed() time.Duration { return time.Since(r.started) }

// close writes what is buffered and closes the file.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
