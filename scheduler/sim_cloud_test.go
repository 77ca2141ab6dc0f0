package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// simCloud stands in for the cloud provider. Requests are idempotent. Faults: an outage,
// a lack of capacity, machines that boot late or at once, and machine lists that lag.
type simCloud struct {
	cloudOutageUntil    monotonic.Instant // no request is carried out until then
	types               []wire.MachineType
	capacity            int // machines of each site
	quickBootChance     float64
	workers             map[ids.MachineID]*simWorker
	provisioned         map[string][]ids.MachineID // by request
	machinesProvisioned int
}

func newSimCloud() simCloud {
	return simCloud{capacity: 2, quickBootChance: 0.1, workers: map[ids.MachineID]*simWorker{}, provisioned: map[string][]ids.MachineID{},
		types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []ids.Zone{"a", "b"}},
			{Name: "big", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 4, SpotPrice: 1.2, BootS: 10, Zones: []ids.Zone{"a", "b", "c"}},
		}}
}

// provision provides the machines of a request, as many as the site has capacity for.
func (s *sim) provision(r wire.ProvisionRequest) []ids.MachineID {
	if machines, ok := s.provisioned[r.RequestID]; ok {
		return machines
	}
	var machines []ids.MachineID
	for range r.Count {
		if s.machinesAt(r) >= s.capacity {
			break
		}
		machines = append(machines, s.bootMachine(r))
	}
	if machines != nil {
		s.provisioned[r.RequestID] = machines
	}
	return machines
}

// machinesAt counts the machines of a request's site.
func (s *sim) machinesAt(r wire.ProvisionRequest) int {
	count := 0
	for _, w := range s.workers {
		if w.machineType == r.Type && w.zone == r.Zone && w.spot == r.Spot {
			count++
		}
	}
	return count
}

// bootMachine adds a machine, which is dead until it has booted.
func (s *sim) bootMachine(r wire.ProvisionRequest) ids.MachineID {
	s.machinesProvisioned++
	w := &simWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", s.machinesProvisioned)), machineType: r.Type, zone: r.Zone, spot: r.Spot,
		dead: true, partitionedUntil: s.zones.partitionedUntil[r.Zone]}
	s.workers[w.id] = w
	s.after(s.bootTime(), func() { w.dead, w.incarnation, w.leaseRenewedAt = false, 1, s.now })
	return w.id
}

// bootTime is how long a machine boots. Some take far too long, and some hardly any time.
func (s *sim) bootTime() time.Duration {
	boot := time.Duration(5+s.rng.IntN(10)) * time.Second
	switch {
	case s.chance(0.05):
		return time.Hour
	case s.chance(s.quickBootChance):
		return time.Duration(500+s.rng.IntN(1500)) * time.Millisecond
	}
	return boot
}

// typeOf is the machine type of a worker.
func (s *sim) typeOf(w *simWorker) *wire.MachineType {
	return &s.types[slices.IndexFunc(s.types, func(t wire.MachineType) bool { return t.Name == w.machineType })]
}

// listMachines is the cloud's list of machines.
func (s *sim) listMachines() []wire.Machine {
	var out []wire.Machine
	for id, w := range s.workers {
		out = append(out, wire.Machine{ID: id, Endpoint: string(id), Type: w.machineType, Zone: w.zone, Spot: w.spot, Status: "running"})
	}
	slices.SortFunc(out, func(a, b wire.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// sendMachineList sends the leader a list that is out of date when it comes.
func (s *sim) sendMachineList() {
	list, asked := s.listMachines(), s.now
	s.after(simListLag, func() {
		if s.now >= max(s.cloudOutageUntil, s.controllersDownUntil) && s.pauseLeft(s.core) == 0 {
			s.core.MachineList(s.now, asked, list)
		}
	})
}

// sortedMachineIDs lists the machines in a fixed order.
func (s *sim) sortedMachineIDs() []ids.MachineID { return slices.Sorted(maps.Keys(s.workers)) }

// randomWorker is one of the workers, or nil if there is none.
func (s *sim) randomWorker() *simWorker {
	machines := s.sortedMachineIDs()
	if len(machines) == 0 {
		return nil
	}
	return s.workers[machines[s.rng.IntN(len(machines))]]
}
