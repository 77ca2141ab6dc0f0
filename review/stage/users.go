package main

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
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// The times of the protocol with users.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryAfter    = time.Second
)

// job is a user's job, with what its tasks do on a machine.
type job struct {
	id       ids.JobID
	class    string
	team     ids.Team
	urgency  string
	service  bool
	legs     int
	cpus     float64
	memoryGB float64
	pullGB   float64
	hall     any // a zone or nil
	frames   any // a list of machine types or nil
	runTime  time.Duration
	// mistake reports whether the job was submitted with a mistake, so that its tasks fail on every machine.
	mistake bool

	mu       sync.Mutex
	accepted time.Time
	first    time.Time // when the first task ran
	starts   int
	running  map[string]bool
	done     map[string]bool
}

// image returns the image of the job; each class has one.
func (j *job) image() ids.Image { return ids.Image("img-" + j.class) }

// imageGB returns the size of the image.
func (j *job) imageGB() float64 { return j.pullGB }

// resources returns what a task takes of its machine.
func (j *job) resources() placement.Resources {
	return placement.Resources{CPUs: j.cpus, MemoryGB: j.memoryGB}
}

// body returns the submission.
func (j *job) body() []byte {
	shape := "batch"
	if j.service {
		shape = "standing"
	}
	return wire.Encode(map[string]any{
		"nameId": j.id, "workclass": j.class, "crew": j.team, "shape": shape, "urgency": j.urgency, "legs": j.legs,
		"cpus": j.cpus, "accelerators": 0.0, "memoryGb": j.memoryGB, "bundle": j.image(), "pullGb": j.pullGB,
		"frames": j.frames, "hall": j.hall, "oneZone": false, "spread": false, "loaner": false,
		"expectS": j.runTime.Seconds(), "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil,
	})
}

// began records that a task runs.
func (j *job) began(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.first.IsZero() {
		j.first = timeNow()
	}
	j.starts++
	j.running[name] = true
}

// ended records that a task does not run any more.
func (j *job) ended(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running, name)
}

// completed records that a task has completed.
func (j *job) completed(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[name] = true
}

// counts returns how often tasks of the job began to run, how many run, and how many have completed.
func (j *job) counts() (starts, running, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts, len(j.running), len(j.done)
}

// times returns when the job was accepted and when its first task ran; zero if it was not, or none did.
func (j *job) times() (accepted, first time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted, j.first
}

// users is the stand-in of all users and of the load balancer, which spreads them over the controllers. It is
// safe for concurrent use.
type users struct {
	deployment *deployment
	client     *http.Client

	mu   sync.Mutex
	jobs map[ids.JobID]*job
	next int
}

func newUsers(d *deployment) *users {
	return &users{deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, jobs: map[ids.JobID]*job{}}
}

// find returns a submitted job, or nil.
func (u *users) find(id ids.JobID) *job {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// address returns the address of the controller that the load balancer chooses next.
func (u *users) address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	return u.deployment.controllers[u.next%len(u.deployment.controllers)].api
}

// request sends one request. The status is 0 without an answer.
func (u *users) request(ctx context.Context, timeout time.Duration, method, path string, body []byte) (status int, answer wire.JobStatus) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.address()+path, bytes.NewReader(body))
	if err != nil {
		return 0, answer
	}
	response, err := u.client.Do(request)
	if err != nil {
		return 0, answer
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, answer
	}
	_ = wire.Decode(raw, &answer) // only some answers have a body
	return response.StatusCode, answer
}

// submit submits a job until it is accepted or refused, or the context ends.
func (u *users) submit(ctx context.Context, j *job) error {
	j.running, j.done = map[string]bool{}, map[string]bool{}
	u.mu.Lock()
	u.jobs[j.id] = j
	u.mu.Unlock()
	for {
		status, answer := u.request(ctx, submitTimeout, http.MethodPost, "/api/jobs", j.body())
		u.deployment.record.addf("user: submit %s: %d %s", j.id, status, answer.Status)
		switch status {
		case http.StatusCreated, http.StatusOK:
			j.mu.Lock()
			j.accepted = timeNow()
			j.mu.Unlock()
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("job %s was refused with status %d", j.id, status)
		}
		if !monotonic.Sleep(ctx, retryAfter) {
			return errors.New("no submission was answered in time")
		}
	}
}

// cancel cancels a job, and repeats the request until it is answered.
func (u *users) cancel(ctx context.Context, j *job) error {
	for {
		status, answer := u.request(ctx, submitTimeout, http.MethodPost, "/api/jobs/"+string(j.id)+"/withdraw", nil)
		u.deployment.record.addf("user: cancel %s: %d %s", j.id, status, answer.Status)
		if status == http.StatusOK {
			return nil
		}
		if !monotonic.Sleep(ctx, retryAfter) {
			return errors.New("no cancellation was answered in time")
		}
	}
}

// poll asks for the state of a job once.
func (u *users) poll(ctx context.Context, j *job) wire.JobStatus {
	status, answer := u.request(ctx, pollTimeout, http.MethodGet, "/api/jobs/"+string(j.id), nil)
	u.deployment.record.addf("user: poll %s: %d %s, %d done, %d running", j.id, status, answer.Status, answer.Done, answer.Running)
	return answer
}

// awaitUp waits until all controllers can take requests.
func (u *users) awaitUp(ctx context.Context) error {
	for _, c := range u.deployment.controllers {
		for {
			response, err := u.client.Get("http://" + c.api + "/up")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if !monotonic.Sleep(ctx, 100*time.Millisecond) {
				return errors.New("a controller is not up")
			}
		}
	}
	return nil
}
