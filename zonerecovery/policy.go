package zonerecovery

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Policy holds the operators' settings in the form that decisions use. It must not change while a
// Manager uses it. Fractions are from 0 to 1.
type Policy struct {
	// SuspectFraction is the fraction of unreachable machines at which a zone becomes suspect.
	// OutageFraction is the fraction at which it is in outage, after it has been suspect for
	// OutageAfter.
	SuspectFraction, OutageFraction float64
	OutageAfter                     time.Duration
	// ClearSuspicionAfter is how long most machines of a suspect zone must be reachable before
	// the suspicion ends.
	ClearSuspicionAfter time.Duration
	// MinMachines is the number of machines below which a zone does not become suspect.
	MinMachines int
	// ReachableFraction is the fraction of machines that must be reachable for the hold-down of
	// an outage to run. RetryAfter is the time after which a recovery from an outage is tried
	// even if fewer machines are reachable.
	ReachableFraction float64
	RetryAfter        time.Duration
	// HoldDown is how long machines must be reachable after the first outage of an incident
	// before a recovery begins. Each further outage within QuietPeriod multiplies it by
	// HoldDownFactor, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	HoldDownFactor        float64
	// QuietPeriod is how long a zone must serve before its incident ends.
	QuietPeriod time.Duration
	// ProbeTasks is the number of small tasks that may be starting at a time in the probe, the
	// first step of a recovery. MaxProbeRun is the longest expected run time of such a task.
	ProbeTasks  int
	MaxProbeRun time.Duration
	// Steps are the fractions of the full limits that the ramp-up allows after the probe, in
	// ascending order. A last step with the full limits follows. MinStepTime is the minimum
	// duration of a step. MinStepSuccesses is how many starts must succeed in it, if that many
	// are requested.
	Steps            []float64
	MinStepTime      time.Duration
	MinStepSuccesses int
	// FailureTolerance is the fraction of a step's starts that may fail.
	FailureTolerance float64
	// SlowStartFactor is the multiple of the baseline latency above which starts are slow.
	SlowStartFactor float64
	// StartsPerMachine and FetchesPerMachine are the full limits of starts and image fetches in
	// flight, for each reachable machine.
	StartsPerMachine, FetchesPerMachine float64
	// MaxRecovery is the longest duration of a recovery. The zone serves after it, so that no
	// work waits for long while there is free capacity.
	MaxRecovery time.Duration
	// FailbackBudget is how often a job may return, in one incident, to a zone that displaced
	// it. A job that has waited for ForceFailbackAfter may return beyond the budget.
	FailbackBudget     int
	ForceFailbackAfter time.Duration
	// Restore limits how replicas are moved back once the zone serves.
	Restore RestorePolicy
	// Windows are the recurring intervals in which only critical work starts in recovering zones.
	Windows []*Window
}

// RestorePolicy holds the limits on moving replicas of services back to a zone that displaced
// them. The moves spread the replicas, so that the next outage displaces fewer of them. Tasks of
// job arrays are never moved: they finish sooner where they are.
type RestorePolicy struct {
	// MovesPerMinute limits the moves of all services together; 0 turns moves off.
	MovesPerMinute float64
	// After is how long a zone must have served since its recovery.
	After time.Duration
	// Budget is the number of replicas of one service that may be moved in one incident.
	Budget int
}

// clearFraction returns the fraction of lost machines below which a zone counts as healthy. It is
// lower than SuspectFraction: with a single threshold, a zone near it would become suspect and
// recover again and again.
func (p *Policy) clearFraction() float64 { return p.SuspectFraction / 2 }

// holdDown returns the hold-down after the given number of outages in an incident.
func (p *Policy) holdDown(outages int) time.Duration {
	scaled := float64(p.HoldDown) * math.Pow(p.HoldDownFactor, float64(max(0, outages-1)))
	return time.Duration(min(scaled, float64(p.MaxHoldDown)))
}

// stepFraction returns the fraction of the full limits that a step allows. It is 0 for the probe.
func (p *Policy) stepFraction(step int) float64 {
	switch {
	case step <= probeStep:
		return 0
	case step >= p.lastStep():
		return 1
	}
	return p.Steps[step-1]
}

// lastStep returns the step with the full limits. It follows the steps of the settings.
func (p *Policy) lastStep() int { return len(p.Steps) + 1 }

// startLimit returns how many starts may be in flight in a step.
func (p *Policy) startLimit(step, reachableMachines int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.stepFraction(step)*p.StartsPerMachine*float64(reachableMachines))))
}

// fetchLimit returns how many image fetches may be in flight in a step.
func (p *Policy) fetchLimit(step, reachableMachines int) int {
	return max(1, int(math.Ceil(p.stepFraction(step)*p.FetchesPerMachine*float64(reachableMachines))))
}

// provisioningLimit returns how many machines may be provisioned at once in a step, for a zone
// that had machinesBefore machines before its incident.
func (p *Policy) provisioningLimit(step, machinesBefore int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.stepFraction(step)*float64(machinesBefore))))
}

// openWindow returns the window that is open in a zone, and its end. Of several it returns the one
// that ends last. The window is nil if none is open.
func (p *Policy) openWindow(zone ids.Zone, at time.Time) (window *Window, until time.Time) {
	for _, candidate := range p.Windows {
		if end, open := candidate.OpenAt(zone, at); open && end.After(until) {
			window, until = candidate, end
		}
	}
	return window, until
}
