package scheduler

import (
	"fmt"

	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

func (s *sim) provision(r wire.ProvisionRequest) []ids.MachineID {
	if h, ok := s.provisioned[r.RequestID]; ok {
		return h
	}
	var out []ids.MachineID
	for range r.Count {
		held := 0
		for _, w := range s.workers {
			if w.machineType == r.Type && w.zone == r.Zone && w.spot == r.Spot {
				held++
			}
		}
		if held >= s.capacity {
			break
		}
		s.machinesProvisioned++
		w := &simWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", s.machinesProvisioned)), machineType: r.Type, zone: r.Zone, spot: r.Spot, dead: true}
		w.partitionedUntil = s.zones.partitionedUntil[w.zone]
		s.workers[w.id] = w
		out = append(out, w.id)
		boot := time.Duration(5+s.rng.IntN(10)) * time.Second
		switch {
		case s.chance(0.05):
			boot = time.Hour
		case s.chance(s.quickBootChance):
			boot = time.Duration(500+s.rng.IntN(1500)) * time.Millisecond
		}
		s.after(boot, func() { w.dead, w.incarnation, w.leaseRenewedAt = false, 1, s.now })
	}
	if out != nil {
		s.provisioned[r.RequestID] = out
	}
	return out
}

func (s *sim) typeOf(w *simWorker) *wire.MachineType {
	return &s.types[slices.IndexFunc(s.types, func(t wire.MachineType) bool { return t.Name == w.machineType })]
}

func (s *sim) listMachines() []wire.Machine {
	var out []wire.Machine
	for h, w := range s.workers {
		out = append(out, wire.Machine{ID: h, Endpoint: string(h), Type: w.machineType, Zone: w.zone, Spot: w.spot, Status: "running"})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

func (s *sim) sortedMachineIDs() []ids.MachineID {
	out := make([]ids.MachineID, 0, len(s.workers))
	for h := range s.workers {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// randomWorker is a machine of those there are, or nil.
func (s *sim) randomWorker() *simWorker {
	hosts := s.sortedMachineIDs()
	if len(hosts) == 0 {
		return nil
	}
	return s.workers[hosts[s.rng.IntN(len(hosts))]]
}
