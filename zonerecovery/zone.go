package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// zone is one zone's state machine.
type zone struct {
	name   ids.Zone
	policy *Policy
	// usual are the start times in zones that do not return.
	usual *startLatencies

	// now is when it was last observed, and sinceObserved how long after the time before.
	now           monotonic.Instant
	sinceObserved time.Duration
	condition     Condition
	since         monotonic.Instant
	reason        string
	// resume is the condition that a suspicion goes back to.
	resume   Condition
	evidence ZoneHealth
	// absent are machines that were silent when the return began: they are not its
	// trouble.
	absent int
	// machinesBefore is how many machines it had when it got dark.
	machinesBefore int
	// steadySince is since when a suspect zone is heard again, or a dark one, 0 if it is
	// not: the time that hysteresis and hold-down count from.
	steadySince monotonic.Instant
	// soundSince is since when the leader's view is sound, 0 if it is not: one that was cut
	// off needs time to hear the machines again.
	soundSince monotonic.Instant
	// someZoneHeard tells whether some zone is mostly heard.
	someZoneHeard bool
	flaps         int
	// darkAt is when it last got dark.
	darkAt    monotonic.Instant
	ramp      ramp
	incidents incidentLog
	displaced displacements
	starts    startTracker
	override  Override
	record    recordState
	// window is the window that is open while it returns, if any.
	window      *Window
	windowUntil time.Time
	events      []Transition
}

// newZone makes a zone that serves.
func newZone(name ids.Zone, policy *Policy, usual *startLatencies, now monotonic.Instant) *zone {
	z := &zone{name: name, policy: policy, usual: usual, now: now, since: now, starts: newStartTracker(), displaced: newDisplacements(policy)}
	z.record.jobLimit = maxRecordedJobs
	return z
}

// enter changes the condition.
func (z *zone) enter(c Condition, now monotonic.Instant, reason string) {
	z.events = append(z.events, Transition{Zone: z.name, From: z.condition, To: c, Step: z.ramp.step, Reason: reason})
	z.incidents.addTime(z.condition, now.Sub(z.since))
	// A suspicion is not recorded: a successor forms its own.
	if c != Suspect && (z.condition != Suspect || c != z.resume) {
		z.record.dirty = true
	}
	z.condition, z.since, z.reason, z.steadySince, z.window = c, now, reason, 0, nil
}

// enterStep changes the ramp's step.
func (z *zone) enterStep(step int, now monotonic.Instant, reason string) {
	z.ramp.enter(step, now)
	z.reason = reason
	z.events = append(z.events, Transition{Zone: z.name, From: z.condition, To: z.condition, Step: z.ramp.step, Reason: reason})
	z.record.dirty = true
}

// silentShare is the part of the zone's machines that is lost, without those that were so
// when the return began.
func (z *zone) silentShare() float64 {
	lost, known := z.evidence.lost()-z.absent, z.evidence.Machines-z.absent
	if known <= 0 {
		return 0
	}
	return float64(max(0, lost)) / float64(known)
}

// observe takes in the evidence and moves on as time and evidence call for.
func (z *zone) observe(at ClockReading, e ZoneHealth, view Connectivity, someZoneHeard bool) {
	z.sinceObserved = max(0, at.Now.Sub(z.now))
	z.evidence, z.now = e, at.Now
	z.absent = min(z.absent, e.lost())
	z.expireOverride(at)
	z.someZoneHeard = someZoneHeard
	z.noteView(at.Now, view.reliable() && someZoneHeard)
	if view.ProcessResumed {
		// What came meanwhile is still to be read, so no silence counts.
		z.steadySince = 0
		return
	}
	switch z.condition {
	case Serving:
		z.observeServing(at)
	case Suspect:
		z.observeSuspect(at)
	case Outage:
		z.observeDark(at)
	case Recovering:
		z.observeReturning(at)
	}
}

// becomesSuspect tells whether so many machines are silent that the zone is suspect.
func (z *zone) becomesSuspect() bool {
	return z.someZoneHeard && z.evidence.Machines >= z.policy.MinMachines && z.silentShare() >= z.policy.SuspectShare
}

func (z *zone) observeServing(at ClockReading) {
	if z.becomesSuspect() {
		z.resume = Serving
		z.enter(Suspect, at.Now, z.evidence.String())
		return
	}
	if z.flaps > 0 && at.Now > z.since.Add(z.policy.QuietPeriod) {
		z.flaps = 0
		z.displaced.clear()
		z.incidents.close()
		z.record.dirty = true
	}
}

// noteView notes whether the leader's view is sound.
func (z *zone) noteView(now monotonic.Instant, sound bool) {
	switch {
	case !sound:
		z.soundSince = 0
	case z.soundSince == 0:
		z.soundSince = now
	}
}

func (z *zone) observeSuspect(at ClockReading) {
	share := z.silentShare()
	if z.evidence.Machines == 0 {
		share = 1 // all that it had was given up
	}
	if share < z.policy.SuspectShare/2 {
		if z.steadySince == 0 {
			z.steadySince = at.Now
		}
		if at.Now >= z.steadySince.Add(z.policy.ClearSuspicionAfter) {
			z.endSuspicion(at)
		}
		return
	}
	z.steadySince = 0
	wait := z.policy.OutageAfter
	if z.evidence.CapacityRefused {
		wait /= 2 // the cloud has trouble there too
	}
	if z.soundSince != 0 && share >= z.policy.OutageShare && at.Now >= max(z.since, z.soundSince).Add(wait) {
		z.becomeDark(at)
	}
}

