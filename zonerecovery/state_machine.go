package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// stateMachine holds the condition of one zone, and the parts on which the condition depends. Only the
// state machine changes the condition. It admits no task and writes no record.
type stateMachine struct {
	name   ids.Zone
	policy *Policy
	// record tracks what the committed record allows. The state machine marks it as outdated.
	record *recordTracker

	observedAt monotonic.Instant
	state      conditionState
	detector   outageDetector
	outages    outageHistory
	holdDown   holdDown
	ramp       rampUp
	window     recoveryWindow
	incidents  incidentLog
	// transitions holds the transitions since the last call of takeTransitions.
	transitions []Transition
}

// newStateMachine returns the state machine of a serving zone.
func newStateMachine(name ids.Zone, policy *Policy, record *recordTracker, baseline *startLatencies, now monotonic.Instant) *stateMachine {
	return &stateMachine{
		name:       name,
		policy:     policy,
		record:     record,
		observedAt: now,
		state:      conditionState{since: now},
		detector:   outageDetector{policy: policy},
		holdDown:   holdDown{policy: policy},
		ramp:       newRampUp(policy, baseline),
	}
}

// zoneObservation holds what is observed of a zone at an instant.
type zoneObservation struct {
	health ZoneHealth
	view   leaderView
	// startsInFlight counts the starts that are not critical.
	startsInFlight int
}

// observe applies an observation, and changes the condition if required. incidentOver reports whether
// the current incident has ended.
func (m *stateMachine) observe(at ClockReading, observation zoneObservation) (incidentOver bool) {
	elapsed := max(0, at.Now.Sub(m.observedAt))
	m.observedAt = at.Now
	m.detector.observe(at.Now, observation.health, observation.view)
	if observation.view.connectivity.ProcessResumed {
		// Heartbeats that arrived during the pause are not read yet, so none counts as missed.
		m.resetTimers()
		return false
	}
	switch m.state.condition {
	case Serving:
		return m.observeServing(at.Now)
	case Suspect:
		m.observeSuspect(at)
	case Outage:
		m.observeOutage(at.Now)
	case Recovering:
		m.observeRecovering(at, elapsed, observation.startsInFlight)
	}
	return false
}

func (m *stateMachine) observeServing(now monotonic.Instant) (incidentOver bool) {
	if m.detector.suspectsOutage() {
		m.enter(Suspect, now, m.detector.health.String())
		return false
	}
	if m.outages.count == 0 || now <= m.state.since.Add(m.policy.QuietPeriod) {
		return false
	}
	m.outages.count = 0
	m.incidents.close()
	m.record.markOutdated()
	return true
}

func (m *stateMachine) observeSuspect(at ClockReading) {
	m.detector.updateClearTimer(at.Now)
	switch {
	case m.detector.suspicionCleared(at.Now):
		m.endSuspicion(at.Now)
	case m.detector.outageConfirmed(at.Now, m.state.since):
		m.beginOutage(at)
	}
}

// endSuspicion returns to the condition before the suspicion. A recovery in which machines became
// unreachable returns to the previous step.
func (m *stateMachine) endSuspicion(now monotonic.Instant) {
	before := m.state.beforeSuspicion
	m.enter(before, now, "heard again: "+m.detector.health.String())
	if before == Recovering {
		m.stepBack(now, "machines fell silent")
	}
}

// beginOutage begins another outage of the current incident, or a new incident.
func (m *stateMachine) beginOutage(at ClockReading) {
	m.outages.begin(at.Now)
	if m.state.beforeSuspicion == Serving {
		m.outages.machinesBefore = max(m.detector.health.Machines, 1)
	}
	m.detector.includeLost()
	m.incidents.beginOutage(at, m.outages.machinesBefore)
	m.enter(Outage, at.Now, m.detector.health.String())
}

func (m *stateMachine) observeOutage(now monotonic.Instant) {
	switch {
	case !m.detector.reachable():
		m.holdDown.stop()
		if now >= m.retryAt() {
			m.beginRecovery(now, "tried again: "+m.detector.health.String())
		}
	case !m.holdDown.running():
		m.holdDown.start(now)
	case now >= m.holdDown.end(m.outages.count):
		m.beginRecovery(now, "heard for the hold-down: "+m.detector.health.String())
	}
}

// retryAt returns when a recovery is tried although too few machines are reachable.
func (m *stateMachine) retryAt() monotonic.Instant { return m.state.since.Add(m.policy.RetryAfter) }

// release ends an outage or a recovery on an operator's request. A suspect zone serves once the
// suspicion ends.
func (m *stateMachine) release(at ClockReading, reason string) {
	m.detector.excludeLost()
	switch m.state.condition {
	case Recovering, Outage:
		m.serve(at, "released by an operator: "+reason)
	case Suspect:
		m.state.beforeSuspicion = Serving
	}
}

// enter changes the condition.
func (m *stateMachine) enter(condition Condition, now monotonic.Instant, reason string) {
	m.addTransition(condition, reason)
	m.incidents.addTime(m.state.condition, now.Sub(m.state.since))
	recorded := m.state.durable()
	m.state.enter(condition, now, reason)
	if m.state.durable() != recorded {
		m.record.markOutdated()
	}
	m.resetTimers()
	m.window.close()
}

// resetTimers stops the timers that measure how long machines have been reachable.
func (m *stateMachine) resetTimers() {
	m.detector.resetClearTimer()
	m.holdDown.stop()
}

// addTransition adds a transition to the given condition for the log.
func (m *stateMachine) addTransition(to Condition, reason string) {
	m.transitions = append(m.transitions, Transition{Zone: m.name, From: m.state.condition, To: to, Step: m.ramp.step, Reason: reason})
}

// takeTransitions returns the transitions since the last call, and removes them.
func (m *stateMachine) takeTransitions() []Transition {
	taken := m.transitions
	m.transitions = nil
	return taken
}

// load replaces the state by that of a record.
func (m *stateMachine) load(record *Record, at ClockReading) {
	m.state = conditionState{condition: record.condition(), since: at.toInstant(record.SinceMS), reason: "recorded by an earlier leader"}
	// The record does not hold when the newest outage began, so an image counts as lost from the
	// caches of the zone's machines unless it is used after the load.
	m.outages = outageHistory{count: record.Outages, machinesBefore: record.MachinesBefore, lastBegan: at.Now}
	m.incidents.load(record.Incidents)
	if record.Outages > 0 {
		m.incidents.reopen()
	}
	if m.state.condition == Recovering {
		// The step begins again, because the results of its starts are not recorded.
		m.ramp.enterStep(min(record.Step, m.policy.lastStep()), at.Now)
		m.ramp.began = at.toInstant(record.RecoveryBeganMS)
	}
}

// assumeOutage sets the condition to an outage, and begins an incident of which no details are known.
func (m *stateMachine) assumeOutage(reason string, at ClockReading) {
	m.state = conditionState{condition: Outage, since: at.Now, reason: reason}
	m.outages = outageHistory{count: 1}
	m.incidents.beginOutage(at, 0)
}
