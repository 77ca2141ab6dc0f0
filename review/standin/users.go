package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ospreystile.example/ospreystile/wire"
)

const (
	changeTimeout = 5 * time.Second // for submissions and cancellations
	pollTimeout   = 2 * time.Second
	minRetry      = time.Second
	maxRetry      = 30 * time.Second
	probeInterval = time.Second
	probeTimeout  = time.Second
	probePause    = 3 * time.Second
)

// Job describes a job that a user submits.
type Job struct {
	ID, Class, Team, Urgency, Image, Hall string
	Service                               bool
	Tasks                                 int
	CPUs, MemoryGB, ImageGB               float64
	Run                                   time.Duration
	WaitsOn                               []string
}

// Concurrently calls a function for each index below n, from several goroutines.
func Concurrently(goroutines, n int, call func(i int)) {
	next := make(chan int)
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for i := range next {
				call(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	group.Wait()
}

// body returns the job's submission.
func (j Job) body() []byte {
	fields := map[string]any{
		"nameId": j.ID, "workclass": j.Class, "crew": j.Team, "shape": "batch", "urgency": j.Urgency, "legs": j.Tasks,
		"cpus": j.CPUs, "accelerators": 0.0, "memoryGb": j.MemoryGB, "bundle": j.Image, "pullGb": j.ImageGB,
		"frames": nil, "hall": nil, "oneZone": false, "spread": false, "loaner": false,
		"expectS": j.Run.Seconds(), "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil,
	}
	if j.Service {
		fields["shape"] = "standing"
	}
	if j.Hall != "" {
		fields["hall"] = j.Hall
	}
	if len(j.WaitsOn) > 0 {
		fields["waitsOn"] = j.WaitsOn
	}
	return wire.Encode(fields)
}

// Answer is what a user got for a request. The status is 0 if there was no answer in time.
type Answer struct {
	Status     int
	State      wire.JobState
	Node       string
	retryAfter time.Duration
}

// Answered reports whether the answer tells the state of the job.
func (a Answer) Answered() bool {
	return a.Status == http.StatusOK || a.Status == http.StatusCreated
}

// Users is a stand-in for the users and the load balancer before them. Every request takes a new
// connection, for which the balancer chooses a healthy node. It is safe for concurrent use.
type Users struct {
	deployment *Deployment
	client     *http.Client

	mu      sync.Mutex
	jobs    map[string]Job
	healthy map[*Node]bool
}

func newUsers(d *Deployment) *Users {
	return &Users{deployment: d, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		jobs: map[string]Job{}, healthy: map[*Node]bool{}}
}

// job returns the description of a submitted job.
func (u *Users) job(id string) (Job, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	job, known := u.jobs[id]
	return job, known
}

// Probe asks each node for its health until the context ends, as the load balancer does.
func (u *Users) Probe(ctx context.Context) {
	for _, node := range u.deployment.Nodes {
		go u.probeNode(ctx, node)
	}
}

// probeNode updates the health of one node.
func (u *Users) probeNode(ctx context.Context, node *Node) {
	failures, successes, never := 0, 0, true
	var removed time.Time
	for {
		if u.up(ctx, node) {
			failures, successes = 0, successes+1
		} else {
			failures, successes = failures+1, 0
		}
		u.mu.Lock()
		switch {
		case failures >= 2 && u.healthy[node]:
			u.healthy[node], removed = false, time.Now()
		case successes >= 1 && never, successes >= 2 && time.Since(removed) >= probePause:
			u.healthy[node], never = true, false
		}
		u.mu.Unlock()
		if !sleep(ctx, probeInterval) {
			return
		}
	}
}

// up reports whether a node answers a probe with 200.
func (u *Users) up(ctx context.Context, node *Node) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.API+"/up", http.NoBody)
	if err != nil || node.isCut() {
		return false
	}
	response, err := u.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Healthy returns the healthy nodes in random order.
func (u *Users) Healthy() []*Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	var nodes []*Node
	for _, node := range u.deployment.Nodes {
		if u.healthy[node] {
			nodes = append(nodes, node)
		}
	}
	rand.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
	return nodes
}

// Submit sends one submission of a job.
func (u *Users) Submit(ctx context.Context, job Job) Answer {
	u.mu.Lock()
	u.jobs[job.ID] = job
	u.mu.Unlock()
	return u.request(ctx, http.MethodPost, "/api/jobs", job.body(), changeTimeout)
}

// SubmitUntilAccepted repeats a submission until it is accepted or the context ends.
func (u *Users) SubmitUntilAccepted(ctx context.Context, job Job) (accepted bool) {
	for {
		answer := u.Submit(ctx, job)
		u.deployment.Record.Add("user: submit %s at %q: %d %q", job.ID, answer.Node, answer.Status, answer.State)
		if answer.Answered() {
			return true
		}
		if !sleep(ctx, answer.retryAfter) {
			return false
		}
	}
}

// Poll asks for a job's state once.
func (u *Users) Poll(ctx context.Context, id string) Answer {
	return u.request(ctx, http.MethodGet, "/api/jobs/"+id, nil, pollTimeout)
}

// Withdraw asks once to cancel a job.
func (u *Users) Withdraw(ctx context.Context, id string) Answer {
	return u.request(ctx, http.MethodPost, "/api/jobs/"+id+"/withdraw", nil, changeTimeout)
}

// request sends a request to a healthy node. A connection that is refused goes to the next one.
func (u *Users) request(ctx context.Context, method, path string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, node := range u.Healthy() {
		if node.isCut() {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, method, "http://"+node.API+path, bytes.NewReader(body))
		if err != nil {
			break
		}
		response, err := u.client.Do(request)
		var refused *net.OpError
		switch {
		case err == nil:
			return u.answer(response, node)
		case !errors.As(err, &refused) || refused.Op != "dial":
			return Answer{retryAfter: minRetry}
		}
	}
	return Answer{retryAfter: minRetry}
}

// answer reads an answer.
func (*Users) answer(response *http.Response, node *Node) Answer {
	defer response.Body.Close()
	a := Answer{Node: node.Name, retryAfter: minRetry}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.Status = response.StatusCode
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.retryAfter = min(maxRetry, max(minRetry, time.Duration(seconds)*time.Second))
	}
	var status wire.JobStatus
	if wire.Decode(raw, &status) == nil {
		a.State = status.Status
	}
	return a
}
