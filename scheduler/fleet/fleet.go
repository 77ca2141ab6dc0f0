// Package fleet decides which machines to rent.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Demand is some tasks of one job that found no place.
type Demand struct {
	Spec  *wire.JobSpec
	Count int
	Zones placement.TasksByZone // the job's tasks by zone so far
}

// MachineRequest is a wish for machines of one site.
type MachineRequest struct {
	placement.Site
	Count int
}

// Backoff remembers which sites lacked capacity lately.
type Backoff struct {
	first time.Duration
	sites map[placement.Site]wait
}

// wait is until when a site is not asked, and how long the next wait is.
type wait struct {
	until monotonic.Instant
	next  time.Duration
}

// NewBackoff starts with the given first wait.
func NewBackoff(first time.Duration) *Backoff {
	return &Backoff{first, map[placement.Site]wait{}}
}

// RecordRefusal notes that a site had no capacity.
func (b *Backoff) RecordRefusal(s placement.Site, now monotonic.Instant) {
	w := b.sites[s]
	if w.next == 0 {
		w.next = b.first
	}
	w.until = now.Add(w.next)
	w.next = min(2*w.next, 6*b.first)
	b.sites[s] = w
}

// RecordSuccess clears a site.
func (b *Backoff) RecordSuccess(s placement.Site) { delete(b.sites, s) }

// RecentlyRefused tells whether a site lacked capacity when it was last asked.
func (b *Backoff) RecentlyRefused(s placement.Site) bool { return b.sites[s].next > 0 }

// Active tells whether a site should not be asked yet.
func (b *Backoff) Active(s placement.Site, now monotonic.Instant) bool { return now < b.sites[s].until }

// bin is a machine that is coming and has room left.
type bin struct {
	placement.Site
	free placement.Resources
}

// Planner turns demand into purchases.
type Planner struct {
	Types   []wire.MachineType
	Blocked func(placement.Site) bool
	// MachinesBySite counts the machines by site, so that purchases spread over zones.
	MachinesBySite map[placement.Site]int
	// MaxMachines is the most machines to buy.
	MaxMachines int

	// BinsExamined counts the machines that were looked at, a measure of the work.
	BinsExamined int

	bins     []*bin
	requests map[placement.Site]int
	// firstBin is, by request, the first machine that may still have room for it. Room
	// only shrinks, so those before it need not be looked at again: with thousands of
	// waiting jobs and starting machines that would be millions of comparisons.
	firstBin map[request]int
}

// request is all that decides whether a machine with enough room may take a task, but for
// where the job's other tasks are.
type request struct {
	need  placement.Resources
	spot  bool
	zone  ids.Zone
	types string
}

// requestOf is the request of a job's tasks.
func requestOf(s *wire.JobSpec) request {
	var types strings.Builder
	for _, name := range s.Types {
		types.WriteString(string(name))
		types.WriteByte(0)
	}
	return request{placement.TaskResources(s), s.Spot, s.Zone, types.String()}
}

// AddCapacity adds a machine that is starting, with the room that is left on it.
func (p *Planner) AddCapacity(s placement.Site, free placement.Resources) {
	p.bins = append(p.bins, &bin{s, free})
}

// Add packs one job's tasks into what is coming and buys what is missing.
// Cheapest per task that fits goes first; services and ordinary work are
// spread over zones by taking the zone with the fewest machines.
func (p *Planner) Add(d Demand) {
	if p.requests == nil {
		p.requests, p.firstBin = map[placement.Site]int{}, map[request]int{}
	}
	zones := placement.TasksByZone{}
	maps.Copy(zones, d.Zones)
	need := placement.TaskResources(d.Spec)
	left := d.Count
	for _, b := range p.bins[p.skipFull(d.Spec, need):] {
		if left == 0 {
			return
		}
		p.BinsExamined++
		left -= b.fill(d.Spec, need, zones, left)
	}
	for left > 0 {
		site, t, ok := p.pick(d, zones)
		if !ok {
			return
		}
		p.requests[site]++
		p.MaxMachines--
		b := &bin{site, placement.MachineResources(t)}
		p.bins = append(p.bins, b)
		left -= b.fill(d.Spec, need, zones, left)
	}
}

// skipFull finds the first machine that may have room for a task.
func (p *Planner) skipFull(s *wire.JobSpec, need placement.Resources) int {
	key := requestOf(s)
	first := p.firstBin[key]
	for first < len(p.bins) && !p.bins[first].mayHold(s, need) {
		p.BinsExamined++
		first++
	}
	p.firstBin[key] = first
	return first
}

// mayHold tells whether a task fits and its job allows the site.
func (b *bin) mayHold(s *wire.JobSpec, need placement.Resources) bool {
	return need.FitsIn(b.free) && placement.Allowed(s, b.Site)
}

// fill puts as many tasks as fit into a machine, and tells how many.
func (b *bin) fill(s *wire.JobSpec, need placement.Resources, zones placement.TasksByZone, most int) int {
	if !b.mayHold(s, need) {
		return 0
	}
	n := 0
	for n < most && need.FitsIn(b.free) && zones.Allows(s, b.Zone) {
		b.free = b.free.Minus(need)
		zones[b.Zone]++
		n++
	}
	return n
}

// pick chooses the site that is cheapest for a task.
func (p *Planner) pick(d Demand, zones placement.TasksByZone) (placement.Site, *wire.MachineType, bool) {
	if p.MaxMachines <= 0 {
		return placement.Site{}, nil, false
	}
	var best placement.Site
	var bestType *wire.MachineType
	bestCost := 0.0
	for i := range p.Types {
		t := &p.Types[i]
		if !placement.Fits(d.Spec, t) {
			continue
		}
		// How many such tasks a machine holds decides what one costs.
		n := perMachine(d.Spec, t)
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				site := placement.Site{Type: t.Name, Zone: z, Spot: spot}
				if !placement.Allowed(d.Spec, site) || !zones.Allows(d.Spec, z) || p.Blocked(site) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				used := min(n, max(1, d.Count))
				cost := price / float64(used)
				cost *= 1 + 0.02*float64(p.MachinesBySite[site]+p.requests[site])
				if bestType == nil || cost < bestCost || cost == bestCost && site.Compare(best) < 0 {
					best, bestType, bestCost = site, t, cost
				}
			}
		}
	}
	return best, bestType, bestType != nil
}

// perMachine is how many tasks of a job an empty machine holds, and at least one.
func perMachine(s *wire.JobSpec, t *wire.MachineType) int {
	return max(1, TasksThatFit(s, placement.MachineResources(t)))
}

// TasksThatFit tells how many tasks of a job some room holds.
func TasksThatFit(s *wire.JobSpec, room placement.Resources) int {
	n := 1 << 20
	for _, r := range [][2]float64{{s.CPUs, room.CPUs}, {s.GPUs, room.GPUs}, {s.MemoryGB, room.MemoryGB}} {
		if r[0] > 0 {
			n = min(n, int(r[1]/r[0]+1e-9))
		}
	}
	return max(0, n)
}

// MachineRequests lists the purchases in a fixed order.
func (p *Planner) MachineRequests() []MachineRequest {
	var out []MachineRequest
	for s, n := range p.requests {
		out = append(out, MachineRequest{s, n})
	}
	slices.SortFunc(out, func(a, b MachineRequest) int { return a.Site.Compare(b.Site) })
	return out
}
