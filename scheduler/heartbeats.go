package scheduler

import (
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Heartbeat takes a worker's report and returns the answer. Direct marks reports
// that came as answers to direct commands: they renew no lease. ok is false if
// this leader must not answer.
func (c *Core) Heartbeat(now monotonic.Instant, rep *wire.Heartbeat, direct bool) (answer wire.HeartbeatResponse, ok bool) {
	c.advance(now)
	if rep.FencingToken.Revision() > c.opt.Revision {
		c.superseded = true
		return wire.HeartbeatResponse{}, false
	}
	if c.registry.returnedHosts[rep.Machine] {
		// A message that was held back; the machine was given back since.
		return wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(c.opt.Revision, 0), Commands: []wire.Command{}}, !c.restrictedToReplicas
	}
	m := c.registry.ensureMachine(rep.Machine)
	if m.reported && !rep.Newer(m.session, m.sequence) {
		// A copy of what was seen, or a message that a newer one overtook. It
		// is no sign of life and tells nothing. Its worker may still wait for
		// the answer: that renews the lease from when the message was sent,
		// which is before the newest came.
		if !direct && !c.mayAnswer(m) {
			return wire.HeartbeatResponse{}, false
		}
		if !direct {
			m.answeredAt = max(m.answeredAt, m.lastHeard)
		}
		return wire.HeartbeatResponse{FencingToken: c.commands.tokenOf(m), Commands: []wire.Command{}}, true
	}
	c.registry.setSite(m, placement.Site{Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}, rep.Endpoint)
	c.health.updateReachability(m, rep, direct)
	if now > m.lastHeard.Add(c.opt.HeartbeatInterval) {
		c.schedulingDue = c.schedulingDue || !c.health.usable(m) // it may be from here on
	}
	m.lastHeard = now
	c.health.lastHeard = now
	z := c.health.zoneStates[rep.Zone]
	if z == nil {
		z = &zoneState{}
		c.health.zoneStates[rep.Zone] = z
	}
	z.lastHeard = now
	m.callFailed = false
	c.applyReport(m, rep)
	c.commands.queueCommands(m)
	if direct {
		m.answeredCall = true
		return wire.HeartbeatResponse{}, true
	}
	if !c.mayAnswer(m) {
		return wire.HeartbeatResponse{}, false
	}
	m.answeredAt = now
	return c.commands.answerReport(m), true
}

// applyReport takes in a report that is newer than all before it.
func (c *Core) applyReport(m *machine, rep *wire.Heartbeat) {
	if !m.reported {
		m.reported = true
		m.idleSince = c.now
		c.autoscaler.recordBoot(m)
		c.schedulingDue = true
	}
	m.session, m.sequence = rep.Incarnation, rep.Sequence
	m.token = max(m.token, rep.FencingToken)
	if !m.fenced && rep.FencingToken >= ids.NewFencingToken(c.opt.Revision, 0) {
		m.fenced, m.fencedAt = true, c.now
	}
	if rep.SpotNoticeS != nil {
		if m.takenBy == 0 {
			c.schedulingDue, c.health.healthCheckDue = true, true
			c.autoscaler.spotLosses++
		}
		m.takenBy = c.now.Add(monotonic.Seconds(*rep.SpotNoticeS))
	}
	m.reportedTasks = m.reportedTasks[:0]
	for _, t := range rep.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.reportedTasks = append(m.reportedTasks, reportedTask{ref, t.Attempt, t.State, t.Cause})
		}
	}
	for _, a := range m.tasksSnapshot() {
		s := m.findReported(a.ref(), a.attempt)
		switch {
		case s == nil:
			c.handleMissingTask(a)
		case s.state == wire.TaskEnded:
			c.handleEndedTask(a, s.cause)
		default:
			c.handleActiveTask(a, s)
		}
	}
	c.countUnrecorded(m)
}

