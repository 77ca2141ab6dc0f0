package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Heartbeat takes a worker's report and returns the answer. Direct marks reports
// that came as answers to direct commands: they renew no lease. ok is false if
// this leader must not answer.
func (c *Core) Heartbeat(now monotonic.Instant, rep *wire.Heartbeat, direct bool) (answer wire.HeartbeatResponse, ok bool) {
	c.clock.Advance(now)
	if rep.FencingToken.Revision() > c.opt.Revision {
		c.superseded = true
		return wire.HeartbeatResponse{}, false
	}
	if c.cluster.WasRemoved(rep.Machine) {
		// A message that was held back; the machine was given back since.
		return wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(c.opt.Revision, 0), Commands: []wire.Command{}}, !c.restrictedToReplicas
	}
	m := c.cluster.EnsureMachine(rep.Machine)
	if m.Agent.Reported && !rep.Newer(m.Agent.Incarnation, m.Agent.Sequence) {
		// A copy of what was seen, or a message that a newer one overtook. It
		// is no sign of life and tells nothing. Its worker may still wait for
		// the answer: that renews the lease from when the message was sent,
		// which is before the newest came.
		if !direct && !c.mayAnswer(m) {
			return wire.HeartbeatResponse{}, false
		}
		if !direct {
			m.Agent.AnsweredAt = max(m.Agent.AnsweredAt, m.Agent.LastHeard)
		}
		return wire.HeartbeatResponse{FencingToken: c.commands.tokenOf(m), Commands: []wire.Command{}}, true
	}
	c.registry.setSite(m, placement.Site{Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}, rep.Endpoint)
	c.health.updateReachability(m, rep, direct)
	if now > m.Agent.LastHeard.Add(c.opt.HeartbeatInterval) {
		if !c.health.usable(m) { // it may be from here on
			c.rounds.MarkDue()
		}
	}
	m.Agent.LastHeard = now
	c.health.lastHeard = now
	z := c.health.zoneStates[rep.Zone]
	if z == nil {
		z = &zoneState{}
		c.health.zoneStates[rep.Zone] = z
	}
	z.lastHeard = now
	m.Commands.CallFailed = false
	c.applyReport(m, rep)
	c.commands.queueCommands(m)
	if direct {
		m.Agent.AnsweredCall = true
		return wire.HeartbeatResponse{}, true
	}
	if !c.mayAnswer(m) {
		return wire.HeartbeatResponse{}, false
	}
	m.Agent.AnsweredAt = now
	return c.commands.answerReport(m), true
}

// applyReport takes in a report that is newer than all before it.
func (c *Core) applyReport(m *cluster.Machine, rep *wire.Heartbeat) {
	if !m.Agent.Reported {
		m.Agent.Reported = true
		m.Lifecycle.IdleSince = c.clock.Now()
		c.autoscaler.recordBoot(m)
		c.rounds.MarkDue()
	}
	m.Agent.Incarnation, m.Agent.Sequence = rep.Incarnation, rep.Sequence
	m.Agent.FencingToken = max(m.Agent.FencingToken, rep.FencingToken)
	if !m.Agent.Fenced && rep.FencingToken >= ids.NewFencingToken(c.opt.Revision, 0) {
		m.Agent.Fenced, m.Agent.FencedAt = true, c.clock.Now()
	}
	if rep.SpotNoticeS != nil {
		if m.Health.SpotReclaimAt == 0 {
			c.rounds.MarkDue()
			c.health.healthCheckDue = true
			c.autoscaler.spotLosses++
		}
		m.Health.SpotReclaimAt = c.clock.Now().Add(monotonic.Seconds(*rep.SpotNoticeS))
	}
	m.Agent.ReportedTasks = m.Agent.ReportedTasks[:0]
	for _, t := range rep.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.Agent.ReportedTasks = append(m.Agent.ReportedTasks, cluster.ReportedTask{Ref: ref, Attempt: t.Attempt, State: t.State, Cause: t.Cause})
		}
	}
	for _, a := range m.AssignmentsSnapshot() {
		s := m.FindReported(a.Ref(), a.Attempt)
		switch {
		case s == nil:
			c.handleMissingTask(a)
		case s.State == wire.TaskEnded:
			c.handleEndedTask(a, s.Cause)
		default:
			c.handleActiveTask(a, s)
		}
	}
	c.cluster.CountUnrecorded(m)
}

// handleMissingTask handles a recorded task that the newest report does not show.
func (c *Core) handleMissingTask(a *cluster.Assignment) {
	m := a.Machine
	switch {
	case !a.MayRun():
		// Not sent yet.
	case a.Delivery.Sent && m.Agent.Incarnation > a.Delivery.Incarnation,
		// The worker's lease ran out since; it forgot all its tasks, and the
		// new session takes no command meant for the old one.
		m.Agent.FencingToken > a.Delivery.Token:
		// Whatever carried run under a lower token can have no effect now.
		if a.Delivery.Sent && !a.Delivery.Inherited && a.StopReason() == cluster.StopNone && m.Agent.Incarnation == a.Delivery.Incarnation && !a.Delivery.Seen {
			// Only the message was voided. The place still stands, and the
			// same attempt goes out again.
			a.Delivery.Sent = false
			return
		}
		c.zones.lost(a)
		c.lifecycle.release(a)
	case a.Delivery.Seen && a.StopReason() == cluster.StopNone:
		// A worker keeps what it has until reap. Should one vanish all the
		// same, it is not started elsewhere before old commands are void.
		c.lifecycle.stop(a, cluster.StopDrained)
	}
}

// handleActiveTask handles a recorded task that the newest report shows before its end.
func (c *Core) handleActiveTask(a *cluster.Assignment, s *cluster.ReportedTask) {
	a.Delivery.Seen = true
	if !a.Delivery.Sent {
		// Inherited: it surely runs here now, and newer tokens speak for it.
		a.Delivery.Sent, a.Delivery.Inherited = true, false
		a.Delivery.Incarnation = a.Machine.Agent.Incarnation
	}
	if a.Run.Phase != s.State {
		a.Run.Phase = s.State
		a.Run.PhaseSince, a.Run.PausedBefore = c.clock.Now(), c.clock.TotalPause()
		if s.State == wire.TaskRunning {
			c.cluster.RecordImage(a.Machine, a.Job.Spec)
			c.zones.running(a)
		}
	}
}

// handleEndedTask handles a recorded task that the newest report shows as ended.
func (c *Core) handleEndedTask(a *cluster.Assignment, cause wire.ExitCause) {
	m, j := a.Machine, a.Job
	if im := m.Image(j.Spec.Image); im != nil {
		im.UsedAt = c.clock.Now()
	}
	switch cause {
	case wire.CauseDone:
		c.zones.running(a) // it did, if only between two reports
		c.lifecycle.complete(a)
		return
	case wire.CauseError:
		c.failures.recordFailure(a)
	case wire.CauseFull:
		// Our view of the machine was wrong; give it a moment.
		c.failures.addAntiAffinity(j, m)
	case wire.CauseInUse:
		c.failures.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.Queue.RetryAt = c.clock.Now().Add(2 * time.Second)
	}
	c.lifecycle.release(a)
}
