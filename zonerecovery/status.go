package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Status holds what operators are shown of a zone. Times are in milliseconds since the epoch.
type Status struct {
	Zone      ids.Zone  `cbor:"1,keyasint" json:"zone"`
	Condition Condition `cbor:"2,keyasint" json:"condition"`
	SinceMS   int64     `cbor:"3,keyasint" json:"since_ms"`
	Reason    string    `cbor:"4,keyasint" json:"reason"`
	Machines  int       `cbor:"5,keyasint" json:"machines"`
	Reachable int       `cbor:"6,keyasint" json:"heard"`
	// Outages counts the outages of the current incident.
	Outages int `cbor:"7,keyasint" json:"flaps"`
	// Step is the current step of a recovery, Steps the number of the last one.
	Step  int `cbor:"8,keyasint" json:"step"`
	Steps int `cbor:"9,keyasint" json:"steps"`
	// StartsInFlight and FetchesInFlight count starts and fetches of tasks that are not critical.
	// Their limits are 0 unless the zone recovers.
	StartsInFlight  int `cbor:"10,keyasint" json:"starts"`
	StartLimit      int `cbor:"11,keyasint" json:"start_limit"`
	FetchesInFlight int `cbor:"12,keyasint" json:"fetches"`
	FetchLimit      int `cbor:"13,keyasint" json:"fetch_limit"`
	DisplacedJobs   int `cbor:"14,keyasint" json:"displaced_jobs"`
	// Restriction describes which tasks may not start. It is empty if all may. RestrictedUntilMS
	// is when the restriction ends at the latest, 0 if that is not known.
	Restriction       string       `cbor:"15,keyasint" json:"holding"`
	RestrictedUntilMS int64        `cbor:"16,keyasint" json:"until_ms"`
	Override          OverrideKind `cbor:"17,keyasint" json:"override"`
	// Recorded reports whether the record is up to date.
	Recorded bool `cbor:"18,keyasint" json:"recorded"`
	// StartP90MS is the 90th percentile of the latency of starts in the current step, and
	// BaselineP90MS that in zones that do not recover. 0 means too few starts.
	StartP90MS    int64 `cbor:"19,keyasint" json:"start_p90_ms"`
	BaselineP90MS int64 `cbor:"20,keyasint" json:"usual_start_p90_ms"`
	// Incidents holds the newest incidents, the current one last.
	Incidents []Incident `cbor:"21,keyasint" json:"incidents"`
}

// Status returns the status of all zones, sorted by name.
func (m *Manager) Status(at ClockReading) []Status {
	statuses := make([]Status, 0, len(m.zones))
	for _, z := range m.sorted {
		statuses = append(statuses, z.status(at, m.connectivity))
	}
	return statuses
}

// status returns the status of the zone.
func (z *zone) status(at ClockReading, connectivity Connectivity) Status {
	machine, restriction := z.machine, z.restriction(at, connectivity)
	status := Status{
		Zone:              machine.name,
		Condition:         z.condition(),
		SinceMS:           at.toWall(machine.state.since).UnixMilli(),
		Reason:            machine.state.reason,
		Machines:          machine.detector.health.Machines,
		Reachable:         machine.detector.health.Reachable,
		Outages:           machine.outages.count,
		Steps:             z.policy.lastStep(),
		StartsInFlight:    z.starts.nonCritical,
		FetchesInFlight:   len(z.starts.fetches),
		DisplacedJobs:     len(z.displacements.jobs),
		Restriction:       restriction.text,
		RestrictedUntilMS: restriction.untilMS(),
		Override:          z.override.current.Kind,
		Recorded:          z.record.upToDate(),
		BaselineP90MS:     z.baseline.p90MS(),
		Incidents:         machine.incidents.all(),
	}
	if z.condition() == Recovering {
		z.addRecovery(&status)
	}
	return status
}

// addRecovery sets the progress and the limits of a recovery in the status.
func (z *zone) addRecovery(status *Status) {
	ramp := &z.machine.ramp
	status.Step = ramp.step
	status.StartP90MS = ramp.latencies.p90MS()
	status.StartLimit = z.policy.startLimit(ramp.step, status.Reachable)
	status.FetchLimit = z.policy.fetchLimit(ramp.step, status.Reachable)
}

// restriction holds which tasks may not start in a zone, and until when.
type restriction struct {
	// text is empty if all tasks may start.
	text string
	// until is when the restriction ends at the latest, the zero time if that is not known.
	until time.Time
}

// untilMS returns until in milliseconds since the epoch, 0 if it is not known.
func (r restriction) untilMS() int64 {
	if r.until.IsZero() {
		return 0
	}
	return r.until.UnixMilli()
}

// restriction returns the restriction that applies in the zone now.
func (z *zone) restriction(at ClockReading, connectivity Connectivity) restriction {
	if z.override.holds() {
		override := z.override.current
		return restriction{"all new work, by an operator: " + override.Reason, override.until()}
	}
	switch z.condition() {
	case Suspect:
		return suspectRestriction(connectivity)
	case Outage:
		return z.machine.outageRestriction(at)
	case Recovering:
		return z.machine.recoveryRestriction(at)
	default:
		return restriction{}
	}
}

// suspectRestriction returns the restriction of a suspect zone.
func suspectRestriction(connectivity Connectivity) restriction {
	if connectivity.reliable() {
		return restriction{text: "all new work, until its machines are heard or it counts as dark"}
	}
	return restriction{text: "all new work; no verdict, since the state service or most controllers are not reached"}
}

// outageRestriction returns the restriction of a zone in outage.
func (m *stateMachine) outageRestriction(at ClockReading) restriction {
	if m.holdDown.running() {
		return restriction{"all new work, for the hold-down", at.toWall(m.holdDown.end(m.outages.count))}
	}
	return restriction{"all new work, until its machines are heard", at.toWall(m.retryAt())}
}

// recoveryRestriction returns the restriction of a recovering zone.
func (m *stateMachine) recoveryRestriction(at ClockReading) restriction {
	deadline := at.toWall(m.ramp.deadline())
	switch {
	case m.window.isOpen():
		return restriction{"all but critical work, by window " + m.window.window.Name, m.window.until}
	case m.ramp.step == probeStep:
		return restriction{"all but critical work and probes", deadline}
	default:
		return restriction{fmt.Sprintf("starts beyond step %d of %d", m.ramp.step, m.policy.lastStep()), deadline}
	}
}
