package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Admission is why a task may not start in a zone now.
type Admission uint8

// The reasons for a denial.
const (
	Admitted Admission = iota
	DeniedByOperator
	DeniedSuspect
	DeniedOutage
	DeniedUnrecorded
	DeniedWindow
	DeniedProbeOnly
	DeniedStartLimit
	DeniedFetchLimit
	DeniedFailbackBudget
)

var denialNames = []string{
	Admitted: "admitted", DeniedByOperator: "held by an operator", DeniedSuspect: "suspect", DeniedOutage: "dark",
	DeniedUnrecorded: "the return is not recorded yet", DeniedWindow: "a window for critical work", DeniedProbeOnly: "only probes",
	DeniedStartLimit: "starts under way", DeniedFetchLimit: "fetches under way", DeniedFailbackBudget: "came back before",
}

// String is the reason in words.
func (d Admission) String() string { return nameOf(denialNames, "denial", d) }

// admit tells whether a task may start in the zone now.
func (z *zone) admit(s *StartRequest) Admission {
	switch {
	case z.override.Kind == OverrideHold:
		return DeniedByOperator
	case z.condition == Suspect:
		return DeniedSuspect
	case z.condition == Outage:
		return DeniedOutage
	case !z.record.allows(z.condition):
		return DeniedUnrecorded
	case !z.mayForce(s) && z.displaced.exhausted(s.Task.Job, z.policy.FailbackBudget):
		return DeniedFailbackBudget
	case z.condition == Serving || s.Critical:
		return Admitted
	}
	return z.admitReturning(s)
}

// admitReturning tells whether a task that is not critical may start in a zone that
// returns.
func (z *zone) admitReturning(s *StartRequest) Admission {
	step := z.record.allowedStep(z.ramp.step)
	switch {
	case z.window != nil:
		return DeniedWindow
	case step == 0 && !s.ProbeEligible && !z.ramp.relaxed:
		return DeniedProbeOnly
	case z.starts.returning >= z.policy.startLimit(step, z.evidence.Reachable):
		return DeniedStartLimit
	case !s.NeedsFetch || z.starts.fetches[fetchKey{s.Machine, s.Image}] > 0:
		return Admitted
	case s.MachineFetching || len(z.starts.fetches) >= z.policy.fetchLimit(step, z.evidence.Reachable):
		return DeniedFetchLimit
	}
	return Admitted
}

// mayForce tells whether a job's earlier moves do not count any more: it may go nowhere else,
// or has waited for long since it was displaced.
func (z *zone) mayForce(s *StartRequest) bool {
	return s.ZonePinned || z.now >= z.displaced.patientUntil(s.Task.Job, z.policy.ForceFailbackAfter)
}

// byRamp tells whether the ramp alone turned a task away: it may come with a later step.
func (d Admission) byRamp() bool {
	return d == DeniedProbeOnly || d == DeniedStartLimit || d == DeniedFetchLimit
}

// started notes that a task was placed in the zone.
func (z *zone) started(s *StartRequest, now monotonic.Instant) (bounced, forced bool) {
	ramped := z.condition == Recovering
	z.starts.add(s, now, ramped)
	if ramped && !s.Critical {
		z.ramp.started++
	}
	if bounced, forced = z.displaced.comeBack(s.Task.Job, z.policy.FailbackBudget, z.mayForce(s)); bounced {
		z.record.lazy = true
	}
	return bounced, forced
}

// startEnded notes that a task runs, or is gone before it did.
func (z *zone) startEnded(task ids.TaskRef, ran bool, now monotonic.Instant) {
	p, ok := z.starts.remove(task)
	if !ok || !ran {
		if ok && p.ramped && !p.critical {
			z.ramp.started = max(0, z.ramp.started-1)
		}
		return
	}
	took := now.Sub(p.since)
	if z.condition != Recovering {
		z.usual.record(took)
		return
	}
	if p.ramped && !p.critical {
		z.ramp.succeeded++
		z.ramp.startTimes.record(took)
	}
}
