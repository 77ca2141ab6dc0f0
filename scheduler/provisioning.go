package scheduler

import (
	"fmt"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

const (
	// maxRequestMachines is the protocol's limit for the machines of one request.
	maxRequestMachines = 50
	// maxSiteRequests bounds the requests in flight for one site.
	maxSiteRequests = 3
)

// provisioner sends requests for machines and takes their results. It owns the requests in
// flight and the backoff of sites that lacked capacity. It does not decide how many
// machines are needed.
type provisioner struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	zones   provisioningLimiter
	backoff *fleet.Backoff
	// revision is that of the leader's key; it makes request IDs unique among leaders.
	revision ids.Revision
	// lastRequest is the number of the last request of the term.
	lastRequest int
	// requestsInFlight counts the requests in flight by site, and machinesInFlight the
	// machines of these requests.
	requestsInFlight map[placement.Site]int
	machinesInFlight map[placement.Site]int
	// decided are the requests of the present step.
	decided []wire.ProvisionRequest
}

// provisioningLimiter bounds the machines that may be provisioned in a zone that recovers.
type provisioningLimiter interface {
	// limitProvisioning is how many of the given number of machines may be requested in a zone.
	limitProvisioning(zone ids.Zone, count int) int
}

// request decides to request machines at a site, as far as zone and site permit.
func (p *provisioner) request(machines fleet.MachineRequest) {
	remaining := p.zones.limitProvisioning(machines.Zone, machines.Count)
	for remaining > 0 && p.mayRequest(machines.Site) {
		count := min(remaining, maxRequestMachines)
		p.send(machines.Site, count)
		remaining -= count
	}
}

// mayRequest tells whether one more request may be in flight for a site. Where the cloud
// lacked capacity at the last request, only one may be in flight: more of them
// occupied all calls to the cloud for seconds and were refused too.
func (p *provisioner) mayRequest(site placement.Site) bool {
	if p.backoff.RecentlyRefused(site) {
		return p.requestsInFlight[site] == 0
	}
	return p.requestsInFlight[site] < maxSiteRequests
}

// send decides on one request, which is in flight from now on.
func (p *provisioner) send(site placement.Site, count int) {
	p.lastRequest++
	p.requestsInFlight[site]++
	p.machinesInFlight[site] += count
	p.decided = append(p.decided, wire.ProvisionRequest{
		RequestID: fmt.Sprintf("r-%d-%d", p.revision, p.lastRequest),
		Type:      site.Type,
		Zone:      site.Zone,
		Spot:      site.Spot,
		Count:     count,
	})
}

// takeDecisions returns the requests that were decided on since the last call.
func (p *provisioner) takeDecisions() []wire.ProvisionRequest {
	decided := p.decided
	p.decided = nil
	return decided
}

// ProvisioningGranted takes the machines with which the cloud answered a request. They may
// be fewer than requested.
func (c *Core) ProvisioningGranted(now monotonic.Instant, request wire.ProvisionRequest, machines []ids.MachineID) {
	c.clock.Set(now)
	c.autoscaler.provisioner.granted(request, machines)
}

// ProvisioningRefused ends a request for which the cloud had no machine, or that it
// rejected.
func (c *Core) ProvisioningRefused(now monotonic.Instant, request wire.ProvisionRequest) {
	c.clock.Set(now)
	c.autoscaler.provisioner.refused(request)
}

// granted adds the machines of a request to the cluster.
func (p *provisioner) granted(request wire.ProvisionRequest, machines []ids.MachineID) {
	site := siteOfRequest(request)
	p.finish(site, request.Count)
	for _, id := range machines {
		if p.cluster.WasRemoved(id) {
			continue
		}
		m := p.cluster.EnsureMachine(id)
		m.Lifecycle.ProvisionedThisTerm = true
		p.cluster.SetSite(m, site)
	}
	if len(machines) < request.Count {
		p.backoff.RecordRefusal(site, p.clock.Now())
	} else {
		p.backoff.RecordSuccess(site)
	}
	p.rounds.MarkDue()
}

// refused makes the site of a request back off.
func (p *provisioner) refused(request wire.ProvisionRequest) {
	site := siteOfRequest(request)
	p.finish(site, request.Count)
	p.backoff.RecordRefusal(site, p.clock.Now())
}

// finish ends a request in flight.
func (p *provisioner) finish(site placement.Site, count int) {
	p.requestsInFlight[site]--
	p.machinesInFlight[site] -= count
	if p.machinesInFlight[site] <= 0 {
		delete(p.machinesInFlight, site)
	}
}

// siteOfRequest is the site at which a request asks for machines.
func siteOfRequest(request wire.ProvisionRequest) placement.Site {
	return placement.Site{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}

// backsOff tells whether a site lacked capacity and should not be asked yet.
func (p *provisioner) backsOff(site placement.Site) bool {
	return p.backoff.Active(site, p.clock.Now())
}

// zoneRefused tells whether all sites of a zone back off. It is false for a zone that the
// catalog does not name.
func (p *provisioner) zoneRefused(zone ids.Zone) bool {
	offered := false
	types := p.cluster.Types()
	for i := range types {
		if !slices.Contains(types[i].Zones, zone) {
			continue
		}
		offered = true
		for _, spot := range []bool{false, true} {
			if !p.backsOff(placement.Site{Type: types[i].Name, Zone: zone, Spot: spot}) {
				return false
			}
		}
	}
	return offered
}

// bootingByZone counts the machines that are requested or boot.
func (p *provisioner) bootingByZone() map[ids.Zone]int {
	booting := map[ids.Zone]int{}
	for site, n := range p.machinesInFlight {
		booting[site.Zone] += n
	}
	for _, m := range p.cluster.Machines() {
		if m.Booting() {
			booting[m.Zone()]++
		}
	}
	return booting
}
