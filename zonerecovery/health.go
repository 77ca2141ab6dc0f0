package zonerecovery

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// ZoneHealth holds what the leader knows of the machines of one zone at an instant. It counts
// distinct machines, never heartbeats.
type ZoneHealth struct {
	// Machines counts the machines that have sent this leader a heartbeat or have tasks
	// according to the records. Machines that are being terminated are not counted.
	Machines int
	// Reachable counts the machines with a recent heartbeat.
	Reachable int
	// Unreachable counts the machines whose heartbeat is overdue. After a failover, a machine
	// that has not sent the new leader a heartbeat is for a while neither reachable nor
	// unreachable.
	Unreachable int
	// Failed counts the machines that the cloud lists as failed.
	Failed int
	// CapacityRefused reports whether the cloud recently refused every machine type in the zone.
	CapacityRefused bool
}

// lost returns the number of machines that are unreachable or listed as failed. The two sets may
// overlap, so it is the larger of the counts, and at most Machines.
func (h ZoneHealth) lost() int { return min(h.Machines, max(h.Unreachable, h.Failed)) }

// String returns a description of the health for operators.
func (h ZoneHealth) String() string {
	text := fmt.Sprintf("%d of %d machines heard, %d silent", h.Reachable, h.Machines, h.Unreachable)
	if h.Failed > 0 {
		text += fmt.Sprintf(", %d listed as failed", h.Failed)
	}
	if h.CapacityRefused {
		text += ", rentals refused"
	}
	return text
}

// Connectivity holds what the leader knows of its own connections. It determines whether missed
// heartbeats are evidence of lost machines or of a partitioned leader.
type Connectivity struct {
	// LeaseConfirmed reports whether the key-value store recently confirmed the leader lease.
	LeaseConfirmed bool
	// Peers is the number of other controllers. PeersReachable counts those that answered
	// recently.
	PeersReachable, Peers int
	// ProcessResumed reports whether the leader's process has just resumed from a pause.
	// Heartbeats that arrived in the meantime are not read yet.
	ProcessResumed bool
}

// reliable reports whether the leader may declare an outage. It must hold the lease and reach a
// quorum of controllers, itself included. A partitioned leader would take all other zones for
// unreachable.
func (c Connectivity) reliable() bool {
	return c.LeaseConfirmed && !c.ProcessResumed && 2*(c.PeersReachable+1) > c.Peers+1
}

// Observation holds the health of all zones at an instant, and the leader's own connectivity.
type Observation struct {
	Zones        map[ids.Zone]ZoneHealth
	Connectivity Connectivity
}

// someZoneReachable reports whether most machines of at least one zone are reachable. If many
// machines of all zones are unreachable at once, the cause is the controllers or their network:
// after a controller fails, half of all machines may need seconds to connect to another.
func (o *Observation) someZoneReachable(policy *Policy) bool {
	for _, health := range o.Zones {
		if health.Reachable >= policy.MinMachines && float64(health.lost()) < policy.clearFraction()*float64(health.Machines) {
			return true
		}
	}
	return false
}
