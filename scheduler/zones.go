package scheduler

import (
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// minZoneMachines is the minimum number of machines in a zone for which a partition of the
	// zone can be distinguished from failures of single machines.
	minZoneMachines = 4
	// partitionTimeout is the minimum time without a heartbeat from a zone after which the zone
	// counts as partitioned. The timeout is longer for a zone with fewer machines.
	partitionTimeout = 2500 * time.Millisecond
	// partitionTimeoutHeartbeats is the multiple of the mean time between two heartbeats from a
	// zone that is added to partitionTimeout.
	partitionTimeoutHeartbeats = 10
	// maxPartitionDuration is the maximum time since its last heartbeat for which a zone counts
	// as partitioned. Its machines are kept for that time, since they need no boot when the
	// partition ends and still hold their images. After that, machines may be provisioned in the
	// zone again.
	maxPartitionDuration = 3 * time.Minute
	// partitionEndIntervals is the number of heartbeat intervals after the end of a partition
	// within which the other machines of the zone must send a heartbeat. Without it, all machines
	// but the first to send one would be terminated after a partition longer than
	// missedHeartbeatLeases.
	partitionEndIntervals = 3
)

// partitionDetector detects zones that are partitioned from this leader. recordZoneHeartbeat is
// called for each heartbeat and updateZones for each health check. The detector only reports which
// zones are partitioned. It does not change their machines.
type partitionDetector struct {
	cluster    *cluster.State
	clock      *clock.Clock
	settings   healthSettings
	zoneStates map[ids.Zone]*zoneState
	// lastHeartbeatAt is when the last heartbeat of any machine arrived.
	lastHeartbeatAt monotonic.Instant
}

// zoneState holds the heartbeat and partition state of one zone.
type zoneState struct {
	lastHeartbeatAt monotonic.Instant // when the last heartbeat of any machine of the zone arrived
	machinesUp      int               // machines that were up when the zone's heartbeats last arrived in time
	// partitionedAt is when the zone was last found to be partitioned. 0 means never.
	partitionedAt monotonic.Instant
}

// newPartitionDetector returns a detector without observations.
func newPartitionDetector(state *cluster.State, now *clock.Clock, settings healthSettings) *partitionDetector {
	return &partitionDetector{cluster: state, clock: now, settings: settings, zoneStates: map[ids.Zone]*zoneState{}}
}

// recordZoneHeartbeat records that a heartbeat of a machine of a zone arrived now.
func (d *partitionDetector) recordZoneHeartbeat(zone ids.Zone) {
	z := d.zoneStates[zone]
	if z == nil {
		z = &zoneState{}
		d.zoneStates[zone] = z
	}
	z.lastHeartbeatAt = d.clock.Now()
	d.lastHeartbeatAt = d.clock.Now()
}

// updateZones counts the machines of each zone whose heartbeats are not overdue, and records which
// zones are partitioned.
func (d *partitionDetector) updateZones() {
	up := map[ids.Zone]int{}
	for _, m := range d.cluster.Machines() {
		if m.Up() {
			up[m.Zone()]++
		}
	}
	for zone, z := range d.zoneStates {
		if !d.heartbeatsOverdue(z) {
			z.machinesUp = up[zone]
		}
		if d.zonePartitioned(zone) {
			z.partitionedAt = d.clock.Now()
		}
	}
}

// zonePartitioned reports whether the heartbeats of a whole zone have stopped, for no longer than
// maxPartitionDuration. Machines that are provisioned there cannot send heartbeats. They would cost
// money, and would prevent machines from being provisioned elsewhere because they count as booting
// capacity.
func (d *partitionDetector) zonePartitioned(zone ids.Zone) bool {
	z := d.zoneStates[zone]
	if z == nil || z.machinesUp < minZoneMachines || !d.heartbeatsOverdue(z) {
		return false
	}
	return d.clock.Now() < z.lastHeartbeatAt.Add(maxPartitionDuration)
}

// zonePartitionedRecently reports whether a zone is partitioned, or was partitioned so recently
// that not all of its machines have had time to send a heartbeat.
func (d *partitionDetector) zonePartitionedRecently(zone ids.Zone) bool {
	z := d.zoneStates[zone]
	if z == nil || z.partitionedAt == 0 {
		return false
	}
	return d.clock.Now() < z.partitionedAt.Add(partitionEndIntervals*d.settings.heartbeatInterval)
}

// partitionedZones returns the partitioned zones, sorted by name.
func (d *partitionDetector) partitionedZones() []ids.Zone {
	var partitioned []ids.Zone
	for _, zone := range slices.Sorted(maps.Keys(d.zoneStates)) {
		if d.zonePartitioned(zone) {
			partitioned = append(partitioned, zone)
		}
	}
	return partitioned
}

// heartbeatsOverdue reports whether no heartbeat of a zone has arrived for longer than the random
// gaps between heartbeats of its machines. The timeout is a few seconds for a zone with hundreds of
// machines, and at most half a lease. It is half a lease while no zone sends heartbeats. The time of
// a pause of this process does not count.
func (d *partitionDetector) heartbeatsOverdue(z *zoneState) bool {
	timeout := d.settings.agentLease / 2
	anyRecentHeartbeat := d.clock.Now() < d.lastHeartbeatAt.Add(partitionTimeout/2)
	if z.machinesUp > 0 && anyRecentHeartbeat {
		expectedGap := partitionTimeoutHeartbeats * d.settings.heartbeatInterval / time.Duration(z.machinesUp)
		timeout = min(timeout, partitionTimeout+expectedGap)
	}
	return d.clock.Now() > max(z.lastHeartbeatAt, d.clock.ResumedAt()).Add(timeout)
}
