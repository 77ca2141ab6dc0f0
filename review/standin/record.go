// Package standin has stand-ins for what surrounds the controllers of a small deployment: the state
// service, the cloud, the workers, the load balancer and the users, as the protocol's page describes
// them. It also starts the controllers as processes. Only the cases in the folders beside it use it.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, a line each, with the seconds since the
// start. It is safe for concurrent use.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
