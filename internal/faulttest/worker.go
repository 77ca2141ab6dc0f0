package faulttest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// workerEnvironment holds what a worker uses of its deployment.
type workerEnvironment struct {
	timing      Timing
	controllers []string // addresses
	users       *Users
	history     *History
}

// Worker is a fake for the worker of one machine. It is safe for concurrent use.
type Worker struct {
	workerEnvironment
	machine          wire.Machine
	server           *httptest.Server
	client           *http.Client
	cancel           context.CancelFunc
	heartbeatTrigger chan struct{} // requests a heartbeat before the interval ends
	goroutines       sync.WaitGroup

	mu              sync.Mutex
	incarnation     ids.AgentIncarnation
	sequence        ids.Sequence
	fencingToken    ids.FencingToken
	tasks           []*workerTask
	images          map[ids.Image]bool
	leaseRenewedAt  time.Time // send time of the last acknowledged heartbeat
	partitioned     bool
	stopped         bool
	controllerIndex int // index of the controller that receives the heartbeats; taken modulo their number
}

const (
	// heartbeatTimeout is the timeout of a heartbeat request.
	heartbeatTimeout = 4 * time.Second
	// heartbeatsPerInterval limits the heartbeats per interval that state changes trigger.
	heartbeatsPerInterval = 10
)

// startWorker starts the worker of the machine. Stop and Wait end it.
func startWorker(environment workerEnvironment, machine wire.Machine, partitioned bool) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		workerEnvironment: environment,
		machine:           machine,
		client:            &http.Client{Timeout: heartbeatTimeout},
		cancel:            cancel,
		heartbeatTrigger:  make(chan struct{}, 1),
		incarnation:       1,
		images:            map[ids.Image]bool{},
		leaseRenewedAt:    time.Now(),
		partitioned:       partitioned,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.handleCommands)
	mux.HandleFunc("GET /show", w.handleStatus)
	w.server = httptest.NewServer(mux)
	w.machine.Endpoint = w.Address()
	w.goroutines.Go(func() { w.run(ctx) })
	return w
}

// Address returns the host:port on which the worker listens.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// Partition isolates the machine from the network.
func (w *Worker) Partition() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = true
}

// Heal ends the network partition.
func (w *Worker) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = false
}

// Stop stops the worker and terminates its tasks. It must be called only once and does not wait for
// requests in flight.
func (w *Worker) Stop() {
	w.cancel()
	w.mu.Lock()
	w.stopped = true
	w.dropTasks()
	w.mu.Unlock()
	w.goroutines.Go(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
}

// Wait blocks until all goroutines of a stopped worker have returned.
func (w *Worker) Wait() { w.goroutines.Wait() }

// run sends heartbeats until the context is canceled.
func (w *Worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.expireLease()
		w.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-w.heartbeatTrigger:
			monotonic.Sleep(ctx, w.timing.HeartbeatInterval/heartbeatsPerInterval)
		case <-time.After(w.timing.HeartbeatInterval):
		}
	}
}

// expireLease terminates all tasks and begins a new incarnation if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaseExpired() {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

// leaseExpired reports whether the worker's lease has expired. The caller holds the lock.
func (w *Worker) leaseExpired() bool { return time.Since(w.leaseRenewedAt) > w.timing.Lease }

// nextHeartbeat returns a heartbeat with the next sequence number. The caller holds the lock.
func (w *Worker) nextHeartbeat() wire.Heartbeat {
	w.sequence++
	heartbeat := wire.Heartbeat{
		Machine:      w.machine.ID,
		Endpoint:     w.machine.Endpoint,
		Type:         w.machine.Type,
		Zone:         w.machine.Zone,
		Spot:         w.machine.Spot,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.fencingToken,
		Tasks:        []wire.TaskStatus{},
	}
	for _, task := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to a controller and executes the commands in the response. If the
// controller does not accept the heartbeat, the next one goes to the next controller.
func (w *Worker) sendHeartbeat(ctx context.Context) {
	w.mu.Lock()
	if w.partitioned || w.stopped {
		w.mu.Unlock()
		return
	}
	heartbeat, sent := w.nextHeartbeat(), time.Now()
	address := w.controllers[w.controllerIndex%len(w.controllers)]
	w.mu.Unlock()
	status, body, err := w.post(ctx, "http://"+address+"/hello", wire.Encode(heartbeat))
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || status != http.StatusOK {
		w.controllerIndex++
		return
	}
	var response wire.HeartbeatResponse
	if wire.Decode(body, &response) != nil || response.FencingToken < w.fencingToken {
		return
	}
	if w.partitioned || w.stopped || heartbeat.Incarnation != w.incarnation {
		return
	}
	w.fencingToken, w.leaseRenewedAt = response.FencingToken, sent
	w.executeCommands(response.Commands)
}

// post sends a POST request and returns the status and body of the response.
func (w *Worker) post(ctx context.Context, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

// triggerHeartbeat requests a heartbeat before the interval ends.
func (w *Worker) triggerHeartbeat() {
	select {
	case w.heartbeatTrigger <- struct{}{}:
	default: // already requested
	}
}

// handleStatus responds with the worker's status, encoded as a heartbeat.
func (w *Worker) handleStatus(rw http.ResponseWriter, _ *http.Request) {
	if w.dropIfUnreachable(rw) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	respond(rw, http.StatusOK, w.nextHeartbeat())
}

// handleCommands executes the commands that the leader sends between heartbeats. It rejects commands
// with an older fencing token or for another incarnation.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	if w.dropIfUnreachable(rw) {
		return
	}
	batch, ok := decodeBody[wire.CommandBatch](rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if batch.FencingToken < w.fencingToken || batch.Incarnation != w.incarnation || w.stopped {
		respond(rw, http.StatusConflict, w.nextHeartbeat())
		return
	}
	w.fencingToken = batch.FencingToken
	w.executeCommands(batch.Commands)
	respond(rw, http.StatusOK, w.nextHeartbeat())
}

// dropIfUnreachable closes the connection without a response if the machine is partitioned or stopped.
// It reports whether it did.
func (w *Worker) dropIfUnreachable(rw http.ResponseWriter) bool {
	w.mu.Lock()
	unreachable := w.partitioned || w.stopped
	w.mu.Unlock()
	if !unreachable {
		return false
	}
	if connection, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		connection.Close()
	}
	return true
}
