package main

import (
	"fmt"
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

// timeNow returns the time. The program uses no other clock.
func timeNow() time.Time { return time.Now() }

// respond writes a response with the status and the encoded body.
func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body)) // fails only if the client has disconnected
}

// decodeBody decodes the body of a request. If that fails, it responds with 400.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (body T, ok bool) {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = wire.Decode(raw, &body)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
	}
	return body, err == nil
}

// cloudService is the stand-in of the cloud. It is safe for concurrent use.
type cloudService struct {
	deployment *deployment
	server     *httptest.Server
	address    string

	mu       sync.Mutex
	machines []*machine // in the order of their names
	bookings map[string][]ids.MachineID
	closed   bool
}

// machine is a machine that was rented.
type machine struct {
	wire.Machine
	rented   time.Time
	worker   *worker // nil while the machine boots
	returned bool
}

func newCloudService(d *deployment) *cloudService {
	c := &cloudService{deployment: d, bookings: map[string][]ids.MachineID{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.catalog)
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.giveBack)
	mux.HandleFunc("GET /hosts", c.list)
	c.server = httptest.NewServer(mux)
	c.address = strings.TrimPrefix(c.server.URL, "http://")
	return c
}

func (c *cloudService) catalog(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, wire.Catalog{Types: c.deployment.types})
}

// rent rents machines as far as there are any.
func (c *cloudService) rent(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[wire.ProvisionRequest](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.bookings[request.RequestID]
	if !known {
		for range min(request.Count, c.available(request)) {
			names = append(names, c.add(request).ID)
		}
	}
	if len(names) == 0 {
		respond(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.bookings[request.RequestID] = names
	c.deployment.record.addf("cloud: %s rents %v", request.RequestID, names)
	respond(w, http.StatusOK, wire.MachineIDs{IDs: names})
}

// available returns how many machines of a site the cloud has left. The caller holds the lock, as for add.
func (c *cloudService) available(request wire.ProvisionRequest) int {
	if request.Spot {
		return 0
	}
	left := c.deployment.capacity
	for _, m := range c.machines {
		if !m.returned && m.Type == request.Type && m.Zone == request.Zone {
			left--
		}
	}
	return max(0, left)
}

// add adds a machine that boots.
func (c *cloudService) add(request wire.ProvisionRequest) *machine {
	m := &machine{rented: timeNow(), Machine: wire.Machine{ID: ids.MachineID(fmt.Sprintf("n-%06d", len(c.machines)+1)),
		Type: request.Type, Zone: request.Zone, Spot: request.Spot, Status: "starting"}}
	c.machines = append(c.machines, m)
	time.AfterFunc(c.deployment.boot, func() { c.finishBoot(m) })
	return m
}

// finishBoot starts the worker of a machine.
func (c *cloudService) finishBoot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.returned || c.closed {
		return
	}
	m.worker = startWorker(c.deployment, m.Machine)
	m.Endpoint, m.Status = m.worker.machine.Endpoint, wire.MachineRunning
	c.deployment.record.addf("cloud: %s is up", m.ID)
}

// giveBack deletes machines.
func (c *cloudService) giveBack(w http.ResponseWriter, r *http.Request) {
	body, ok := decodeBody[wire.MachineIDs](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if slices.Contains(body.IDs, m.ID) && !m.returned {
			c.deployment.record.addf("cloud: %s is returned", m.ID)
			m.end()
		}
	}
	respond(w, http.StatusOK, map[string]bool{})
}

// end ends a machine with all its tasks.
func (m *machine) end() {
	m.returned = true
	if m.worker != nil {
		m.worker.stop()
	}
}

// list responds with all machines after a name in one page. It does not lag.
func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	since := ids.MachineID(r.URL.Query().Get("since"))
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for _, m := range c.machines {
		if !m.returned && m.ID > since {
			listed := m.Machine
			listed.AgeS = time.Since(m.rented).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	respond(w, http.StatusOK, page)
}

// workers returns the workers of all machines that are up.
func (c *cloudService) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*worker
	for _, m := range c.machines {
		if m.worker != nil && !m.returned {
			up = append(up, m.worker)
		}
	}
	return up
}

// close ends the cloud and all machines.
func (c *cloudService) close() {
	c.server.CloseClientConnections()
	c.server.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, m := range c.machines {
		if !m.returned {
			m.end()
		}
	}
}
