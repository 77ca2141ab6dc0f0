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
	// minZoneMachines is the least number of machines in a zone that can tell a partition of
	// the zone from failures of single machines.
	minZoneMachines = 4
	// partitionTimeout is the least time without a heartbeat from a zone after which it counts as
	// partitioned. The fewer machines it has, the longer it takes.
	partitionTimeout = 2500 * time.Millisecond
	// partitionTimeoutHeartbeats is how many times the mean time between two heartbeats from a
	// zone is added to partitionTimeout.
	partitionTimeoutHeartbeats = 10
	// maxPartitionDuration is how long after its last heartbeat a zone counts as partitioned. Its
	// machines are kept for that time, since they need no boot when the zone is heard again, and
	// hold their images. After that the zone may be used again.
	maxPartitionDuration = 3 * time.Minute
	// partitionEndIntervals is how many heartbeat intervals the machines of a zone have
	// to be heard once the first of them is heard again. A partition that lasted for longer
	// than silentLeases would otherwise cost all machines but that one.
	partitionEndIntervals = 3
)

// partitionDetector detects zones that are partitioned from this leader. Each heartbeat goes to
// heard, and each health check to updateZones. It only tells which zones are partitioned, and
// does nothing to their machines.
type partitionDetector struct {
	cluster    *cluster.State
	clock      *clock.Clock
	settings   healthSettings
	zoneStates map[ids.Zone]*zoneState
	// lastHeartbeatAt is when any machine was last heard.
	lastHeartbeatAt monotonic.Instant
}

// zoneState is what is known of one zone.
type zoneState struct {
	lastHeartbeatAt monotonic.Instant // when any machine of the zone was last heard
	machinesUp      int               // machines that had sent heartbeats when the zone was last heard
	// partitionedAt is when the zone was last found to be partitioned; 0: never.
	partitionedAt monotonic.Instant
}

// newPartitionDetector makes a detector that has observed no zone yet.
func newPartitionDetector(state *cluster.State, now *clock.Clock, settings healthSettings) *partitionDetector {
	return &partitionDetector{cluster: state, clock: now, settings: settings, zoneStates: map[ids.Zone]*zoneState{}}
}

// recordZoneHeartbeat notes that a machine of a zone was recordZoneHeartbeat now.
func (o *partitionDetector) recordZoneHeartbeat(zone ids.Zone) {
	z := o.zoneStates[zone]
	if z == nil {
		z = &zoneState{}
		o.zoneStates[zone] = z
	}
	z.lastHeartbeatAt = o.clock.Now()
	o.lastHeartbeatAt = o.clock.Now()
}

// updateZones counts the machines of each zone that is heard, and notes which zones are
// partitioned.
func (o *partitionDetector) updateZones() {
	up := map[ids.Zone]int{}
	for _, m := range o.cluster.Machines() {
		if m.Up() {
			up[m.Zone()]++
		}
	}
	for zone, z := range o.zoneStates {
		if !o.heartbeatsOverdue(z) {
			z.machinesUp = up[zone]
		}
		if o.zonePartitioned(zone) {
			z.partitionedAt = o.clock.Now()
		}
	}
}

// zonePartitioned tells whether a whole zone fell silent at once while others are heard.
// Machines provisioned there could not send heartbeats. They would cost money and count as
// capacity that boots, which would keep others from being provisioned elsewhere.
func (o *partitionDetector) zonePartitioned(zone ids.Zone) bool {
	z := o.zoneStates[zone]
	if z == nil || z.machinesUp < minZoneMachines || !o.heartbeatsOverdue(z) {
		return false
	}
	return o.clock.Now() < z.lastHeartbeatAt.Add(maxPartitionDuration)
}

// zonePartitionedRecently tells whether a zone is partitioned, or was so recently that its
// machines have not all had the time to send a heartbeat.
func (o *partitionDetector) zonePartitionedRecently(zone ids.Zone) bool {
	z := o.zoneStates[zone]
	if z == nil || z.partitionedAt == 0 {
		return false
	}
	return o.clock.Now() < z.partitionedAt.Add(partitionEndIntervals*o.settings.heartbeatInterval)
}

// partitionedZones lists the partitioned zones by name.
func (o *partitionDetector) partitionedZones() []ids.Zone {
	var partitioned []ids.Zone
	for _, zone := range slices.Sorted(maps.Keys(o.zoneStates)) {
		if o.zonePartitioned(zone) {
			partitioned = append(partitioned, zone)
		}
	}
	return partitioned
}

// heartbeatsOverdue tells whether a zone has not been heard for longer than can happen by chance between
// two heartbeats of its machines. With hundreds of machines that is seconds. A pause of this
// process does not count.
func (o *partitionDetector) heartbeatsOverdue(z *zoneState) bool {
	timeout := o.settings.agentLease / 2
	anyRecentHeartbeat := o.clock.Now() < o.lastHeartbeatAt.Add(partitionTimeout/2)
	if z.machinesUp > 0 && anyRecentHeartbeat {
		expectedGap := partitionTimeoutHeartbeats * o.settings.heartbeatInterval / time.Duration(z.machinesUp)
		timeout = min(timeout, partitionTimeout+expectedGap)
	}
	return o.clock.Now() > max(z.lastHeartbeatAt, o.clock.ResumedAt()).Add(timeout)
}
