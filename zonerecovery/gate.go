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
	case z.displaced.denies(s, z.now):
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
	case z.starts.limited >= z.policy.startLimit(step, z.evidence.Reachable):
		return DeniedStartLimit
	case !s.NeedsFetch || z.starts.fetches[s.fetch()] > 0:
		return Admitted
	case s.MachineFetching || len(z.starts.fetches) >= z.policy.fetchLimit(step, z.evidence.Reachable):
		return DeniedFetchLimit
	}
	return Admitted
}

// byRamp tells whether the ramp alone turned a task away: it may come with a later step.
func (d Admission) byRamp() bool {
	return d == DeniedProbeOnly || d == DeniedStartLimit || d == DeniedFetchLimit
}

// started notes that a task was placed in the zone.
func (z *zone) started(request *StartRequest, now monotonic.Instant) failback {
	if z.condition == Recovering {
		z.starts.addInRecovery(request, now)
		if !request.Critical {
			z.ramp.started++
		}
	} else {
		z.starts.add(request, now)
	}
	kind := z.displaced.recordPlacement(request, z.now)
	if kind != noFailback {
		z.record.lazy = true
	}
	z.incidents.addFailback(kind)
	return kind
}

// startSucceeded notes that a task runs.
func (z *zone) startSucceeded(task ids.TaskRef, now monotonic.Instant) {
	start, ok := z.starts.remove(task)
	if !ok {
		return
	}
	latency := now.Sub(start.placedAt)
	switch {
	case z.condition != Recovering:
		z.usual.record(latency)
	case start.countsForStep():
		z.ramp.succeeded++
		z.ramp.startTimes.record(latency)
	}
}

// startWithdrawn notes that a task is off its machine. It changes nothing if the task ran.
func (z *zone) startWithdrawn(task ids.TaskRef) {
	if start, ok := z.starts.remove(task); ok && start.countsForStep() {
		z.ramp.started = max(0, z.ramp.started-1)
	}
}
