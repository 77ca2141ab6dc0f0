package zonerecovery

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Policy is what the operators' settings come to.
type Policy struct {
	// SuspectShare and OutageShare are the parts of a zone's machines whose silence makes it
	// suspect, and dark once it has been suspect for OutageAfter. MinMachines is how many
	// machines a zone must have for that.
	SuspectShare, OutageShare        float64
	OutageAfter, ClearSuspicionAfter time.Duration
	MinMachines                      int
	// ReachableShare is the part of a dark zone's machines that must be heard for the
	// hold-down to run, and Retry how long a dark zone without machines waits until a few
	// are tried there.
	ReachableShare float64
	RetryAfter     time.Duration
	// HoldDown is the first hold-down; each further time that the zone gets dark within
	// Quiet multiplies it by HoldDownFactor, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	HoldDownFactor        float64
	QuietPeriod           time.Duration
	// ProbeTasks is how many small tasks prove a zone at a time, and MaxProbeRun how long
	// they are expected to run at most.
	ProbeTasks  int
	MaxProbeRun time.Duration
	// Steps are the shares of the ramp after the probe. MinStepTime is how long each lasts at
	// least, and MinStepSuccesses how many starts must succeed in it, if there are so many.
	Steps            []float64
	MinStepTime      time.Duration
	MinStepSuccesses int
	// FailureTolerance is the part of a step's starts that may fail, and SlowStartFactor
	// how many times as long as elsewhere starts may take.
	FailureTolerance, SlowStartFactor float64
	// StartsPerMachine and FetchesPerMachine are what a full share allows under way at
	// once, for each machine that is heard.
	StartsPerMachine, FetchesPerMachine float64
	// MaxRecovery is how long a return takes at most: after it the zone serves, so that
	// nothing waits for long beside its room.
	MaxRecovery time.Duration
	// FailbackBudget is how often a job may come back to a zone that it was displaced from in
	// one incident. A job that has waited for Patience may come back in any case.
	FailbackBudget     int
	ForceFailbackAfter time.Duration
	// Restore is how replicas are moved back once the zone serves.
	Restore RestorePolicy
	// Windows are the times in which only critical work returns.
	Windows []*Window
}

// holdDown is the hold-down of a zone that has been dark so many times.
func (p *Policy) holdDown(flaps int) time.Duration {
	grown := float64(p.HoldDown) * math.Pow(p.HoldDownFactor, float64(max(0, flaps-1)))
	return time.Duration(min(grown, float64(p.MaxHoldDown)))
}

// shareOf is the share of a step; the probe, step 0, has none.
func (p *Policy) shareOf(step int) float64 {
	switch {
	case step <= 0:
		return 0
	case step >= p.lastStep():
		return 1
	}
	return p.Steps[step-1]
}

// lastStep is the step with the full share, after those of the settings.
func (p *Policy) lastStep() int { return len(p.Steps) + 1 }

// startLimit is how many starts may be under way in a step on so many machines.
func (p *Policy) startLimit(step, machines int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.shareOf(step)*p.StartsPerMachine*float64(machines))))
}

// fetchLimit is how many image fetches may be under way in a step on so many machines.
func (p *Policy) fetchLimit(step, machines int) int {
	return max(1, int(math.Ceil(p.shareOf(step)*p.FetchesPerMachine*float64(machines))))
}

// rentalLimit is how many machines may be on their way to a zone that had so many before.
func (p *Policy) rentalLimit(step, machinesBefore int) int {
	return max(p.ProbeTasks, int(math.Ceil(p.shareOf(step)*float64(machinesBefore))))
}

// openWindow finds the window that is open in a zone, if any, and when it ends.
func (p *Policy) openWindow(zone ids.Zone, at time.Time) (w *Window, until time.Time) {
	for _, candidate := range p.Windows {
		if end, open := candidate.OpenAt(zone, at); open && end.After(until) {
			w, until = candidate, end
		}
	}
	return w, until
}
