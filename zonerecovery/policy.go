package zonerecovery

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Policy holds the operators' settings in the form that decisions use. It must not change while a
// Manager uses it. Shares are fractions from 0 to 1.
type Policy struct {
	// SuspectFraction is the share of unreachable machines that makes a zone suspect. OutageFraction
	// is the share that makes it an outage, once the zone was suspect for OutageAfter.
	SuspectFraction, OutageFraction float64
	OutageAfter                     time.Duration
	// ClearSuspicionAfter is how long most machines of a suspect zone must be reachable until
	// the suspicion ends.
	ClearSuspicionAfter time.Duration
	// MinMachines is how many machines a zone must have to become suspect.
	MinMachines int
	// ReachableFraction is the share of machines that must be reachable for the hold-down of an
	// outage to run. RetryAfter is how long an outage lasts without that until a recovery is
	// tried all the same.
	ReachableFraction float64
	RetryAfter        time.Duration
	// HoldDown is the first hold-down. Each further outage within QuietPeriod multiplies it by
	// HoldDownFactor, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	HoldDownFactor        float64
	// QuietPeriod is how long a zone must serve until its incident ends.
	QuietPeriod time.Duration
	// ProbeTasks is how many small tasks may start at a time in the probe, the first step of a
	// recovery. MaxProbeRun is how long they are expected to run at most.
	ProbeTasks  int
	MaxProbeRun time.Duration
	// Steps are the shares of the ramp-up after the probe, in ascending order; the full share
	// follows. MinStepTime is how long each step lasts at least, and MinStepSuccesses how many
	// starts must succeed in it, if there are so many.
	Steps            []float64
	MinStepTime      time.Duration
	MinStepSuccesses int
	// FailureTolerance is the share of a step's starts that may fail.
	FailureTolerance float64
	// SlowStartFactor is how many times the baseline latency starts may take.
	SlowStartFactor float64
	// StartsPerMachine and FetchesPerMachine are how many starts and image fetches the full
	// share allows in flight, for each reachable machine.
	StartsPerMachine, FetchesPerMachine float64
	// MaxRecovery is how long a recovery takes at most. Afterwards the zone serves, so that no
	// work waits for long while there is free capacity.
	MaxRecovery time.Duration
	// FailbackBudget is how often a job may return, in one incident, to a zone that displaced
	// it. After ForceFailbackAfter it may return beyond the budget.
	FailbackBudget     int
	ForceFailbackAfter time.Duration
	// Restore is how replicas are moved back once the zone serves.
	Restore RestorePolicy
	// Windows are when only critical work starts in zones that recover.
	Windows []*Window
}

// RestorePolicy is how replicas of services are moved back to a zone that displaced them, so
// that the next outage takes fewer of them. Tasks of job arrays are never moved: they finish
// sooner where they are.
type RestorePolicy struct {
	// MovesPerMinute limits the moves of all services; 0 turns moves off.
	MovesPerMinute float64
	// After is how long a zone must have served since its recovery.
	After time.Duration
	// Budget is how many replicas of one service may be moved in one incident.
	Budget int
}

// clearFraction is the share of unreachable machines below which a zone is not in trouble. It is
// lower than SuspectFraction, so that a zone between the two does not change back and forth.
func (p *Policy) clearFraction() float64 { return p.SuspectFraction / 2 }

// holdDown returns the hold-down after the given number of outages in an incident.
func (p *Policy) holdDown(outages int) time.Duration {
	scaled := float64(p.HoldDown) * math.Pow(p.HoldDownFactor, float64(max(0, outages-1)))
	return time.Duration(min(scaled, float64(p.MaxHoldDown)))
}

// stepFraction returns the stepFraction of a step. The probe, step 0, has none.
func (p *Policy) stepFraction(step int) float64 {
	switch {
	case step <= probeStep:
		return 0
	case step >= p.lastStep():
		return 1
	}
	return p.Steps[step-1]
}

// lastStep is the step with the full share. It follows those of the settings.
func (p *Policy) lastStep() int { return len(p.Steps) + 1 }

// startLimit is how many starts may be in flight in a step.
func (p *Policy) startLimit(step, reachableMachines int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.stepFraction(step)*p.StartsPerMachine*float64(reachableMachines))))
}

// fetchLimit is how many image fetches may be in flight in a step.
func (p *Policy) fetchLimit(step, reachableMachines int) int {
	return max(1, int(math.Ceil(p.stepFraction(step)*p.FetchesPerMachine*float64(reachableMachines))))
}

// provisioningLimit is how many machines may be provisioned at once in a step, for a zone that
// had the given number before its outage.
func (p *Policy) provisioningLimit(step, machinesBefore int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.stepFraction(step)*float64(machinesBefore))))
}

// openWindow returns the window that is open in a zone and ends last, and its end. The window is
// nil if none is open.
func (p *Policy) openWindow(zone ids.Zone, at time.Time) (window *Window, until time.Time) {
	for _, candidate := range p.Windows {
		if end, open := candidate.OpenAt(zone, at); open && end.After(until) {
			window, until = candidate, end
		}
	}
	return window, until
}
