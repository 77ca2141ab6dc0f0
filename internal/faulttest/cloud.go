package faulttest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Cloud is a fake cloud that provisions machines of one type in several zones. It is safe for
// concurrent use.
type Cloud struct {
	server      *httptest.Server
	bootDelay   time.Duration
	capacity    int // machines per zone
	zones       []ids.Zone
	startWorker func(wire.Machine) *Worker

	mu       sync.Mutex
	outage   bool
	machines map[ids.MachineID]*cloudMachine
	requests map[string][]ids.MachineID // machines by the ID of their provision request
	lastID   int
}

// cloudMachine represents a provisioned machine.
type cloudMachine struct {
	wire.Machine
	provisioned time.Time
	worker      *Worker // nil while the machine boots
	terminated  bool
}

// The only machine type of the fake cloud.
const (
	machineType     = "m8"
	machineCPUs     = 8
	machineMemoryGB = 64
	machineCacheGB  = 50
)

// statusStarting is the status of a machine that is booting.
const statusStarting wire.MachineStatus = "starting"

// NewCloud starts a fake cloud on loopback. startWorker is called once a machine has booted and
// starts its worker. It runs under the cloud's lock and must not call the cloud.
func NewCloud(zones []ids.Zone, capacity int, boot time.Duration, startWorker func(wire.Machine) *Worker) *Cloud {
	c := &Cloud{bootDelay: boot, capacity: capacity, zones: zones, startWorker: startWorker,
		machines: map[ids.MachineID]*cloudMachine{}, requests: map[string][]ids.MachineID{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.handleCatalog)
	mux.HandleFunc("POST /hosts", c.handleProvision)
	mux.HandleFunc("POST /hosts/return", c.handleTerminate)
	mux.HandleFunc("GET /hosts", c.handleList)
	c.server = httptest.NewServer(c.refuseOrServe(mux))
	return c
}

// refuseOrServe returns a handler that refuses all requests during an outage, and otherwise passes them to
// next.
func (c *Cloud) refuseOrServe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.inOutage() {
			respond(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// StartOutage makes the cloud refuse all requests. Its machines continue to run.
func (c *Cloud) StartOutage() { c.setOutage(true) }

// EndOutage makes the cloud execute requests again.
func (c *Cloud) EndOutage() { c.setOutage(false) }

// setOutage sets whether the cloud refuses all requests.
func (c *Cloud) setOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

// inOutage reports whether the cloud refuses all requests.
func (c *Cloud) inOutage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage
}

// Address returns the host:port on which the cloud listens.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close stops the cloud, terminates all machines and waits until their workers have stopped.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
	for _, worker := range c.terminateAll() {
		worker.Wait()
	}
}

// terminateAll terminates all machines and returns the workers of all machines that ever booted.
func (c *Cloud) terminateAll() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, m := range c.machines {
		m.terminate()
		if m.worker != nil {
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// Workers returns the workers of the zone's machines that have booted and are not terminated.
func (c *Cloud) Workers(zone ids.Zone) []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, m := range c.machines {
		if m.Zone == zone && m.worker != nil && !m.terminated {
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// terminate stops the machine and every task on it.
func (m *cloudMachine) terminate() {
	if m.terminated {
		return
	}
	m.terminated = true
	if m.worker != nil {
		m.worker.Stop()
	}
}

func (c *Cloud) handleCatalog(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{{
		Name: machineType, CPUs: machineCPUs, MemoryGB: machineMemoryGB, CacheGB: machineCacheGB, FetchGBps: 1,
		Price: 1, SpotPrice: 0.4, BootS: c.bootDelay.Seconds(), Zones: c.zones,
	}}})
}

func (c *Cloud) handleProvision(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[wire.ProvisionRequest](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	machines, known := c.requests[request.RequestID]
	if !known {
		machines = c.addMachines(request)
	}
	if len(machines) == 0 {
		respond(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.requests[request.RequestID] = machines
	respond(w, http.StatusOK, wire.MachineIDs{IDs: machines})
}

// addMachines provisions the requested machines, or fewer if the zone's capacity does not suffice.
// The caller holds the lock.
func (c *Cloud) addMachines(request wire.ProvisionRequest) []ids.MachineID {
	var added []ids.MachineID
	for range min(request.Count, c.capacity-c.countMachines(request.Zone)) {
		c.lastID++
		m := &cloudMachine{provisioned: time.Now(), Machine: wire.Machine{
			ID:     ids.MachineID(fmt.Sprintf("n-%06d", c.lastID)),
			Type:   request.Type,
			Zone:   request.Zone,
			Spot:   request.Spot,
			Status: statusStarting,
		}}
		c.machines[m.ID] = m
		added = append(added, m.ID)
		time.AfterFunc(c.bootDelay, func() { c.finishBoot(m) })
	}
	return added
}

// countMachines returns the number of machines in the zone that are not terminated. The caller holds
// the lock.
func (c *Cloud) countMachines(zone ids.Zone) int {
	count := 0
	for _, m := range c.machines {
		if m.Zone == zone && !m.terminated {
			count++
		}
	}
	return count
}

// finishBoot starts the machine's worker, unless the machine was terminated while it booted.
func (c *Cloud) finishBoot(m *cloudMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.terminated {
		return
	}
	m.worker = c.startWorker(m.Machine)
	m.Endpoint, m.Status = m.worker.Address(), wire.MachineRunning
}

func (c *Cloud) handleTerminate(w http.ResponseWriter, r *http.Request) {
	body, ok := decodeBody[wire.MachineIDs](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range body.IDs {
		if m := c.machines[id]; m != nil {
			m.terminate()
		}
	}
	respond(w, http.StatusOK, map[string]bool{})
}

// handleList responds with all machines after the ID in the since parameter, in one page.
func (c *Cloud) handleList(w http.ResponseWriter, r *http.Request) {
	since := ids.MachineID(r.URL.Query().Get("since"))
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for id, m := range c.machines {
		if !m.terminated && id > since {
			listed := m.Machine
			listed.AgeS = time.Since(m.provisioned).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	slices.SortFunc(page.Machines, func(a, b wire.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	respond(w, http.StatusOK, page)
}
