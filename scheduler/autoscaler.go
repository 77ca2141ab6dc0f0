package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// autoscaler rents machines for what was admitted or could be and found no place, and
// returns those that stand idle.
type autoscaler struct {
	core        *Core
	plannedAt   monotonic.Instant
	nextBooking int
	// machinesRequested counts the machines asked for in rentals under way, and
	// rentalsInFlight those rentals, by site.
	machinesRequested map[placement.Site]int
	rentalsInFlight   map[placement.Site]int
	// Failures.Backoff holds the sites that lacked capacity lately.
	backoff *fleet.Backoff
	classes *classDemands
	boots   *bootTimes
	spot    *spotLosses
}

// newAutoscaler makes an autoscaler that has seen no demand yet.
func newAutoscaler(c *Core) *autoscaler {
	return &autoscaler{
		core:              c,
		machinesRequested: map[placement.Site]int{},
		rentalsInFlight:   map[placement.Site]int{},
		backoff:           fleet.NewBackoff(c.opt.CapacityBackoff),
		classes:           &classDemands{cluster: c.cluster, clock: c.clock, byClass: map[string]*classDemand{}},
		boots: &bootTimes{
			cluster:  c.cluster,
			clock:    c.clock,
			settings: bootTimeSettings{maxFactor: c.opt.BootFactor, heartbeatInterval: c.opt.HeartbeatInterval},
			factors:  map[ids.MachineType]float64{},
		},
		spot: &spotLosses{cluster: c.cluster},
	}
}

// planInterval is how often the fleet is planned.
const planInterval = time.Second

// planFleet rents for what was admitted or could be and found no place, and
// gives back what stands idle.
func (as *autoscaler) planFleet() {
	if as.core.clock.Now() < as.plannedAt.Add(planInterval) {
		return
	}
	as.spot.countUptime(as.core.clock.Now().Sub(as.plannedAt))
	as.plannedAt = as.core.clock.Now()
	as.classes.update()
	// A predecessor's machines may not be listed yet; rented again, they
	// would be there twice.
	if as.core.opt.PreviousLeader && as.core.clock.Now() < as.core.clock.TermBegan().Add(2*as.core.opt.ListLag) {
		return
	}
	p := as.newPlanner()
	as.addDemand(p)
	as.addHeadroom(p)
	as.addReplacements(p) // last, as it counts free room that the others have used
	for _, purchase := range p.MachineRequests() {
		as.rent(purchase)
	}
	as.returnIdle()
}

// newPlanner makes a planner that counts the machines that are coming.
func (as *autoscaler) newPlanner() *fleet.Planner {
	p := &fleet.Planner{Types: as.core.cluster.Types(), MachinesBySite: map[placement.Site]int{}, MaxMachines: math.MaxInt32, Blocked: as.blocked}
	if as.core.opt.MaxMachines > 0 {
		p.MaxMachines = as.core.opt.MaxMachines - len(as.core.cluster.Machines())
		for _, n := range as.machinesRequested {
			p.MaxMachines -= n
		}
	}
	for _, m := range as.core.cluster.Machines() {
		p.MachinesBySite[m.Site()]++
		if !m.Agent.Reported && !m.Lifecycle.Terminating && m.MachineType() != nil && !as.boots.late(m) {
			p.AddCapacity(m.Site(), m.Free())
		}
	}
	as.core.zones.addReturning(p.AddCapacity)
	for _, s := range slices.SortedFunc(maps.Keys(as.machinesRequested), placement.Site.Compare) {
		p.MachinesBySite[s] += as.machinesRequested[s]
		if t := as.core.cluster.Type(s.Type); t != nil {
			for range as.machinesRequested[s] {
				p.AddCapacity(s, placement.MachineResources(t))
			}
		}
	}
	return p
}

// blocked tells whether nothing should be rented at a site now.
func (as *autoscaler) blocked(s placement.Site) bool {
	return as.core.health.zonePartitioned(s.Zone) || as.core.zones.blocksRental(s.Zone) || as.backoff.Active(s, as.core.clock.Now())
}