// endSuspicion goes back to what the zone was before. A return that was in trouble loses a
// step.
func (z *zone) endSuspicion(at ClockReading) {
	resume := z.resume
	z.enter(resume, at.Now, "heard again: "+z.evidence.String())
	if resume == Recovering {
		z.setBack(at.Now, "machines fell silent")
	}
}

// becomeDark begins a spell of the present incident, or a new incident.
func (z *zone) becomeDark(at ClockReading) {
	z.flaps++
	z.darkAt = at.Now
	if z.resume == Serving {
		z.machinesBefore = max(z.evidence.Machines, 1)
	}
	z.absent = 0
	z.incidents.beginOutage(at, z.machinesBefore)
	z.enter(Outage, at.Now, z.evidence.String())
}

func (z *zone) observeDark(at ClockReading) {
	heard := z.evidence.Reachable >= 1 && float64(z.evidence.Reachable) >= z.policy.ReachableShare*float64(z.evidence.Machines)
	switch {
	case heard && z.steadySince == 0:
		z.steadySince = at.Now
	case heard && at.Now >= z.steadySince.Add(z.policy.holdDown(z.flaps)):
		z.beginReturn(at, "heard for the hold-down: "+z.evidence.String())
	case !heard:
		z.steadySince = 0
		if at.Now >= z.since.Add(z.policy.RetryAfter) {
			z.beginReturn(at, "tried again: "+z.evidence.String())
		}
	}
}

// beginReturn begins the ramp with the probe.
func (z *zone) beginReturn(at ClockReading, reason string) {
	z.absent = z.evidence.lost()
	z.ramp.began = at.Now
	z.ramp.setbacks = 0
	z.ramp.enter(0, at.Now)
	z.enter(Recovering, at.Now, reason)
}

func (z *zone) observeReturning(at ClockReading) {
	if z.becomesSuspect() {
		z.resume = Recovering
		z.enter(Suspect, at.Now, z.evidence.String())
		return
	}
	z.updateWindow(at)
	if z.window != nil {
		// The operators chose to wait. The time for the return counts from its end.
		z.ramp.began, z.ramp.stepSince = at.Now, at.Now
		return
	}
	if !z.record.holds(Recovering, z.ramp.step) {
		// Nothing may be proved by a step that is not recorded. Without the state service
		// the return stands still, or it would be over unproven once the service is back.
		z.ramp.standStill(z.sinceObserved)
		return
	}
	switch {
	case at.Now >= z.ramp.began.Add(z.policy.MaxRecovery):
		z.serve(at, "the return took its time")
	case z.ramp.startTimes.slowerThan(z.usual, z.policy.SlowStartFactor):
		z.setBack(at.Now, "starts are slow")
	case at.Now < z.ramp.stepSince.Add(z.policy.MinStepTime):
	case z.ramp.lacksProbes():
		z.ramp.relaxed = true
	case z.ramp.failing(z.policy.FailureTolerance):
		z.setBack(at.Now, fmt.Sprintf("%d of %d starts failed", z.ramp.failed, z.ramp.failed+z.ramp.succeeded))
	case z.ramp.proven(z.policy.MinStepSuccesses, z.starts.limited):
		z.advance(at)
	}
}

// serve ends the return.
func (z *zone) serve(at ClockReading, reason string) {
	z.enter(Serving, at.Now, reason)
	z.incidents.beginServing(at)
}

// setBack takes a step back.
func (z *zone) setBack(now monotonic.Instant, reason string) {
	z.ramp.setbacks++
	z.incidents.update(func(i *Incident) { i.Setbacks++ })
	z.enterStep(z.ramp.step-1, now, reason)
}

// advance goes on to the next step, or ends the return after the last. In the last the zone
// has its full share, still of starts and fetches under way: it ends once nothing had to be
// turned away, or all that waited would come in one rush after all.
func (z *zone) advance(at ClockReading) {
	now := at.Now
	last := z.ramp.step >= z.policy.lastStep()
	switch {
	case last && !z.ramp.denied:
		z.serve(at, "its work succeeds, and none waits for it")
		return
	case last:
		z.ramp.enter(z.ramp.step, now)
		return
	}
	z.enterStep(z.ramp.step+1, now, fmt.Sprintf("%d starts succeeded", z.ramp.succeeded))
}

// updateWindow notes the window that is open now.
func (z *zone) updateWindow(at ClockReading) {
	was := z.window
	z.window, z.windowUntil = z.policy.openWindow(z.name, at.Wall)
	if z.window != nil && z.window != was {
		z.events = append(z.events, Transition{Zone: z.name, From: z.condition, To: z.condition, Step: z.ramp.step,
			Reason: fmt.Sprintf("window %s until %s", z.window.Name, z.windowUntil.Format("2006-01-02 15:04 MST"))})
	}
}

// interesting tells whether there is anything about the zone that a successor must know.
func (z *zone) interesting() bool {
	return z.recordable() != Serving || z.flaps > 0 || z.override.Kind != OverrideNone || len(z.incidents.past) > 0
}

// recordable is the condition that is recorded: a suspect zone's is the one before.
func (z *zone) recordable() Condition {
	if z.condition == Suspect {
		return z.resume
	}
	return z.condition
}
