package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// This file holds the part of the state machine that controls a recovery.

// beginRecovery begins the ramp-up with the probe.
func (m *stateMachine) beginRecovery(now monotonic.Instant, reason string) {
	m.detector.excludeLost()
	m.ramp.begin(now)
	m.enter(Recovering, now, reason)
}

func (m *stateMachine) observeRecovering(at ClockReading, elapsed time.Duration, startsInFlight int) {
	if m.detector.suspectsOutage() {
		m.enter(Suspect, at.Now, m.detector.health.String())
		return
	}
	m.updateWindow(at)
	switch {
	case m.window.isOpen():
		// A window is a delay that the operators configured, so the time of the recovery and
		// of its step counts from the end of the window.
		m.ramp.restartTimers(at.Now)
	case !m.record.committed.matches(Recovering, m.ramp.step):
		// A step does not take effect until it is recorded. While the key-value store is
		// unavailable, the recovery pauses. Otherwise it would reach its deadline without
		// evidence that the zone works.
		m.ramp.pause(elapsed)
	default:
		m.followRamp(at, startsInFlight)
	}
}

// followRamp applies the decision of the ramp-up.
func (m *stateMachine) followRamp(at ClockReading, startsInFlight int) {
	switch m.ramp.decide(at.Now, startsInFlight) {
	case rampTimedOut:
		m.serve(at, "the return took its time")
	case rampStartsSlow:
		m.stepBack(at.Now, "starts are slow")
	case rampStartsFailing:
		m.stepBack(at.Now, fmt.Sprintf("%d of %d starts failed", m.ramp.failed, m.ramp.failed+m.ramp.succeeded))
	case rampLacksProbes:
		m.ramp.anyTaskMayProbe = true
	case rampStepSucceeded:
		m.stepForward(at)
	}
}

// stepForward continues with the next step. In the last step it ends the recovery, or repeats the step
// while tasks are denied.
func (m *stateMachine) stepForward(at ClockReading) {
	switch {
	case m.ramp.backlogCleared():
		m.serve(at, "its work succeeds, and none waits for it")
	case m.ramp.step >= m.policy.lastStep():
		m.ramp.enterStep(m.ramp.step, at.Now)
	default:
		m.enterStep(m.ramp.step+1, at.Now, fmt.Sprintf("%d starts succeeded", m.ramp.succeeded))
	}
}

// stepBack returns to the previous step.
func (m *stateMachine) stepBack(now monotonic.Instant, reason string) {
	m.incidents.update(func(incident *Incident) { incident.Setbacks++ })
	m.enterStep(m.ramp.step-1, now, reason)
}

// serve ends an outage or a recovery: the zone serves.
func (m *stateMachine) serve(at ClockReading, reason string) {
	m.enter(Serving, at.Now, reason)
	m.incidents.beginServing(at)
}

// enterStep changes the step of a recovery.
func (m *stateMachine) enterStep(step int, now monotonic.Instant, reason string) {
	m.ramp.enterStep(step, now)
	m.state.reason = reason
	m.addTransition(m.state.condition, reason)
	m.record.markOutdated()
}

// updateWindow looks up the window that is open now, and adds a transition for one that has opened.
func (m *stateMachine) updateWindow(at ClockReading) {
	if m.window.update(m.policy, m.name, at.Wall) {
		m.addTransition(m.state.condition, m.window.String())
	}
}
