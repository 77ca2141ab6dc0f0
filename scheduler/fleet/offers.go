package fleet

import (
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// spreadSurcharge is the fraction of the price that is added to the cost of a site for each machine
// that exists or is requested there, so that requests at equal prices spread over zones.
const spreadSurcharge = 0.02

// offer represents a machine that could be requested for a job.
type offer struct {
	site        placement.Site
	machineType *wire.MachineType
	cost        float64 // per task, in the unit of the prices
}

// betterThan reports whether an offer is cheaper than another, or has the same cost and its site
// sorts first. Any offer is better than the zero value.
func (o offer) betterThan(other offer) bool {
	if other.machineType == nil || o.cost < other.cost {
		return true
	}
	return o.cost == other.cost && o.site.Compare(other.site) < 0
}

// cheapestOffer returns the offer that is cheapest per task of a job. ok is false if no type fits, all
// sites are blocked or not allowed, or no more machines may be requested.
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

// offerAt returns the offer of a site. ok is false if the job may not use the site or it is blocked.
func (p *Planner) offerAt(site placement.Site, t *wire.MachineType, d Demand, zones placement.TasksByZone) (o offer, ok bool) {
	if !placement.Allowed(d.Spec, site) || !zones.Allows(d.Spec, site.Zone) || p.Blocked(site) {
		return offer{}, false
	}
	return offer{site, t, p.costPerTask(site, t, d)}, true
}

// costPerTask returns the price of a machine divided by the number of tasks of the job that it would
// run, plus the surcharge for the machines that exist or are requested at the site.
func (p *Planner) costPerTask(site placement.Site, t *wire.MachineType, d Demand) float64 {
	price := t.Price
	if site.Spot {
		price = t.SpotPrice
	}
	perMachine := max(1, TasksThatFit(d.Need, placement.MachineResources(t)))
	tasks := min(perMachine, max(1, d.Count))
	cost := price / float64(tasks)
	return cost * (1 + spreadSurcharge*float64(p.MachinesBySite[site]+p.requests[site]))
}
