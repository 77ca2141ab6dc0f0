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

// Job holds the properties of a submitted job that the fakes need.
type Job struct {
	ID       ids.JobID
	Team     ids.Team
	Class    string
	Service  bool
	Priority string // as encoded in the protocol
	Tasks    int
	CPUs     float64 // per task
	Image    ids.Image
	RunTime  time.Duration // per task; 0 for services
}

// Users is a fake for the users of the scheduler. It submits and cancels jobs, queries their status,
// and holds the jobs' descriptions, which the fake workers look up. It is safe for concurrent use.
type Users struct {
	controllers []string // addresses

	mu   sync.Mutex
	jobs map[ids.JobID]Job
}

// ErrNoResponse means that no controller gave a successful response before the context ended.
var ErrNoResponse = errors.New("no controller responded")

const (
	userTimeout    = 5 * time.Second
	userRetryDelay = 100 * time.Millisecond
)

// NewUsers returns a Users that sends its requests to the controllers at these addresses.
func NewUsers(controllers []string) *Users {
	return &Users{controllers: controllers, jobs: map[ids.JobID]Job{}}
}

// Job returns the description of a submitted job. It reports whether the job is known.
func (u *Users) Job(id ids.JobID) (Job, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	job, known := u.jobs[id]
	return job, known
}

// Submit submits the job to each controller in turn until one accepts it.
func (u *Users) Submit(ctx context.Context, job Job) error {
	u.mu.Lock()
	u.jobs[job.ID] = job
	u.mu.Unlock()
	_, err := u.retry(ctx, http.MethodPost, "/api/jobs", submissionBody(job))
	return err
}

// StatusAt requests the job's status from the controller with the given index.
func (u *Users) StatusAt(ctx context.Context, controller int, id ids.JobID) (wire.JobStatus, error) {
	return u.request(ctx, controller, http.MethodGet, jobPath(id), nil)
}

// Cancel cancels the job and returns its status.
func (u *Users) Cancel(ctx context.Context, id ids.JobID) (wire.JobStatus, error) {
	return u.retry(ctx, http.MethodPost, jobPath(id)+"/withdraw", nil)
}

// jobPath returns the request path of the job.
func jobPath(id ids.JobID) string { return "/api/jobs/" + string(id) }

// submissionBody encodes a submission of the job. The keys are literals because the program only decodes
// submissions and has no type that encodes them.
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

// retry sends a request to each controller in turn until one responds successfully or the context ends.
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

// request sends a request to the controller with the given index and decodes the job status in the
// response.
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
