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
	// backoff holds the sites that lacked capacity lately.
	backoff       *fleet.Backoff
	demandByClass map[string]*classDemand
	// bootFactors tells how long boots took lately, against the catalog.
	bootFactors map[ids.MachineType]float64
	// spotTime is how long spot machines were up, all together, and spotLosses how
	// many of them were lost meanwhile.
	spotTime   time.Duration
	spotLosses int
}

// newAutoscaler makes an autoscaler that has seen no demand yet.
func newAutoscaler(c *Core) *autoscaler {
	return &autoscaler{
		core:              c,
		machinesRequested: map[placement.Site]int{},
		rentalsInFlight:   map[placement.Site]int{},
		backoff:           fleet.NewBackoff(c.opt.CapacityBackoff),
		demandByClass:     map[string]*classDemand{},
		bootFactors:       map[ids.MachineType]float64{},
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
	as.countSpotTime(as.core.clock.Now().Sub(as.plannedAt))
	as.plannedAt = as.core.clock.Now()
	as.updateDemand()
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
		if !m.Agent.Reported && !m.Lifecycle.Terminating && m.MachineType() != nil && !as.bootLate(m) {
			p.AddCapacity(m.Site(), m.Free())
		}
	}
	as.core.zones.addRecoveringCapacity(p.AddCapacity)
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
	return as.core.health.zonePartitioned(s.Zone) || as.core.zones.blocksProvisioning(s.Zone) || as.backoff.Active(s, as.core.clock.Now())
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
	for left := as.core.zones.limitProvisioning(purchase.Zone, purchase.Count); left > 0 && as.canRent(purchase.Site); left -= maxRentalSize {
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

// lateBootFactor is how many times as long as its type's boot, as it has been lately, a
// machine may take before it counts as late.
const lateBootFactor = 1.7

// bootLate tells whether a machine takes so long to boot that it may never come up. What
// waits for it has another rented in its place, unless all machines of its type take as
// long now: then another would come no sooner.
func (as *autoscaler) bootLate(m *cluster.Machine) bool {
	if m.Agent.Reported || m.MachineType() == nil || !m.Lifecycle.RentedThisTerm {
		return false
	}
	usual := max(1, as.bootFactors[m.Type()])
	return as.core.clock.Now() > m.Lifecycle.KnownSince.Add(monotonic.Seconds(lateBootFactor*usual*m.MachineType().BootS)+as.core.opt.HeartbeatInterval)
}

// recordBoot takes in how long a machine took to come up, as a part of its type's time.
func (as *autoscaler) recordBoot(m *cluster.Machine) {
	if m.MachineType() == nil || !m.Lifecycle.RentedThisTerm || m.MachineType().BootS <= 0 {
		return
	}
	took := min(as.core.clock.Now().Sub(m.Lifecycle.KnownSince).Seconds()/m.MachineType().BootS, as.core.opt.BootFactor)
	if was := as.bootFactors[m.Type()]; was > 0 {
		took = 0.8*was + 0.2*took
	}
	as.bootFactors[m.Type()] = took
}

// fastestBoot is how long the quickest type that would do takes to boot.
func (as *autoscaler) fastestBoot(s *wire.JobSpec) time.Duration {
	boot := time.Duration(0)
	for i := range as.core.cluster.Types() {
		if t := &as.core.cluster.Types()[i]; placement.Fits(s, t) && (boot == 0 || monotonic.Seconds(t.BootS) < boot) {
			boot = monotonic.Seconds(t.BootS)
		}
	}
	return boot
}

// spotRisk is the chance that a spot machine is taken while a task of the job
// runs, going by the losses seen so far. Before anything was seen it assumes
// one in half an hour.
func (as *autoscaler) spotRisk(j *cluster.Job) float64 {
	const priorHours = 0.5
	perHour := (1 + float64(as.spotLosses)) / (priorHours + as.spotTime.Hours())
	return perHour * j.Spec.EstimateS / 3600
}

// countSpotTime counts the time that spot machines were up.
func (as *autoscaler) countSpotTime(passed time.Duration) {
	for _, m := range as.core.cluster.Machines() {
		if m.Spot() && m.Agent.Reported && !m.Lifecycle.Terminating {
			as.spotTime += passed
		}
	}
}

// recordSpotLoss counts a spot instance that the cloud took, or will take, back.
func (as *autoscaler) recordSpotLoss() { as.spotLosses++ }
