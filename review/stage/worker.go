package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// The times of the protocol with workers.
const (
	reportTimeout    = 4 * time.Second
	nextNodeDelay    = time.Second
	minReportSpacing = 500 * time.Millisecond
	leaseCheck       = 50 * time.Millisecond
)

// worker is the stand-in of the worker of one machine, as the protocol describes it. It is safe for
// concurrent use.
type worker struct {
	deployment *deployment
	machine    wire.Machine
	server     *httptest.Server
	client     *http.Client
	cancel     context.CancelFunc
	changed    chan struct{}

	mu      sync.Mutex
	tenure  ids.AgentIncarnation
	tick    ids.Sequence
	baton   ids.FencingToken
	tasks   []*task
	images  map[ids.Image]time.Time // when each image is there
	renewed time.Time               // when the last answered report was sent
	node    int                     // index of the controller that gets the reports
	stopped bool
	// refusals counts the answers to reports since the last report with a valid answer, by status. The
	// status 0 stands for no answer.
	refusals map[int]int
	// lostLeases holds the refusals at each end of a lease.
	lostLeases []map[int]int
}

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	job   *job
	timer *time.Timer
}

// startWorker starts the worker of a machine.
func startWorker(d *deployment, m wire.Machine) *worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{deployment: d, machine: m, client: &http.Client{Timeout: reportTimeout}, cancel: cancel,
		changed: make(chan struct{}, 1), tenure: 1, images: map[ids.Image]time.Time{}, renewed: timeNow(),
		node: rand.IntN(len(d.controllers)), refusals: map[int]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /show", w.show)
	w.server = httptest.NewServer(mux)
	w.machine.Endpoint = strings.TrimPrefix(w.server.URL, "http://")
	go w.reports(ctx)
	go w.leases(ctx)
	return w
}

// stop ends the worker and its tasks.
func (w *worker) stop() {
	w.cancel()
	w.mu.Lock()
	w.stopped = true
	w.dropTasks("its machine was returned")
	w.mu.Unlock()
	go func() {
		w.server.CloseClientConnections()
		w.server.Close()
	}()
}

// leases ends the lease when it is over.
func (w *worker) leases(ctx context.Context) {
	lease := monotonic.Seconds(w.deployment.settings.Workers.LeaseS)
	for monotonic.Sleep(ctx, leaseCheck) {
		w.mu.Lock()
		if time.Since(w.renewed) > lease {
			w.deployment.record.addf("%s: lease over, tenure %d; answers since the last valid one by status: %v", w.machine.ID, w.tenure, w.refusals)
			w.lostLeases = append(w.lostLeases, w.refusals)
			w.refusals = map[int]int{}
			w.dropTasks("its lease is over")
			w.tenure++
			w.renewed = timeNow()
			w.change()
		}
		w.mu.Unlock()
	}
}

// dropTasks kills and forgets all tasks. The caller holds the lock, as for all methods below but those of HTTP.
func (w *worker) dropTasks(why string) {
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		if t.State == wire.TaskRunning {
			w.deployment.record.addf("%s: %s try %d killed, %s", w.machine.ID, t.Name, t.Attempt, why)
			t.job.ended(t.Name)
		}
	}
	w.tasks = nil
}

// change asks for a report.
func (w *worker) change() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// reports sends reports until the context ends.
func (w *worker) reports(ctx context.Context) {
	interval := monotonic.Seconds(w.deployment.settings.Workers.HeartbeatIntervalS)
	for ctx.Err() == nil {
		sent := timeNow()
		pause := w.report(ctx)
		if pause < 0 {
			pause = time.Duration(float64(interval) * (0.75 + rand.Float64()/2))
			w.await(ctx, sent, pause)
			continue
		}
		monotonic.Sleep(ctx, pause)
	}
}

// await waits for a pause, or until something has changed and minReportSpacing has passed.
func (w *worker) await(ctx context.Context, sent time.Time, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.changed:
		monotonic.Sleep(ctx, minReportSpacing-time.Since(sent))
	}
}

// status returns the worker's report.
func (w *worker) status() wire.Heartbeat {
	w.tick++
	report := wire.Heartbeat{Machine: w.machine.ID, Endpoint: w.machine.Endpoint, Type: w.machine.Type, Zone: w.machine.Zone,
		Spot: w.machine.Spot, Incarnation: w.tenure, Sequence: w.tick, FencingToken: w.baton, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, t.TaskStatus)
	}
	return report
}

// report sends one report. It returns the delay before the next one, which goes to another node then, or a
// negative duration if the worker stays with the node.
func (w *worker) report(ctx context.Context) time.Duration {
	w.mu.Lock()
	report, sent := w.status(), timeNow()
	target := w.deployment.controllers[w.node%len(w.deployment.controllers)]
	w.mu.Unlock()
	body := wire.Encode(report)
	status, answer := w.send(ctx, "http://"+target.api+"/hello", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	if status != http.StatusOK {
		w.refusals[status]++
		w.deployment.record.addf("%s: report with %d tasks, %d bytes, answered by %s with status %d", w.machine.ID, len(report.Tasks), len(body), target.name, status)
		return w.leave(status, answer)
	}
	var response wire.HeartbeatResponse
	if wire.Decode(answer, &response) != nil || response.FencingToken < w.baton || report.Incarnation != w.tenure {
		return -1
	}
	w.baton, w.renewed = response.FencingToken, sent
	clear(w.refusals)
	w.execute(response.Commands)
	return -1
}

// leave chooses the node that gets the next report after an answer that is not 200.
func (w *worker) leave(status int, answer []byte) time.Duration {
	var redirect wire.Redirect
	if status == http.StatusMisdirectedRequest && wire.Decode(answer, &redirect) == nil {
		i := slices.IndexFunc(w.deployment.controllers, func(c *controllerProcess) bool { return c.name == redirect.Target })
		if i >= 0 && i != w.node%len(w.deployment.controllers) {
			w.node = i
			return 0
		}
	}
	w.node++
	return nextNodeDelay
}

// send sends a request. The status is 0 without an answer.
func (w *worker) send(ctx context.Context, url string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// show answers with the worker's report.
func (w *worker) show(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	respond(rw, http.StatusOK, w.status())
}

// do executes commands if their token and session are valid.
func (w *worker) do(rw http.ResponseWriter, r *http.Request) {
	batch, ok := decodeBody[wire.CommandBatch](rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || batch.FencingToken < w.baton || batch.Incarnation != w.tenure {
		respond(rw, http.StatusConflict, w.status())
		return
	}
	w.baton = batch.FencingToken
	w.execute(batch.Commands)
	respond(rw, http.StatusOK, w.status())
}
