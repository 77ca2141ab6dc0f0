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

// workerEnvironment is what a worker needs of the deployment.
type workerEnvironment struct {
	timing      Timing
	controllers []string // addresses
	users       *Users
	history     *History
}

// Worker is a stand-in for the worker of one machine. Its methods may be called from any
// goroutine.
type Worker struct {
	workerEnvironment
	machine          wire.Machine
	server           *httptest.Server
	client           *http.Client
	cancel           context.CancelFunc
	heartbeatTrigger chan struct{} // asks for a heartbeat before its time
	goroutines       sync.WaitGroup

	mu              sync.Mutex
	incarnation     ids.AgentIncarnation
	sequence        ids.Sequence
	fencingToken    ids.FencingToken
	tasks           []*workerTask
	images          map[ids.Image]bool
	leaseRenewedAt  time.Time // when the last answered heartbeat was sent
	partitioned     bool
	stopped         bool
	controllerIndex int // the index of the one that gets the heartbeats
}

const (
	// heartbeatTimeout bounds the wait for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatsPerInterval bounds the heartbeats that changes cause.
	heartbeatsPerInterval = 10
)

// startWorker starts a machine's worker. It ends with Stop and Wait.
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

// Address is host:port of the worker.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// Partition cuts the machine off from everything.
func (w *Worker) Partition() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = true
}

// Heal ends the partition.
func (w *Worker) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = false
}

// Stop ends the machine. It is called once, and does not wait for requests in flight.
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

// Wait waits until a stopped worker has ended.
func (w *Worker) Wait() { w.goroutines.Wait() }

// run sends heartbeats until the context ends.
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

// expireLease ends the incarnation and its tasks once the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaseExpired() {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

// leaseExpired reports whether the lease has expired. The caller holds the lock.
func (w *Worker) leaseExpired() bool { return time.Since(w.leaseRenewedAt) > w.timing.Lease }

// nextHeartbeat returns the next heartbeat. The caller holds the lock.
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

// sendHeartbeat sends a heartbeat to a controller and executes the commands of the
// response. The next heartbeat goes to the next controller if this one does not accept it.
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

// post sends one request.
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

// triggerHeartbeat has the next heartbeat sent before its time.
func (w *Worker) triggerHeartbeat() {
	select {
	case w.heartbeatTrigger <- struct{}{}:
	default: // one is asked for already
	}
}

// handleStatus responds with the worker's status.
func (w *Worker) handleStatus(rw http.ResponseWriter, _ *http.Request) {
	if w.dropIfUnreachable(rw) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	respond(rw, http.StatusOK, w.nextHeartbeat())
}

// handleCommands executes commands that the leader sends between heartbeats.
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

// dropIfUnreachable drops a request that cannot reach the machine, and reports whether
// it did. The caller of the request gets no response.
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
