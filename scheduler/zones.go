package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// zoneState is what is known of a zone as a whole.
type zoneState struct {
	lastHeard  monotonic.Instant // when any machine there was last heard
	machinesUp int               // machines that reported while it was heard
	// partitionedAt is when it was last found to be partitioned; 0: never.
	partitionedAt monotonic.Instant
}

const (
	// minZoneMachines is how many machines must be silent together to tell a zone
	// that is cut off from machines that are.
	minZoneMachines = 4
	// zoneSilence is the least time without a report from a zone after which it
	// counts as partitioned. The fewer machines it has, the longer it takes.
	zoneSilence = 2500 * time.Millisecond
	// zoneOutageLimit is how long a zone counts as partitioned without a report from
	// it. So long its machines are kept: they come back without a boot, and with
	// their images. After that it is tried again.
	zoneOutageLimit = 3 * time.Minute
)

// updateZones notes how many machines each zone has that is heard.
func (hm *healthMonitor) updateZones() {
	up := map[ids.Zone]int{}
	for _, m := range hm.core.cluster.Machines() {
		if m.Agent.Reported && !m.Lifecycle.Terminating {
			up[m.Zone()]++
		}
	}
	for zone, z := range hm.zoneStates {
		if !hm.zoneSilent(z) {
			z.machinesUp = up[zone]
		}
		if hm.zonePartitioned(zone) {
			z.partitionedAt = hm.core.clock.Now()
		}
	}
}

// partitionEndReports is how many reports' time the machines of a zone have to report once
// the first of them is heard again. A partition that lasted for longer than silentLeases
// would otherwise cost all machines but that one.
const partitionEndReports = 3

// zonePartitionedLately tells whether a zone is partitioned, or was until a moment ago, so
// that its machines have not all had their turn to report.
func (hm *healthMonitor) zonePartitionedLately(zone ids.Zone) bool {
	z := hm.zoneStates[zone]
	return z != nil && z.partitionedAt != 0 && hm.core.clock.Now() < z.partitionedAt.Add(partitionEndReports*hm.core.opt.HeartbeatInterval)
}

// zoneSilent tells whether a zone has not been heard for longer than its machines would
// leave between their reports by chance. With hundreds of machines that is seconds.
func (hm *healthMonitor) zoneSilent(z *zoneState) bool {
	by := hm.core.opt.AgentLease / 2
	if z.machinesUp > 0 && hm.core.clock.Now() < hm.lastHeard.Add(zoneSilence/2) { // others are heard
		by = min(by, zoneSilence+10*hm.core.opt.HeartbeatInterval/time.Duration(z.machinesUp))
	}
	return hm.core.clock.Now() > max(z.lastHeard, hm.core.clock.ResumedAt()).Add(by)
}

// zonePartitioned tells whether a whole zone fell silent at once, while others are heard.
// What is rented there cannot report: it costs, takes the place of machines elsewhere, and
// counts as coming.
func (hm *healthMonitor) zonePartitioned(zone ids.Zone) bool {
	z := hm.zoneStates[zone]
	return z != nil && z.machinesUp >= minZoneMachines && hm.zoneSilent(z) && hm.core.clock.Now() < z.lastHeard.Add(zoneOutageLimit)
}

// heard notes that a machine of a zone was heard now.
func (hm *healthMonitor) heard(zone ids.Zone) {
	now := hm.core.clock.Now()
	hm.lastHeard = now
	z := hm.zoneStates[zone]
	if z == nil {
		z = &zoneState{}
		hm.zoneStates[zone] = z
	}
	z.lastHeard = now
}

// requestCheck asks for a check of the machines in the next step.
func (hm *healthMonitor) requestCheck() { hm.healthCheckDue = true }