// comingByZone counts the machines that were asked for or have yet to report.
func (as *autoscaler) comingByZone() map[ids.Zone]int {
	coming := map[ids.Zone]int{}
	for site, n := range as.machinesRequested {
		coming[site.Zone] += n
	}
	for _, m := range as.core.cluster.Machines() {
		if !m.Agent.Reported && !m.Lifecycle.Terminating {
			coming[m.Zone()]++
		}
	}
	return coming
}

// zoneRefused tells whether the cloud lately lacked every kind of machine in a zone.
func (as *autoscaler) zoneRefused(zone ids.Zone) bool {
	offered := false
	for i := range as.core.cluster.Types() {
		t := &as.core.cluster.Types()[i]
		if !slices.Contains(t.Zones, zone) {
			continue
		}
		offered = true
		for _, spot := range []bool{false, true} {
			if !as.backoff.Active(placement.Site{Type: t.Name, Zone: zone, Spot: spot}, as.core.clock.Now()) {
				return false
			}
		}
	}
	return offered
}

// rent books the machines of a purchase, as many rentals as are allowed.
func (as *autoscaler) rent(purchase fleet.MachineRequest) {
	for left := as.core.zones.limitRental(purchase.Zone, purchase.Count); left > 0 && as.canRent(purchase.Site); left -= maxRentalSize {
		n := min(left, maxRentalSize)
		as.nextBooking++
		as.machinesRequested[purchase.Site] += n
		as.rentalsInFlight[purchase.Site]++
		as.core.decisions.Provision = append(as.core.decisions.Provision, wire.ProvisionRequest{
			RequestID: fmt.Sprintf("r-%d-%d", as.core.opt.Revision, as.nextBooking),
			Type:      purchase.Type, Zone: purchase.Zone, Spot: purchase.Spot, Count: n,
		})
	}
}

const (
	// maxRentalSize is the protocol's limit for one rental.
	maxRentalSize = 50
	// maxRentalsPerSite bounds the rentals under way for one site.
	maxRentalsPerSite = 3
)

// canRent tells whether one more rental may be under way for a site. Where the
// cloud lacked machines lately one is enough to ask: more of them took all
// calls for seconds, only to be refused too.
func (as *autoscaler) canRent(s placement.Site) bool {
	if as.backoff.RecentlyRefused(s) {
		return as.rentalsInFlight[s] == 0
	}
	return as.rentalsInFlight[s] < maxRentalsPerSite
}

// ProvisionResult takes the answer to a rental; ok is false if the cloud had none
// or would not rent.
func (c *Core) ProvisionResult(now monotonic.Instant, r wire.ProvisionRequest, hosts []ids.MachineID, ok bool) {
	c.clock.Set(now)
	c.autoscaler.rentResult(r, hosts, ok)
}

// rentResult ends a rental.
func (as *autoscaler) rentResult(r wire.ProvisionRequest, hosts []ids.MachineID, ok bool) {
	site := placement.Site{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if as.machinesRequested[site] -= r.Count; as.machinesRequested[site] <= 0 {
		delete(as.machinesRequested, site)
	}
	as.rentalsInFlight[site]--
	if !ok {
		as.backoff.RecordRefusal(site, as.core.clock.Now())
		return
	}
	for _, h := range hosts {
		if as.core.cluster.WasRemoved(h) {
			continue
		}
		m := as.core.cluster.EnsureMachine(h)
		m.Lifecycle.RentedThisTerm = true
		as.core.registry.setSite(m, site, "")
	}
	if len(hosts) < r.Count {
		as.backoff.RecordRefusal(site, as.core.clock.Now())
	} else {
		as.backoff.RecordSuccess(site)
	}
	as.core.rounds.MarkDue()
}

// recordArrival counts a job that became ready.
func (as *autoscaler) recordArrival(spec *wire.JobSpec) { as.classes.recordArrival(spec) }

// recordBoot learns from the first heartbeat of a machine.
func (as *autoscaler) recordBoot(m *cluster.Machine) { as.boots.record(m) }

// recordSpotLoss counts a spot instance that the cloud took back, or announced to take back.
func (as *autoscaler) recordSpotLoss() { as.spot.record() }

// spotRisk is the expected number of times that a spot instance is reclaimed while one task
// of a job runs on it.
func (as *autoscaler) spotRisk(j *cluster.Job) float64 { return as.spot.risk(j) }
