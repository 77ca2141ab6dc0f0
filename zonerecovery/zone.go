package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// zone holds the state of one zone and connects its parts. It passes task events to the ramp-up,
// the budgets and the incident, and marks the record as outdated when one of them changes. The
// rules are in the parts.
type zone struct {
	policy        *Policy
	machine       *stateMachine
	record        *recordTracker
	override      operatorOverride
	starts        startTracker
	displacements displacements
	// baseline is the latency of starts in zones that do not recover. All zones share it.
	baseline *startLatencies
}

// newZone returns a serving zone without a record.
func newZone(name ids.Zone, policy *Policy, baseline *startLatencies, now monotonic.Instant) *zone {
	record := newRecordTracker()
	return &zone{
		policy:        policy,
		machine:       newStateMachine(name, policy, record, baseline, now),
		record:        record,
		starts:        newStartTracker(),
		displacements: newDisplacements(policy),
		baseline:      baseline,
	}
}

// name returns the name of the zone.
func (z *zone) name() ids.Zone { return z.machine.name }

// condition returns the current condition.
func (z *zone) condition() Condition { return z.machine.state.condition }

// observe applies the health of the zone's machines.
func (z *zone) observe(at ClockReading, health ZoneHealth, view leaderView) {
	if z.override.current.expired(at.Wall) {
		z.setOverride(Override{Reason: "the hold is over"})
	}
	observation := zoneObservation{health: health, view: view, startsInFlight: z.starts.nonCritical}
	if incidentOver := z.machine.observe(at, observation); incidentOver {
		z.displacements.clear()
	}
}

// startLimits holds the state of a zone that determines which tasks may start.
type startLimits struct {
	condition Condition
	step      int
	window    *Window
}

// startLimits returns the current limits. They are comparable.
func (z *zone) startLimits() startLimits {
	return startLimits{condition: z.condition(), step: z.machine.ramp.step, window: z.machine.window.window}
}

// applyOverride applies an operator's decision. A hold takes effect immediately. A decision that
// allows more starts takes effect once it is recorded.
func (z *zone) applyOverride(override Override, at ClockReading) {
	z.override.decisions++
	z.setOverride(override)
	if override.Kind == OverrideRelease {
		z.override.current = Override{}
		z.machine.release(at, override.Reason)
	}
}

// setOverride puts an override in force.
func (z *zone) setOverride(override Override) {
	z.override.current = override
	z.record.markOutdated()
	z.machine.addTransition(z.condition(), "operator: "+override.Kind.String()+" "+override.Reason)
}

// gated reports whether admit may deny a task.
func (z *zone) gated() bool {
	return z.condition() != Serving || z.machine.outages.count > 0 || z.override.active() || !z.record.allows(Serving)
}

// provisioningLimit returns how many machines may be provisioned at once. limited reports whether
// there is a limit.
func (z *zone) provisioningLimit() (limit int, limited bool) {
	switch {
	case z.override.holds() || z.condition() == Suspect || z.condition() == Outage:
		return 0, true
	case z.condition() == Recovering:
		step := z.record.allowedStep(z.machine.ramp.step)
		return z.policy.provisioningLimit(step, z.machine.outages.machinesBefore), true
	}
	return 0, false
}
