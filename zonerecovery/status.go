package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Status is what operators are told of a zone.
type Status struct {
	Zone      ids.Zone  `cbor:"1,keyasint" json:"zone"`
	Condition Condition `cbor:"2,keyasint" json:"condition"`
	SinceMS   int64     `cbor:"3,keyasint" json:"since_ms"`
	Reason    string    `cbor:"4,keyasint" json:"reason"`
	Machines  int       `cbor:"5,keyasint" json:"machines"`
	Reachable int       `cbor:"6,keyasint" json:"heard"`
	Outages   int       `cbor:"7,keyasint" json:"flaps"`
	// Step and Steps are the ramp's progress, Starts and Fetches what is under way there
	// that is not critical, with their limits.
	Step            int `cbor:"8,keyasint" json:"step"`
	Steps           int `cbor:"9,keyasint" json:"steps"`
	StartsInFlight  int `cbor:"10,keyasint" json:"starts"`
	StartLimit      int `cbor:"11,keyasint" json:"start_limit"`
	FetchesInFlight int `cbor:"12,keyasint" json:"fetches"`
	FetchLimit      int `cbor:"13,keyasint" json:"fetch_limit"`
	DisplacedJobs   int `cbor:"14,keyasint" json:"displaced_jobs"`
	// Restriction is what is held back, and RestrictedUntilMS until when at the latest, 0 if that is not
	// known.
	Restriction       string       `cbor:"15,keyasint" json:"holding"`
	RestrictedUntilMS int64        `cbor:"16,keyasint" json:"until_ms"`
	Override          OverrideKind `cbor:"17,keyasint" json:"override"`
	Recorded          bool         `cbor:"18,keyasint" json:"recorded"`
	// StartP90MS is what nine in ten starts of the present step did not exceed, and
	// BaselineP90MS the same in zones that do not return; 0: too few.
	StartP90MS    int64 `cbor:"19,keyasint" json:"start_p90_ms"`
	BaselineP90MS int64 `cbor:"20,keyasint" json:"usual_start_p90_ms"`
	// Incidents are the newest, the present one last.
	Incidents []Incident `cbor:"21,keyasint" json:"incidents"`
}

// Status lists all zones by name.
func (m *Manager) Status(at ClockReading) []Status {
	out := make([]Status, 0, len(m.zones))
	for _, name := range m.sortedZones() {
		out = append(out, m.zones[name].status(at, m.view))
	}
	return out
}

// status is what operators are told of the zone.
func (z *zone) status(at ClockReading, view Connectivity) Status {
	s := Status{
		Zone: z.name, Condition: z.condition, SinceMS: at.toWall(z.since).UnixMilli(), Reason: z.reason,
		Machines: z.evidence.Machines, Reachable: z.evidence.Reachable, Outages: z.flaps, Steps: z.policy.lastStep(),
		StartsInFlight: z.starts.limited, FetchesInFlight: len(z.starts.fetches), DisplacedJobs: len(z.displaced.jobs),
		Override: z.override.Kind, Recorded: !z.record.dirty && !z.record.inFlight,
	}
	s.Incidents = z.incidents.all()
	if usual, ok := z.usual.p90(); ok {
		s.BaselineP90MS = usual.Milliseconds()
	}
	if z.condition == Recovering {
		if took, ok := z.ramp.startTimes.p90(); ok {
			s.StartP90MS = took.Milliseconds()
		}
		s.Step = z.ramp.step
		s.StartLimit = z.policy.startLimit(s.Step, z.evidence.Reachable)
		s.FetchLimit = z.policy.fetchLimit(s.Step, z.evidence.Reachable)
	}
	var until time.Time
	if s.Restriction, until = z.holding(at, view); !until.IsZero() {
		s.RestrictedUntilMS = until.UnixMilli()
	}
	return s
}

// holding tells what is held back, why, and until when at the latest.
func (z *zone) holding(at ClockReading, view Connectivity) (what string, until time.Time) {
	switch {
	case z.override.Kind == OverrideHold:
		if z.override.UntilMS != 0 {
			until = time.UnixMilli(z.override.UntilMS)
		}
		return "all new work, by an operator: " + z.override.Reason, until
	case z.condition == Suspect:
		if !view.reliable() {
			return "all new work; no verdict, since the state service or most controllers are not reached", until
		}
		return "all new work, until its machines are heard or it counts as dark", until
	case z.condition == Outage && z.steadySince != 0:
		return "all new work, for the hold-down", at.toWall(z.steadySince.Add(z.policy.holdDown(z.flaps)))
	case z.condition == Outage:
		return "all new work, until its machines are heard", at.toWall(z.since.Add(z.policy.RetryAfter))
	case z.condition == Recovering && z.window != nil:
		return fmt.Sprintf("all but critical work, by window %s", z.window.Name), z.windowUntil
	case z.condition == Recovering && z.ramp.step == 0:
		return "all but critical work and probes", at.toWall(z.ramp.began.Add(z.policy.MaxRecovery))
	case z.condition == Recovering:
		return fmt.Sprintf("starts beyond step %d of %d", z.ramp.step, z.policy.lastStep()), at.toWall(z.ramp.began.Add(z.policy.MaxRecovery))
	}
	return "", until
}
