package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// This file holds the part of the state machine that follows a recovery through its steps.

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
		// The operators chose to wait. The time for the recovery counts from the window's end.
		m.ramp.restartTimers(at.Now)
	case !m.record.committed.matches(Recovering, m.ramp.step):
		// A step is no evidence until it is recorded. While the key-value store is
		// unavailable, the recovery pauses: it would end unproven otherwise.
		m.ramp.pause(elapsed)
	default:
		m.followRamp(at, startsInFlight)
	}
}

// followRamp carries out what the ramp-up decides.
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

// stepForward goes on to the next step, or ends the recovery after the last one.
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

// stepBack returns to the step before.
func (m *stateMachine) stepBack(now monotonic.Instant, reason string) {
	m.incidents.update(func(incident *Incident) { incident.Setbacks++ })
	m.enterStep(m.ramp.step-1, now, reason)
}

// serve ends an outage or a recovery.
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

// updateWindow notes the window that is open now.
func (m *stateMachine) updateWindow(at ClockReading) {
	if m.window.update(m.policy, m.name, at.Wall) {
		m.addTransition(m.state.condition, m.window.String())
	}
}
