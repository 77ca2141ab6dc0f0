package zonerecovery

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// ZoneHealth is what the leader knows of one zone's machines at a moment. It counts distinct
// machines, never reports.
type ZoneHealth struct {
	// Machines are the machines that reported to this leader or hold tasks by the records,
	// and were not returned.
	Machines int
	// Reachable are those that reported lately.
	Reachable int
	// Unreachable are those that were not heard for longer than a report may take. A machine
	// that a new leader has yet to hear from is neither heard nor silent for a while.
	Unreachable int
	// TaskFailed are those that the cloud lists as failed.
	Failed int
	// CapacityRefused tells that the cloud lately refused every kind of machine there.
	CapacityRefused bool
}

// lost is how many machines are of no use.
func (e ZoneHealth) lost() int { return min(e.Machines, max(e.Unreachable, e.Failed)) }

// String is the evidence in an operator's words.
func (e ZoneHealth) String() string {
	text := fmt.Sprintf("%d of %d machines heard, %d silent", e.Reachable, e.Machines, e.Unreachable)
	if e.Failed > 0 {
		text += fmt.Sprintf(", %d listed as failed", e.Failed)
	}
	if e.CapacityRefused {
		text += ", rentals refused"
	}
	return text
}

// Connectivity is what the leader knows of its own place: whether what it does not hear tells more
// of others than of itself.
type Connectivity struct {
	// LeaseConfirmed tells that the state service confirmed the leader's key lately.
	LeaseConfirmed bool
	// PeersReachable are the other controllers that answered lately, of so many.
	PeersReachable, Peers int
	// ProcessResumed tells that the leader's process was paused a moment ago: what
	// machines said meanwhile is still to be read.
	ProcessResumed bool
}

// sound tells whether the leader may call a zone dark: it holds the state service, and a
// majority of the controllers with itself. One that is cut off sees all other zones silent.
func (v Connectivity) sound() bool {
	return v.LeaseConfirmed && !v.ProcessResumed && 2*(v.PeersReachable+1) > v.Peers+1
}

// Observation is the evidence of all zones at a moment.
type Observation struct {
	Zones        map[ids.Zone]ZoneHealth
	Connectivity Connectivity
}

// someZoneHeard tells whether some zone is mostly heard. Where all of them are in trouble at
// once it is the controllers or their network: after one fails, half of all machines may
// need seconds to find another.
func (o *Observation) someZoneHeard(p *Policy) bool {
	for _, e := range o.Zones {
		if e.Reachable >= p.MinMachines && float64(e.lost()) < p.SuspectShare/2*float64(e.Machines) {
			return true
		}
	}
	return false
}
