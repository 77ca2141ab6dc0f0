package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

const (
	// reportTimeout is how long a worker waits for the answer to a report.
	reportTimeout = 4 * time.Second
	// reportGap is the least time between two reports.
	reportGap = 500 * time.Millisecond
	// nextNodeDelay is the pause before a worker tries the next node.
	nextNodeDelay = time.Second
	// leaseCheckInterval is how often a worker checks its lease.
	leaseCheckInterval = 20 * time.Millisecond
)

// Worker is a stand-in for the worker of one machine. It is safe for concurrent use.
type Worker struct {
	record  *Record
	machine wire.Machine
	kind    wire.MachineType
	nodes   []*Node
	jobs    *Users
	every   time.Duration
	lease   time.Duration
	server  *http.Server
	client  *http.Client
	cancel  context.CancelFunc
	changed chan struct{}

	mu      sync.Mutex
	tenure  ids.AgentIncarnation
	tick    ids.Sequence
	baton   ids.FencingToken
	legs    []*leg
	images  map[string]bool
	renewed time.Time     // when the last answered report was sent
	cut     chan struct{} // nil unless the machine is cut off; closed when the cut ends
	node    int
}

// leg is one attempt of a task on the machine.
type leg struct {
	wire.TaskStatus
	job     Job
	timer   *time.Timer
	started time.Time
}

// startWorker starts the worker of a machine. stop ends it.
func startWorker(record *Record, options *Options, machine wire.Machine, nodes []*Node, jobs *Users) (*Worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{record: record, machine: machine, nodes: nodes, jobs: jobs, every: options.Report, lease: options.Lease,
		client: &http.Client{Timeout: reportTimeout}, cancel: cancel, changed: make(chan struct{}, 1),
		tenure: 1, images: map[string]bool{}, renewed: time.Now()}
	if w.node = options.FirstNode; w.node < 0 {
		w.node = rand.IntN(len(nodes))
	}
	for _, kind := range options.Types {
		if kind.Name == machine.Type {
			w.kind = kind
		}
	}
	w.machine.Endpoint = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /show", w.show)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: reportTimeout}
	go func() { _ = w.server.Serve(listener) }() // returns once stop closes the server
	go w.run(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// stop ends the worker and its tasks, as when its machine is returned.
func (w *Worker) stop() {
	w.cancel()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropLegs("machine is gone")
}

// Cut cuts the machine off from the network. What others send to it hangs.
func (w *Worker) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = make(chan struct{})
	w.client.CloseIdleConnections()
}

// Heal ends the cut.
func (w *Worker) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		close(w.cut)
		w.cut = nil
	}
}

// cutOff returns a channel that is closed when the cut ends, or nil if there is none.
func (w *Worker) cutOff() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// sleep waits and reports whether the worker goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// run sends reports until the worker stops.
func (w *Worker) run(ctx context.Context) {
	for {
		sent := time.Now()
		if !w.report(ctx) {
			if !sleep(ctx, nextNodeDelay) {
				return
			}
			continue
		}
		spread := w.every / 4
		interval := w.every - spread + rand.N(2*spread)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		case <-w.changed:
			if !sleep(ctx, time.Until(sent.Add(reportGap))) {
				return
			}
		}
	}
}

// watchLease ends all tasks when the lease has expired.
func (w *Worker) watchLease(ctx context.Context) {
	for sleep(ctx, leaseCheckInterval) {
		w.mu.Lock()
		if time.Since(w.renewed) > w.lease {
			w.record.Add("worker %s: lease of session %d is over", w.machine.ID, w.tenure)
			w.dropLegs("lease is over")
			w.tenure++
			w.renewed = time.Now()
			w.noteChange()
		}
		w.mu.Unlock()
	}
}

// dropLegs ends and forgets all tasks. The caller holds the lock, as for noteChange and message.
func (w *Worker) dropLegs(why string) {
	for _, l := range w.legs {
		if l.timer != nil {
			l.timer.Stop()
		}
		if l.State == wire.TaskRunning {
			w.record.Add("worker %s: %s try %d ends: %s", w.machine.ID, l.Name, l.Attempt, why)
		}
	}
	w.legs = nil
}

// noteChange asks for a report before the next one is due.
func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// message returns the worker's report.
func (w *Worker) message() wire.Heartbeat {
	w.tick++
	m := wire.Heartbeat{Machine: w.machine.ID, Endpoint: w.machine.Endpoint, Type: w.machine.Type, Zone: w.machine.Zone,
		Spot: w.machine.Spot, Incarnation: w.tenure, Sequence: w.tick, FencingToken: w.baton, Tasks: []wire.TaskStatus{}}
	for _, l := range w.legs {
		m.Tasks = append(m.Tasks, l.TaskStatus)
	}
	return m
}

// report sends one report and executes the answer. It reports whether the worker stays with the node.
func (w *Worker) report(ctx context.Context) (stays bool) {
	if cut := w.cutOff(); cut != nil {
		sleep(ctx, reportTimeout)
		w.nextNode()
		return false
	}
	w.mu.Lock()
	message, sent, node := w.message(), time.Now(), w.nodes[w.node%len(w.nodes)]
	w.mu.Unlock()
	status, body := w.post(ctx, node, message)
	var answer struct {
		wire.HeartbeatResponse
		wire.Redirect
	}
	switch {
	case w.cutOff() != nil || status != http.StatusOK && status != http.StatusMisdirectedRequest || wire.Decode(body, &answer) != nil:
		w.nextNode()
		return false
	case status == http.StatusMisdirectedRequest:
		return w.follow(node, answer.Target)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if message.Incarnation == w.tenure && answer.FencingToken >= w.baton {
		if answer.FencingToken > w.baton {
			w.noteChange()
		}
		w.baton, w.renewed = answer.FencingToken, sent
		w.execute(answer.Commands)
	}
	return true
}

// nextNode turns the worker to the next node.
func (w *Worker) nextNode() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node++
}

// follow turns the worker to the node that an answer names.
func (w *Worker) follow(from *Node, target ids.ControllerName) (found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, node := range w.nodes {
		if node != from && node.Name == string(target) {
			w.node = i
			return true
		}
	}
	w.node++
	return false
}

// post sends a report to a node. The status is 0 if there was no answer.
func (w *Worker) post(ctx context.Context, node *Node, message wire.Heartbeat) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.API+"/hello", bytes.NewReader(wire.Encode(message)))
	if err != nil || node.cutFor(w.machine.Zone) {
		sleep(ctx, reportTimeout)
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