// handleMissingTask handles a recorded task that the newest report does not show.
func (c *Core) handleMissingTask(a *assignment) {
	m := a.machine
	switch {
	case !a.mayRun():
		// Not sent yet.
	case a.sent && m.session > a.sentSession,
		// The worker's lease ran out since; it forgot all its tasks, and the
		// new session takes no command meant for the old one.
		m.token > a.sentToken:
		// Whatever carried run under a lower token can have no effect now.
		if a.sent && !a.inherited && a.stopReason == stopNone && m.session == a.sentSession && !a.seen {
			// Only the message was voided. The place still stands, and the
			// same attempt goes out again.
			a.sent = false
			return
		}
		c.zones.lost(a)
		c.release(a)
	case a.seen && a.stopReason == stopNone:
		// A worker keeps what it has until reap. Should one vanish all the
		// same, it is not started elsewhere before old commands are void.
		c.stopTask(a, stopDrained)
	}
}

// handleActiveTask handles a recorded task that the newest report shows before its end.
func (c *Core) handleActiveTask(a *assignment, s *reportedTask) {
	a.seen = true
	if !a.sent {
		// Inherited: it surely runs here now, and newer tokens speak for it.
		a.sent, a.inherited = true, false
		a.sentSession = a.machine.session
	}
	if a.phase != s.state {
		a.phase = s.state
		a.phaseSince, a.pausedBefore = c.now, c.totalPause
		if s.state == wire.TaskRunning {
			c.recordImage(a)
			c.zones.running(a)
		}
	}
}

// handleEndedTask handles a recorded task that the newest report shows as ended.
func (c *Core) handleEndedTask(a *assignment, cause wire.ExitCause) {
	m, j := a.machine, a.job
	if im := m.images[j.spec.Image]; im != nil {
		im.usedAt = c.now
	}
	switch cause {
	case wire.CauseDone:
		c.zones.running(a) // it did, if only between two reports
		c.completeTask(a)
		clear(m.failuresByJob)
		return
	case wire.CauseError:
		c.recordFailure(a)
	case wire.CauseFull:
		// Our view of the machine was wrong; give it a moment.
		c.addAntiAffinity(j, m)
	case wire.CauseInUse:
		c.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.retryAt = c.now.Add(2 * time.Second)
	}
	c.release(a)
}

// recordImage remembers that a machine holds a job's image, and forgets the
// images that the worker's cache has dropped for it.
func (c *Core) recordImage(a *assignment) {
	m := a.machine
	m.images[a.job.spec.Image] = &cachedImage{a.job.spec.ImageGB, c.now}
	if m.machineType == nil || m.machineType.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		sum += m.images[name].sizeGB
	}
	for sum > m.machineType.CacheGB && len(m.images) > 1 {
		var oldest ids.Image
		for name, im := range m.images {
			if o := m.images[oldest]; o == nil || im.usedAt < o.usedAt || im.usedAt == o.usedAt && name < oldest {
				oldest = name
			}
		}
		sum -= m.images[oldest].sizeGB
		delete(m.images, oldest)
	}
}

// countUnrecorded takes what a worker has beyond the records into account: its
// room on the machine and its team's quota.
func (c *Core) countUnrecorded(m *machine) {
	for _, j := range m.unrecordedJobs {
		c.quotas.Release(j.spec.Team, j.amount())
	}
	m.unrecordedJobs = m.unrecordedJobs[:0]
	m.unrecorded = placement.Resources{}
	for i := range m.reportedTasks {
		s := &m.reportedTasks[i]
		if s.state == wire.TaskEnded {
			continue
		}
		if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
			continue
		}
		if j := c.jobs[s.ref.Job]; j != nil {
			m.unrecorded = m.unrecorded.Plus(placement.TaskResources(j.spec))
			m.unrecordedJobs = append(m.unrecordedJobs, j)
			c.quotas.Charge(j.spec.Team, j.amount())
		}
	}
}
