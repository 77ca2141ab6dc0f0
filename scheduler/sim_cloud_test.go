package scheduler

import (
	"fmt"

	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

func (s *sim) rent(r wire.ProvisionRequest) []ids.MachineID {
	if h, ok := s.rented[r.RequestID]; ok {
		return h
	}
	var out []ids.MachineID
	for range r.Count {
		held := 0
		for _, w := range s.workers {
			if w.typ == r.Type && w.zone == r.Zone && w.spot == r.Spot {
				held++
			}
		}
		if held >= s.capacity {
			break
		}
		s.hosts++
		w := &simWorker{host: ids.MachineID(fmt.Sprintf("n-%06d", s.hosts)), typ: r.Type, zone: r.Zone, spot: r.Spot, dead: true}
		w.cut = s.zones.cutUntil[w.zone]
		s.workers[w.host] = w
		out = append(out, w.host)
		boot := time.Duration(5+s.rng.IntN(10)) * time.Second
		switch {
		case s.chance(0.05):
			boot = time.Hour
		case s.chance(s.quickBoots):
			boot = time.Duration(500+s.rng.IntN(1500)) * time.Millisecond
		}
		s.after(boot, func() { w.dead, w.session, w.sentAt = false, 1, s.now })
	}
	if out != nil {
		s.rented[r.RequestID] = out
	}
	return out
}

func (s *sim) typeOf(w *simWorker) *wire.MachineType {
	return &s.types[slices.IndexFunc(s.types, func(t wire.MachineType) bool { return t.Name == w.typ })]
}

func (s *sim) list() []wire.Machine {
	var out []wire.Machine
	for h, w := range s.workers {
		out = append(out, wire.Machine{ID: h, Endpoint: string(h), Type: w.typ, Zone: w.zone, Spot: w.spot, Status: "running"})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

func (s *sim) sortedHosts() []ids.MachineID {
	out := make([]ids.MachineID, 0, len(s.workers))
	for h := range s.workers {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// someWorker is a machine of those there are, or nil.
func (s *sim) someWorker() *simWorker {
	hosts := s.sortedHosts()
	if len(hosts) == 0 {
		return nil
	}
	return s.workers[hosts[s.rng.IntN(len(hosts))]]
}
