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

// Cloud is a stand-in for the cloud: machines of one type in several zones.
type Cloud struct {
	server   *httptest.Server
	boot     time.Duration
	capacity int // machines of each zone
	start    func(wire.Machine) *Worker

	mu       sync.Mutex
	zones    []ids.Zone
	machines map[ids.MachineID]*cloudMachine
	bookings map[string][]ids.MachineID
	next     int
}

// cloudMachine is a machine that was rented.
type cloudMachine struct {
	wire.Machine
	rented time.Time
	worker *Worker // nil while it boots
	gone   bool
}

// The machine type of the stand-in.
const (
	machineType = "m8"
	machineCPUs = 8
)

// NewCloud starts a cloud on loopback; start brings up a machine's worker.
func NewCloud(zones []ids.Zone, capacity int, boot time.Duration, start func(wire.Machine) *Worker) *Cloud {
	c := &Cloud{boot: boot, capacity: capacity, start: start, zones: zones, machines: map[ids.MachineID]*cloudMachine{}, bookings: map[string][]ids.MachineID{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.catalog)
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.giveBack)
	mux.HandleFunc("GET /hosts", c.list)
	c.server = httptest.NewServer(mux)
	return c
}

// Address is where the cloud listens.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close ends the cloud and all machines.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		c.end(m)
	}
}

// Workers lists the workers of a zone that are up.
func (c *Cloud) Workers(zone ids.Zone) []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, m := range c.machines {
		if m.Zone == zone && m.worker != nil && !m.gone {
			out = append(out, m.worker)
		}
	}
	return out
}

// end takes a machine away with all that is on it.
func (c *Cloud) end(m *cloudMachine) {
	m.gone = true
	if m.worker != nil {
		m.worker.Stop()
	}
}

func (c *Cloud) catalog(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{{Name: machineType, CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50, FetchGBps: 1,
		Price: 1, SpotPrice: 0.4, BootS: c.boot.Seconds(), Zones: c.zones}}})
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	rental, ok := read[wire.ProvisionRequest](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if hosts, known := c.bookings[rental.RequestID]; known {
		reply(w, http.StatusOK, wire.MachineIDs{IDs: hosts})
		return
	}
	held := 0
	for _, m := range c.machines {
		if m.Zone == rental.Zone && !m.gone {
			held++
		}
	}
	var hosts []ids.MachineID
	for range min(rental.Count, c.capacity-held) {
		c.next++
		m := &cloudMachine{rented: time.Now(), Machine: wire.Machine{ID: ids.MachineID(fmt.Sprintf("n-%06d", c.next)),
			Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot, Status: "starting"}}
		c.machines[m.ID] = m
		hosts = append(hosts, m.ID)
		time.AfterFunc(c.boot, func() { c.bootEnds(m) })
	}
	if len(hosts) == 0 {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.bookings[rental.RequestID] = hosts
	reply(w, http.StatusOK, wire.MachineIDs{IDs: hosts})
}

// bootEnds brings a machine's worker up.
func (c *Cloud) bootEnds(m *cloudMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.gone {
		return
	}
	m.worker = c.start(m.Machine)
	m.Endpoint, m.Status = m.worker.Address(), wire.MachineRunning
}

func (c *Cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	body, ok := read[wire.MachineIDs](w, r)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range body.IDs {
		if m := c.machines[host]; m != nil && !m.gone {
			c.end(m)
		}
	}
	reply(w, http.StatusOK, map[string]bool{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	since := ids.MachineID(r.URL.Query().Get("since"))
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for host, m := range c.machines {
		if !m.gone && host > since {
			listed := m.Machine
			listed.AgeS = time.Since(m.rented).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	slices.SortFunc(page.Machines, func(a, b wire.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	reply(w, http.StatusOK, page)
}
