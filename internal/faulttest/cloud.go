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

// Cloud is a stand-in for the cloud, with machines of one type in several zones. Its
// methods may be called from any goroutine.
type Cloud struct {
	server      *httptest.Server
	bootDelay   time.Duration
	capacity    int // machines of each zone
	zones       []ids.Zone
	startWorker func(wire.Machine) *Worker

	mu       sync.Mutex
	machines map[ids.MachineID]*cloudMachine
	requests map[string][]ids.MachineID // the machines of each provision request, by its id
	lastID   int
}

// cloudMachine is a machine that was provisioned.
type cloudMachine struct {
	wire.Machine
	provisioned time.Time
	worker      *Worker // nil while the machine boots
	terminated  bool
}

// The machine type of the stand-in.
const (
	machineType     = "m8"
	machineCPUs     = 8
	machineMemoryGB = 64
	machineCacheGB  = 50
)

// statusStarting is the status of a machine that boots.
const statusStarting wire.MachineStatus = "starting"

// NewCloud starts a cloud on loopback. startWorker starts the worker of a machine that has
// booted; it must not call the cloud.
func NewCloud(zones []ids.Zone, capacity int, boot time.Duration, startWorker func(wire.Machine) *Worker) *Cloud {
	c := &Cloud{bootDelay: boot, capacity: capacity, zones: zones, startWorker: startWorker,
		machines: map[ids.MachineID]*cloudMachine{}, requests: map[string][]ids.MachineID{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.handleCatalog)
	mux.HandleFunc("POST /hosts", c.handleProvision)
	mux.HandleFunc("POST /hosts/return", c.handleTerminate)
	mux.HandleFunc("GET /hosts", c.handleList)
	c.server = httptest.NewServer(mux)
	return c
}

// Address is host:port of the cloud.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close ends the cloud and all machines, and waits for the end of their workers.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
	for _, worker := range c.terminateAll() {
		worker.Wait()
	}
}

// terminateAll terminates all machines, and lists the workers of all that ever booted.
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

// Workers lists the workers of a zone's machines that have booted.
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

// terminate ends a machine with all that runs on it.
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

// addMachines provisions as many machines as the zone has capacity for. The caller holds
// the lock.
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

// countMachines counts a zone's machines that are not terminated. The caller holds the
// lock.
func (c *Cloud) countMachines(zone ids.Zone) int {
	count := 0
	for _, m := range c.machines {
		if m.Zone == zone && !m.terminated {
			count++
		}
	}
	return count
}

// finishBoot starts a machine's worker, unless the machine was terminated before.
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

// handleList responds with all machines in one page.
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
