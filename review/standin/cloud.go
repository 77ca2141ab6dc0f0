package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Cloud is a stand-in for the cloud. It is safe for concurrent use.
type Cloud struct {
	deployment *Deployment

	mu       sync.Mutex
	trouble  bool
	hosts    map[ids.MachineID]*host
	bookings map[string][]ids.MachineID
	lastHost int
	returns  []Return
}

// host is a machine that was rented and not returned.
type host struct {
	wire.Machine
	rented time.Time
	worker *Worker // nil while the machine boots
}

// Return is the return of a machine by a node. Leader is the node that led then, according to the state
// service, since LeaderSince. Running holds the tasks that ran on the machine, with their starts.
type Return struct {
	Node        string
	Machine     ids.MachineID
	At          time.Time
	Leader      string
	LeaderSince time.Time
	Running     map[string]time.Time
}

func newCloud(d *Deployment) *Cloud {
	return &Cloud{deployment: d, hosts: map[ids.MachineID]*host{}, bookings: map[string][]ids.MachineID{}}
}

// addInitial adds the machines that are up at the start.
func (c *Cloud) addInitial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	options := &c.deployment.Options
	for _, zone := range options.Zones {
		for range options.Initial {
			c.addHost(options.Types[0].Name, zone, 0)
		}
	}
}

// Returns returns all returns of machines so far.
func (c *Cloud) Returns() []Return {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.returns)
}

// SetTrouble begins or ends an outage, in which every call gets 503.
func (c *Cloud) SetTrouble(trouble bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trouble = trouble
	c.deployment.Record.Add("cloud: outage %v", trouble)
}

// Workers returns the workers of the machines in a zone that are up.
func (c *Cloud) Workers(zone ids.Zone) []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, h := range c.hosts {
		if h.Zone == zone && h.worker != nil {
			workers = append(workers, h.worker)
		}
	}
	return workers
}

// stop ends all workers.
func (c *Cloud) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.worker != nil {
			h.worker.stop()
		}
	}
}

// handler returns the cloud's HTTP interface for one node.
func (c *Cloud) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, wire.Catalog{Types: c.deployment.Options.Types})
	})
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) { c.rent(w, r, node) })
	mux.HandleFunc("POST /hosts/return", func(w http.ResponseWriter, r *http.Request) { c.take(w, r, node) })
	mux.HandleFunc("GET /hosts", c.list)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		trouble := c.trouble
		c.mu.Unlock()
		if trouble {
			reply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// addHost rents one machine. The caller holds the lock.
func (c *Cloud) addHost(kind ids.MachineType, zone ids.Zone, boot time.Duration) ids.MachineID {
	c.lastHost++
	id := ids.MachineID(fmt.Sprintf("n-%06d", c.lastHost))
	h := &host{Machine: wire.Machine{ID: id, Type: kind, Zone: zone, Status: "starting"}, rented: time.Now()}
	c.hosts[id] = h
	time.AfterFunc(boot, func() { c.bootHost(id) })
	return id
}

// bootHost starts the worker of a machine that has not been returned.
func (c *Cloud) bootHost(id ids.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil {
		h.worker = c.deployment.startWorker(h.Machine)
		h.Endpoint, h.Status = h.worker.machine.Endpoint, wire.MachineRunning
		c.deployment.Record.Add("cloud: %s in %s is up", id, h.Zone)
	}
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request, node string) {
	var request wire.ProvisionRequest
	if !parse(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.bookings[request.RequestID]
	if hosts == nil {
		for range min(request.Count, c.free(request.Type, request.Zone)) {
			hosts = append(hosts, c.addHost(request.Type, request.Zone, c.deployment.Options.Boot))
			c.deployment.Record.Add("cloud: %s is rented by %s", hosts[len(hosts)-1], node)
		}
	}
	if len(hosts) == 0 {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.bookings[request.RequestID] = hosts
	reply(w, http.StatusOK, wire.MachineIDs{IDs: hosts})
}

// free returns how many machines of a type a zone still has. The caller holds the lock.
func (c *Cloud) free(kind ids.MachineType, zone ids.Zone) int {
	used := 0
	for _, h := range c.hosts {
		if h.Type == kind && h.Zone == zone {
			used++
		}
	}
	return c.deployment.Options.Capacity - used
}

func (c *Cloud) take(w http.ResponseWriter, r *http.Request, node string) {
	var request wire.MachineIDs
	if !parse(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.IDs {
		if h := c.hosts[id]; h != nil {
			delete(c.hosts, id)
			c.end(h, node)
		}
	}
	reply(w, http.StatusOK, map[string]bool{})
}

// end ends a machine that a node returns. The caller holds the lock.
func (c *Cloud) end(h *host, node string) {
	call := Return{Node: node, Machine: h.ID, At: time.Now()}
	call.Leader, call.LeaderSince = c.deployment.State.Leader()
	if h.worker != nil {
		call.Running = h.worker.running()
		h.worker.stop()
	}
	c.returns = append(c.returns, call)
	c.deployment.Record.Add("cloud: %s is returned by %s, the leader is %s, %d tasks ran there", h.ID, node, call.Leader, len(call.Running))
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "page"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var page wire.MachinePage
	for _, id := range c.sorted() {
		if string(id) <= query.Get("since") {
			continue
		}
		if len(page.Machines) == size {
			page.More = true
			break
		}
		machine := c.hosts[id].Machine
		machine.AgeS = time.Since(c.hosts[id].rented).Seconds()
		page.Machines = append(page.Machines, machine)
	}
	reply(w, http.StatusOK, page)
}

// sorted returns the names of all machines in order. The caller holds the lock.
func (c *Cloud) sorted() []ids.MachineID {
	names := make([]ids.MachineID, 0, len(c.hosts))
	for id := range c.hosts {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}
