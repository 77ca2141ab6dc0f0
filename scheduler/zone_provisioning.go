package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// blocksProvisioning reports whether no machine may be provisioned in a zone now.
func (g *zoneGate) blocksProvisioning(zone ids.Zone) bool {
	if g == nil {
		return false
	}
	remaining, limited := g.provisioningRemaining(zone)
	return limited && remaining == 0
}

// limitProvisioning returns how many of count machines may be provisioned in a zone now.
func (g *zoneGate) limitProvisioning(zone ids.Zone, count int) int {
	if g == nil {
		return count
	}
	if remaining, limited := g.provisioningRemaining(zone); limited {
		return min(count, remaining)
	}
	return count
}

// provisioningRemaining returns how many more machines may be provisioned in a zone now. limited
// reports whether there is a limit.
func (g *zoneGate) provisioningRemaining(zone ids.Zone) (remaining int, limited bool) {
	limit, limited := g.manager.ProvisioningLimit(zone)
	if limit == 0 {
		return 0, limited
	}
	if g.bootingAt != g.clock.Now() || g.booting == nil {
		g.bootingAt, g.booting = g.clock.Now(), g.provisioning.bootingByZone()
	}
	return max(0, limit-g.booting[zone]), limited
}

// addRecoveringCapacity passes the free resources of machines in zones that recover to add. They
// become available sooner than another machine boots.
func (g *zoneGate) addRecoveringCapacity(add func(placement.Site, placement.Resources)) {
	if !g.evacuating() {
		return
	}
	for _, m := range g.cluster.Machines() {
		if g.recovering(m.Zone()) && g.health.takesTasks(m) {
			add(m.Site(), m.FreeAfterReaping())
		}
	}
}
