package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// zone owns all that is known of one zone, and connects its parts: events of tasks reach the
// ramp-up, the budgets and the incident, and a change of either reaches the record. The rules
// stand in the parts.
type zone struct {
	policy        *Policy
	machine       *stateMachine
	record        *recordTracker
	override      operatorOverride
	starts        startTracker
	displacements displacements
	// baseline is shared by all zones: the latency of starts in zones that do not recover.
	baseline *startLatencies
}

// newZone returns a zone that serves and has no record.
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

// condition returns the present condition.
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

// startLimits is what determines which tasks may start, but for the tasks themselves.
type startLimits struct {
	condition Condition
	step      int
	window    *Window
}

// startLimits returns the present limits. They can be compared.
func (z *zone) startLimits() startLimits {
	return startLimits{condition: z.condition(), step: z.machine.ramp.step, window: z.machine.window.window}
}

// applyOverride carries out an operator's decision. A hold counts at once. What allows more
// starts counts once it is recorded.
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

// gated reports whether any task may be denied.
func (z *zone) gated() bool {
	return z.condition() != Serving || z.machine.outages.count > 0 || z.override.active() || !z.record.allows(Serving)
}

// provisioningLimit returns how many machines may be provisioned at once, if that is limited.
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
