package controller

import (
	"sync"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// terminalJobCache remembers jobs that are done or cancelled. That is final, so any node
// may say it at any time.
type terminalJobCache struct {
	mu   sync.Mutex
	jobs map[ids.JobID]wire.JobStatus
}

// terminalJobCacheSize bounds the memory; a job that was dropped is read again.
const terminalJobCacheSize = 20_000

// get finds a job that is over.
func (e *terminalJobCache) get(id ids.JobID) (wire.JobStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.jobs[id]
	return s, ok
}

// put remembers a job that is over.
func (e *terminalJobCache) put(s wire.JobStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.jobs) >= terminalJobCacheSize {
		clear(e.jobs)
	}
	e.jobs[s.ID] = s
}
