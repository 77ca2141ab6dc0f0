package faulttest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Worker is a stand-in for the worker of one machine.
type Worker struct {
	machine wire.Machine
	world   *World
	server  *httptest.Server
	client  *http.Client
	stop    context.CancelFunc
	wake    chan struct{}

	mu       sync.Mutex
	session  ids.AgentIncarnation
	sequence ids.Sequence
	token    ids.FencingToken
	tasks    []*workerTask
	images   map[ids.Image]bool
	renewed  time.Time // when the last answered report was sent
	cut      bool
	stopped  bool
	node     int
}

// workerTask is an attempt on the machine.
type workerTask struct {
	wire.TaskStatus
	ref   ids.TaskRef
	timer *time.Timer
}

// startWorker brings up a machine's worker.
func startWorker(world *World, machine wire.Machine, cut bool) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{machine: machine, world: world, stop: cancel, wake: make(chan struct{}, 1), session: 1, images: map[ids.Image]bool{}, renewed: time.Now(), cut: cut,
		client: &http.Client{Timeout: 4 * time.Second}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		if !w.reached(rw) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
	})
	w.server = httptest.NewServer(mux)
	w.machine.Endpoint = w.Address()
	go w.run(ctx)
	return w
}

// Address is where the worker listens.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// SetCut cuts the machine off from everything, or connects it again.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Stop ends the machine.
func (w *Worker) Stop() {
	w.stop()
	w.mu.Lock()
	w.stopped = true
	w.endAll()
	w.mu.Unlock()
	go func() {
		w.server.CloseClientConnections()
		w.server.Close()
	}()
}

// reached drops a request while the machine is cut off: its caller gets no answer.
func (w *Worker) reached(rw http.ResponseWriter) bool {
	w.mu.Lock()
	cut := w.cut || w.stopped
	w.mu.Unlock()
	if !cut {
		return true
	}
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			conn.Close()
		}
	}
	return false
}

// run reports until the machine ends.
func (w *Worker) run(ctx context.Context) {
	for {
		w.expire()
		w.sendReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			time.Sleep(w.world.Report / 10)
		case <-time.After(w.world.Report):
		}
	}
}

// expire ends the session when its lease is over.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.renewed) > w.world.Lease {
		w.endAll()
		w.session++
		w.renewed = time.Now()
	}
}

// endAll ends and forgets all tasks.
func (w *Worker) endAll() {
	for _, t := range w.tasks {
		if t.State != wire.TaskEnded {
			w.note(t, Gone)
		}
		if t.timer != nil {
			t.timer.Stop()
		}
	}
	w.tasks = nil
}

// note adds an act to the history.
func (w *Worker) note(t *workerTask, kind ActKind) {
	w.world.History.Add(Act{Task: t.ref, Attempt: t.Attempt, Host: w.machine.ID, Zone: w.machine.Zone, Kind: kind})
}

// report makes the next report.
func (w *Worker) report() wire.Heartbeat {
	w.sequence++
	r := wire.Heartbeat{Machine: w.machine.ID, Endpoint: w.machine.Endpoint, Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.session, Sequence: w.sequence, FencingToken: w.token, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// sendReport reports to one node, and goes on to the next if that does not answer.
func (w *Worker) sendReport(ctx context.Context) {
	w.mu.Lock()
	if w.cut || w.stopped {
		w.mu.Unlock()
		return
	}
	raw, sent, session := wire.Encode(w.report()), time.Now(), w.session
	address := w.world.NodeAddress(w.node)
	w.mu.Unlock()
	status, body, err := w.post(ctx, "http://"+address+"/hello", raw)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || status != http.StatusOK {
		w.node++
		return
	}
	var answer wire.HeartbeatResponse
	if w.cut || w.stopped || session != w.session || wire.Decode(body, &answer) != nil || answer.FencingToken < w.token {
		return
	}
	w.token, w.renewed = answer.FencingToken, sent
	w.execute(answer.Commands)
}

// post sends one request.
func (w *Worker) post(ctx context.Context, url string, raw []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// do executes direct commands.
func (w *Worker) do(rw http.ResponseWriter, r *http.Request) {
	if !w.reached(rw) {
		return
	}
	command, ok := read[wire.CommandBatch](rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusConflict
	if command.FencingToken >= w.token && command.Incarnation == w.session && !w.stopped {
		status, w.token = http.StatusOK, command.FencingToken
		w.execute(command.Commands)
	}
	reply(rw, status, w.report())
}

// execute carries commands out, under the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		ref, _ := ids.ParseTask(c.Name)
		at := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.ref == ref && t.Attempt == c.Attempt })
		switch {
		case c.Verb == wire.VerbRun && at < 0:
			w.begin(ref, c)
		case c.Verb == wire.VerbKill && at >= 0 && w.tasks[at].State != wire.TaskEnded:
			w.finish(w.tasks[at], wire.CauseStopped)
		case c.Verb == wire.VerbReap && at >= 0 && w.tasks[at].State == wire.TaskEnded:
			w.tasks = slices.Delete(w.tasks, at, at+1)
		}
		w.reportSoon()
	}
}

// begin fetches a task's image and then runs it.
func (w *Worker) begin(ref ids.TaskRef, c wire.Command) {
	job, known := w.world.Job(ref.Job)
	t := &workerTask{TaskStatus: wire.TaskStatus{Name: c.Name, Attempt: c.Attempt, State: wire.TaskFetching}, ref: ref}
	w.tasks = append(w.tasks, t)
	if !known {
		t.State, t.Cause = wire.TaskEnded, wire.CauseNoSuch
		return
	}
	w.note(t, Fetching)
	wait := w.world.Fetch
	if w.images[job.Image] {
		wait = time.Millisecond
	}
	t.timer = time.AfterFunc(wait, func() { w.runTask(t, job) })
}

// runTask runs a task whose image is there.
func (w *Worker) runTask(t *workerTask, job Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.tasks, t) || t.State != wire.TaskFetching || time.Since(w.renewed) > w.world.Lease {
		return
	}
	w.images[job.Image] = true
	t.State = wire.TaskRunning
	w.note(t, Running)
	w.reportSoon()
	if !job.Service {
		t.timer = time.AfterFunc(job.Run, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if slices.Contains(w.tasks, t) && t.State == wire.TaskRunning && time.Since(w.renewed) <= w.world.Lease {
				w.finish(t, wire.CauseDone)
			}
		})
	}
}

// finish ends a task, under the lock.
func (w *Worker) finish(t *workerTask, cause wire.ExitCause) {
	t.State, t.Cause = wire.TaskEnded, cause
	if t.timer != nil {
		t.timer.Stop()
	}
	kind := Gone
	if cause == wire.CauseDone {
		kind = Completed
	}
	w.note(t, kind)
	w.reportSoon()
}

// reportSoon has the next report come before its time.
func (w *Worker) reportSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
