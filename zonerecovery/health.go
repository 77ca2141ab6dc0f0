package zonerecovery

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// ZoneHealth is what the leader knows of the machines of one zone at an instant. It counts
// distinct machines, never heartbeats.
type ZoneHealth struct {
	// Machines counts those that sent this leader a heartbeat or hold tasks by the records,
	// and are not being terminated.
	Machines int
	// Reachable counts those with a recent heartbeat.
	Reachable int
	// Unreachable counts those whose heartbeat is overdue. A machine that a new leader has yet
	// to hear from is for a while neither reachable nor unreachable.
	Unreachable int
	// Failed counts those that the cloud lists as failed.
	Failed int
	// CapacityRefused is set if the cloud recently refused every type of machine in the zone.
	CapacityRefused bool
}

// lost returns how many machines are of no use.
func (h ZoneHealth) lost() int { return min(h.Machines, max(h.Unreachable, h.Failed)) }

// String describes the health to operators.
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

// Connectivity is what the leader knows of its own connections. It decides whether missing
// heartbeats are evidence against the machines or against the leader itself.
type Connectivity struct {
	// LeaseConfirmed is set if the key-value store recently confirmed the leader lease.
	LeaseConfirmed bool
	// PeersReachable counts the other controllers that answered recently, out of Peers.
	PeersReachable, Peers int
	// ProcessResumed is set shortly after the leader's process was paused: heartbeats that
	// arrived meanwhile are still to be read.
	ProcessResumed bool
}

// reliable reports whether the leader may declare an outage: it holds the lease, and reaches a
// quorum of controllers, itself included. To a leader that is cut off, all other zones look
// unreachable.
func (c Connectivity) reliable() bool {
	return c.LeaseConfirmed && !c.ProcessResumed && 2*(c.PeersReachable+1) > c.Peers+1
}

// Observation is the health of all zones at an instant, and the leader's own connectivity.
type Observation struct {
	Zones        map[ids.Zone]ZoneHealth
	Connectivity Connectivity
}

// someZoneReachable reports whether most machines of some zone are reachable. If all zones are
// in trouble at once, the cause is the controllers or their network: after a controller fails,
// half of all machines may need seconds to find another.
func (o *Observation) someZoneReachable(policy *Policy) bool {
	for _, health := range o.Zones {
		if health.Reachable >= policy.MinMachines && float64(health.lost()) < policy.clearFraction()*float64(health.Machines) {
			return true
		}
	}
	return false
}
