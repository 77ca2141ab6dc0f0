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

// simCloud simulates the cloud provider. Provision requests are idempotent. Faults: an outage, a
// lack of capacity, machines that boot late or within seconds, and stale machine lists.
type simCloud struct {
	cloudOutageUntil    monotonic.Instant // no request is executed until then
	catalogUnknownUntil monotonic.Instant // leaders that are elected before then do not know the catalog
	types               []wire.MachineType
	capacity            int // maximum number of machines of each site
	quickBootChance     float64
	workers             map[ids.MachineID]*simWorker
	provisioned         map[string][]ids.MachineID // by request ID
	machinesProvisioned int
}

func newSimCloud() simCloud {
	return simCloud{capacity: 2, quickBootChance: 0.1, workers: map[ids.MachineID]*simWorker{}, provisioned: map[string][]ids.MachineID{},
		types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []ids.Zone{"a", "b"}},
			{Name: "big", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 4, SpotPrice: 1.2, BootS: 10, Zones: []ids.Zone{"a", "b", "c"}},
		}}
}

// provision executes a provision request as far as the site has capacity, and returns the machines.
// A repeated request returns the machines of the first one.
func (s *sim) provision(request wire.ProvisionRequest) []ids.MachineID {
	if granted, ok := s.provisioned[request.RequestID]; ok {
		return granted
	}
	var granted []ids.MachineID
	for range request.Count {
		if s.countMachinesAt(request) >= s.capacity {
			break
		}
		granted = append(granted, s.bootMachine(request))
	}
	if granted != nil {
		s.provisioned[request.RequestID] = granted
	}
	return granted
}

// countMachinesAt returns the number of machines at the site of a request.
func (s *sim) countMachinesAt(request wire.ProvisionRequest) int {
	count := 0
	for _, w := range s.workers {
		if w.machineType == request.Type && w.zone == request.Zone && w.spot == request.Spot {
			count++
		}
	}
	return count
}

// bootMachine adds a machine. It is dead until it has booted.
func (s *sim) bootMachine(request wire.ProvisionRequest) ids.MachineID {
	s.machinesProvisioned++
	w := &simWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", s.machinesProvisioned)), machineType: request.Type, zone: request.Zone, spot: request.Spot,
		dead: true, partitionedUntil: s.zones.partitionedUntil[request.Zone]}
	s.workers[w.id] = w
	s.after(s.bootTime(), func() { w.dead, w.incarnation, w.leaseRenewedAt = false, 1, s.now })
	return w.id
}

// bootTime returns a random boot time. With faults, a few machines take an hour and some less than
// two seconds.
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

// catalogOfNewLeader returns the machine types that a new leader knows. If it knows none, it is told them once
// catalogUnknownUntil has passed.
func (s *sim) catalogOfNewLeader() []wire.MachineType {
	if s.now >= s.catalogUnknownUntil {
		return s.types
	}
	term := s.term
	s.after(s.catalogUnknownUntil.Sub(s.now), func() {
		if s.term == term {
			s.core.SetCatalog(s.types)
		}
	})
	return nil
}

// machineTypeOf returns the machine type of a worker.
func (s *sim) machineTypeOf(w *simWorker) *wire.MachineType {
	return &s.types[slices.IndexFunc(s.types, func(t wire.MachineType) bool { return t.Name == w.machineType })]
}

// listMachines returns the cloud's list of machines.
func (s *sim) listMachines() []wire.Machine {
	var out []wire.Machine
	for id, w := range s.workers {
		out = append(out, wire.Machine{ID: id, Endpoint: string(id), Type: w.machineType, Zone: w.zone, Spot: w.spot, Status: "running"})
	}
	slices.SortFunc(out, func(a, b wire.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// sendMachineList sends the leader a machine list that is stale when it arrives.
func (s *sim) sendMachineList() {
	list, requestedAt := s.listMachines(), s.now
	s.after(simListLag, func() {
		if s.now >= max(s.cloudOutageUntil, s.controllersDownUntil) && s.remainingPause(s.core) == 0 {
			s.core.MachineList(s.now, requestedAt, list)
		}
	})
}

// sortedMachineIDs returns the IDs of the machines in a fixed order.
func (s *sim) sortedMachineIDs() []ids.MachineID { return slices.Sorted(maps.Keys(s.workers)) }

// randomWorker returns a random worker, or nil if there is none.
func (s *sim) randomWorker() *simWorker {
	machines := s.sortedMachineIDs()
	if len(machines) == 0 {
		return nil
	}
	return s.workers[machines[s.rng.IntN(len(machines))]]
}
