package faulttest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Job is a job as its user describes it, as far as the stand-ins need it.
type Job struct {
	ID       ids.JobID
	Team     ids.Team
	Class    string
	Service  bool
	Priority string // in the protocol's words
	Tasks    int
	CPUs     float64 // of each task
	Image    ids.Image
	RunTime  time.Duration // of each task; 0 for services
}

// Users is a stand-in for users: it submits jobs and asks about them, and keeps the
// descriptions of jobs that workers fetch. Its methods may be called from any goroutine.
type Users struct {
	controllers []string // addresses

	mu   sync.Mutex
	jobs map[ids.JobID]Job
}

// ErrNoResponse reports that no controller gave a definite response before the context
// ended.
var ErrNoResponse = errors.New("no controller responded")

const (
	userTimeout    = 5 * time.Second
	userRetryDelay = 100 * time.Millisecond
)

// NewUsers returns the users of controllers with these addresses.
func NewUsers(controllers []string) *Users {
	return &Users{controllers: controllers, jobs: map[ids.JobID]Job{}}
}

// Job returns the description of a submitted job.
func (u *Users) Job(id ids.JobID) (Job, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	job, known := u.jobs[id]
	return job, known
}

// Submit sends a job to one controller after the other until one accepts it.
func (u *Users) Submit(ctx context.Context, job Job) error {
	u.mu.Lock()
	u.jobs[job.ID] = job
	u.mu.Unlock()
	_, err := u.retry(ctx, http.MethodPost, "/api/jobs", submissionBody(job))
	return err
}

// StatusAt asks one controller, given by its index, for a job's status.
func (u *Users) StatusAt(ctx context.Context, controller int, id ids.JobID) (wire.JobStatus, error) {
	return u.request(ctx, controller, http.MethodGet, jobPath(id), nil)
}

// Cancel cancels a job.
func (u *Users) Cancel(ctx context.Context, id ids.JobID) (wire.JobStatus, error) {
	return u.retry(ctx, http.MethodPost, jobPath(id)+"/withdraw", nil)
}

// jobPath is the path of requests about a job.
func jobPath(id ids.JobID) string { return "/api/jobs/" + string(id) }

// submissionBody encodes a job in the protocol's words, which only users write.
func submissionBody(job Job) []byte {
	shape := "batch"
	if job.Service {
		shape = "standing"
	}
	return wire.Encode(map[string]any{
		"nameId": job.ID, "workclass": job.Class, "crew": job.Team, "shape": shape, "urgency": job.Priority,
		"legs": job.Tasks, "cpus": job.CPUs, "accelerators": 0.0, "memoryGb": 1.0,
		"bundle": job.Image, "pullGb": 0.3, "frames": nil, "hall": nil,
		"oneZone": false, "spread": false, "loaner": false,
		"expectS": job.RunTime.Seconds(), "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil,
	})
}

// retry sends a request to one controller after the other until one gives a definite
// response.
func (u *Users) retry(ctx context.Context, method, path string, body []byte) (wire.JobStatus, error) {
	var lastErr error
	for i := 0; ctx.Err() == nil; i++ {
		status, err := u.request(ctx, i%len(u.controllers), method, path, body)
		if err == nil {
			return status, nil
		}
		lastErr = err
		monotonic.Sleep(ctx, userRetryDelay)
	}
	return wire.JobStatus{}, fmt.Errorf("%s %s: %w", method, path, errors.Join(ErrNoResponse, lastErr))
}

// request sends a request to one controller.
func (u *Users) request(ctx context.Context, controller int, method, path string, body []byte) (status wire.JobStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.controllers[controller]+path, bytes.NewReader(body))
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return status, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return status, fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return status, wire.Decode(raw, &status)
}
