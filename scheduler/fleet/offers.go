package fleet

import (
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// spreadSurcharge is the part of its price by which each machine at a site makes the next
// one there look dearer, so that requests of one price spread over zones.
const spreadSurcharge = 0.02

// offer is a machine that could be requested for a job.
type offer struct {
	site        placement.Site
	machineType *wire.MachineType
	cost        float64 // of one task, in the unit of the prices
}

// betterThan tells whether an offer is cheaper than another, or its site goes first at the
// same cost. Any offer is better than the zero one.
func (o offer) betterThan(other offer) bool {
	if other.machineType == nil || o.cost < other.cost {
		return true
	}
	return o.cost == other.cost && o.site.Compare(other.site) < 0
}

// cheapestOffer finds the site that is cheapest for a task of a job. There is none if no type
// fits, all sites are blocked or not allowed, or no machine may be requested any more.
func (p *Planner) cheapestOffer(d Demand, zones placement.TasksByZone) (best offer, ok bool) {
	if p.MaxMachines <= 0 {
		return offer{}, false
	}
	for i := range p.Types {
		t := &p.Types[i]
		if !placement.Fits(d.Spec, t) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				site := placement.Site{Type: t.Name, Zone: zone, Spot: spot}
				if o, ok := p.offerAt(site, t, d, zones); ok && o.betterThan(best) {
					best = o
				}
			}
		}
	}
	return best, best.machineType != nil
}

// offerAt is the offer of a site, if the job may use it and it is not blocked.
func (p *Planner) offerAt(site placement.Site, t *wire.MachineType, d Demand, zones placement.TasksByZone) (o offer, ok bool) {
	if !placement.Allowed(d.Spec, site) || !zones.Allows(d.Spec, site.Zone) || p.Blocked(site) {
		return offer{}, false
	}
	return offer{site, t, p.costPerTask(site, t, d)}, true
}

// costPerTask is the price of a machine divided by the tasks of the job that it would hold,
// with the surcharge for the machines that are there already.
func (p *Planner) costPerTask(site placement.Site, t *wire.MachineType, d Demand) float64 {
	price := t.Price
	if site.Spot {
		price = t.SpotPrice
	}
	perMachine := max(1, TasksThatFit(d.Spec, placement.MachineResources(t)))
	tasks := min(perMachine, max(1, d.Count))
	cost := price / float64(tasks)
	return cost * (1 + spreadSurcharge*float64(p.MachinesBySite[site]+p.requests[site]))
}
