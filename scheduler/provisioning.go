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
	// maxRequestMachines is the protocol's limit on the number of machines in one request.
	maxRequestMachines = 50
	// maxSiteRequests is the maximum number of requests in flight for one site.
	maxSiteRequests = 3
)

// provisioner requests machines and applies the results. It owns the requests in flight and the
// backoff of sites that lacked capacity. It does not decide how many machines are needed.
type provisioner struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	zones   provisioningLimiter
	backoff *fleet.Backoff
	// revision is the revision of the leader key. It makes request IDs unique among leaders.
	revision ids.Revision
	// lastRequest is the number of the last request of the term.
	lastRequest int
	// requestsInFlight counts the requests in flight by site, and machinesInFlight the
	// machines of these requests.
	requestsInFlight map[placement.Site]int
	machinesInFlight map[placement.Site]int
	// decided are the requests that takeDecisions has not returned yet.
	decided []wire.ProvisionRequest
}

// provisioningLimiter limits the machines that may be provisioned in a zone that recovers.
type provisioningLimiter interface {
	// limitProvisioning returns how many of count machines may be requested in a zone.
	limitProvisioning(zone ids.Zone, count int) int
}

// request requests machines at a site, up to the limits of the zone and the site.
func (p *provisioner) request(machines fleet.MachineRequest) {
	remaining := p.zones.limitProvisioning(machines.Zone, machines.Count)
	for remaining > 0 && p.mayRequest(machines.Site) {
		count := min(remaining, maxRequestMachines)
		p.send(machines.Site, count)
		remaining -= count
	}
}

// mayRequest reports whether one more request may be in flight for a site. If the cloud lacked
// capacity at the last request, only one may be in flight. More would occupy all calls to the
// cloud for seconds and be refused too.
func (p *provisioner) mayRequest(site placement.Site) bool {
	if p.backoff.RecentlyRefused(site) {
		return p.requestsInFlight[site] == 0
	}
	return p.requestsInFlight[site] < maxSiteRequests
}

// send adds one request to the decisions and counts it as in flight.
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

// takeDecisions returns the requests that were added since the last call.
func (p *provisioner) takeDecisions() []wire.ProvisionRequest {
	decided := p.decided
	p.decided = nil
	return decided
}

// ProvisioningGranted adds the machines that the cloud provisioned for a request. There may be
// fewer than requested.
func (c *Core) ProvisioningGranted(now monotonic.Instant, request wire.ProvisionRequest, machines []ids.MachineID) {
	c.clock.Set(now)
	c.autoscaler.provisioner.granted(request, machines)
}

// ProvisioningRefused ends a request that the cloud rejected or for which it had no capacity.
func (c *Core) ProvisioningRefused(now monotonic.Instant, request wire.ProvisionRequest) {
	c.clock.Set(now)
	c.autoscaler.provisioner.refused(request)
}

// granted ends a request and adds its machines to the cluster. The site backs off if there are
// fewer machines than requested.
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

// refused ends a request and makes its site back off.
func (p *provisioner) refused(request wire.ProvisionRequest) {
	site := siteOfRequest(request)
	p.finish(site, request.Count)
	p.backoff.RecordRefusal(site, p.clock.Now())
}

// finish removes a request from the requests in flight.
func (p *provisioner) finish(site placement.Site, count int) {
	p.requestsInFlight[site]--
	p.machinesInFlight[site] -= count
	if p.machinesInFlight[site] <= 0 {
		delete(p.machinesInFlight, site)
	}
}

// siteOfRequest returns the site at which a request asks for machines.
func siteOfRequest(request wire.ProvisionRequest) placement.Site {
	return placement.Site{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}

// backsOff reports whether a site lacked capacity and its backoff has not ended.
func (p *provisioner) backsOff(site placement.Site) bool {
	return p.backoff.Active(site, p.clock.Now())
}

// zoneRefused reports whether all sites of a zone back off. It returns false for a zone for which
// the catalog lists no machine type.
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

// bootingByZone returns the number of machines that are requested or booting in each zone.
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
