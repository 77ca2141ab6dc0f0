package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// leaderView holds what the leader observes outside a single zone.
type leaderView struct {
	connectivity Connectivity
	// someZoneReachable is the result of Observation.someZoneReachable.
	someZoneReachable bool
}

// outageDetector holds the latest health of a zone, and decides whether the zone is in outage. It
// never changes the condition.
type outageDetector struct {
	policy *Policy
	health ZoneHealth
	view   leaderView
	// excluded is the number of machines that were lost when the recovery began or an operator
	// released the zone. They are not evidence of a new outage.
	excluded int
	// reliableSince is when the leader's view became reliable, 0 if it is not. A leader that was
	// partitioned needs time to receive heartbeats again.
	reliableSince monotonic.Instant
	// clearSince is when a suspect zone's lost fraction fell below Policy.clearFraction, 0 if it
	// is not below.
	clearSince monotonic.Instant
}

// observe records the health of the zone and the leader's view.
func (d *outageDetector) observe(now monotonic.Instant, health ZoneHealth, view leaderView) {
	d.health, d.view = health, view
	d.excluded = min(d.excluded, health.lost())
	switch {
	case !view.connectivity.reliable() || !view.someZoneReachable:
		d.reliableSince = 0
	case d.reliableSince == 0:
		d.reliableSince = now
	}
}

// excludeLost excludes the machines that are lost now from the count of lost machines.
func (d *outageDetector) excludeLost() { d.excluded = d.health.lost() }

// includeLost excludes no machine any more.
func (d *outageDetector) includeLost() { d.excluded = 0 }

// lostFraction returns the fraction of machines that are lost, without the excluded ones.
func (d *outageDetector) lostFraction() float64 {
	lost, machines := d.health.lost()-d.excluded, d.health.Machines-d.excluded
	if machines <= 0 {
		return 0
	}
	return float64(max(0, lost)) / float64(machines)
}

// suspectsOutage reports whether enough machines are lost to make the zone suspect.
func (d *outageDetector) suspectsOutage() bool {
	return d.view.someZoneReachable && d.health.Machines >= d.policy.MinMachines && d.lostFraction() >= d.policy.SuspectFraction
}

// suspectLostFraction returns the fraction of a suspect zone's machines that are lost. It is 1 if the
// zone has no machines left.
func (d *outageDetector) suspectLostFraction() float64 {
	if d.health.Machines == 0 {
		return 1
	}
	return d.lostFraction()
}

// updateClearTimer starts the timer of suspicionCleared, or stops it if too many machines of the
// suspect zone are lost.
func (d *outageDetector) updateClearTimer(now monotonic.Instant) {
	switch {
	case d.suspectLostFraction() >= d.policy.clearFraction():
		d.clearSince = 0
	case d.clearSince == 0:
		d.clearSince = now
	}
}

// resetClearTimer stops the timer of suspicionCleared.
func (d *outageDetector) resetClearTimer() { d.clearSince = 0 }

// suspicionCleared reports whether enough machines of a suspect zone have been reachable for
// ClearSuspicionAfter.
func (d *outageDetector) suspicionCleared(now monotonic.Instant) bool {
	return d.clearSince != 0 && now >= d.clearSince.Add(d.policy.ClearSuspicionAfter)
}

// outageConfirmed reports whether a zone that has been suspect since suspectSince is in outage. It
// is false while the leader's own view is not reliable.
func (d *outageDetector) outageConfirmed(now, suspectSince monotonic.Instant) bool {
	if d.clearSince != 0 || d.reliableSince == 0 || d.suspectLostFraction() < d.policy.OutageFraction {
		return false
	}
	return now >= max(suspectSince, d.reliableSince).Add(d.confirmationTime())
}

// confirmationTime returns how long a zone must be suspect before it is in outage. It is halved if
// the cloud refuses capacity there, which is independent evidence of an outage.
func (d *outageDetector) confirmationTime() time.Duration {
	if d.health.CapacityRefused {
		return d.policy.OutageAfter / 2
	}
	return d.policy.OutageAfter
}

// reachable reports whether enough machines are reachable for the hold-down of an outage to run.
func (d *outageDetector) reachable() bool {
	return d.health.Reachable >= 1 && float64(d.health.Reachable) >= d.policy.ReachableFraction*float64(d.health.Machines)
}
