package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// This file holds the part of heartbeatHandler that reconciles the tasks of a machine with its newest heartbeat.

// unknownTaskBackoff is how long a job is not admitted after an agent reported its task as unknown.
const unknownTaskBackoff = 2 * time.Second

// updateAssignments reconciles the machine's assignments with its newest heartbeat.
func (h *heartbeatHandler) updateAssignments(m *cluster.Machine) {
	for _, a := range m.AssignmentsSnapshot() {
		reported := m.FindReported(a.Ref(), a.Attempt)
		switch {
		case reported == nil:
			h.handleMissingTask(a)
		case reported.State == wire.TaskEnded:
			h.handleEndedTask(a, reported.Cause)
		default:
			h.handleActiveTask(a, reported)
		}
	}
}

// handleMissingTask handles an assignment whose task is missing from the newest heartbeat.
func (h *heartbeatHandler) handleMissingTask(a *cluster.Assignment) {
	switch {
	case !a.MayRun():
		// Not sent yet.
	case a.Delivery.Sent && a.Machine.Agent.Incarnation > a.Delivery.Incarnation,
		a.Machine.Agent.FencingToken > a.Delivery.Token:
		// A new incarnation means that the agent's lease has expired: the agent has dropped all
		// its tasks, and it rejects commands for the old incarnation. An agent with a higher
		// token rejects a run command that carries the lower one.
		if onlyCommandVoided(a) {
			// The assignment is kept, and the run command for the same attempt is sent again.
			a.Delivery.Sent = false
			return
		}
		h.zones.taskLost(a)
		h.lifecycle.release(a)
	case a.Delivery.Reported && a.StopReason() == cluster.StopNone:
		// An agent keeps a task until it gets a reap command. If a task is missing without
		// one, it is not started elsewhere until earlier commands are void.
		h.lifecycle.stop(a, cluster.StopDrained)
	}
}

// onlyCommandVoided reports whether the only event since the run command for an assignment was sent
// is that a higher fencing token voided the command. The agent has then never had the task.
func onlyCommandVoided(a *cluster.Assignment) bool {
	if !a.Delivery.Sent || a.Delivery.Inherited || a.Delivery.Reported {
		return false
	}
	return a.StopReason() == cluster.StopNone && a.Machine.Agent.Incarnation == a.Delivery.Incarnation
}

// handleActiveTask handles an assignment whose task the newest heartbeat reports as not ended.
func (h *heartbeatHandler) handleActiveTask(a *cluster.Assignment, reported *cluster.ReportedTask) {
	a.Delivery.Reported = true
	if !a.Delivery.Sent {
		// An inherited task is now known to be on this machine. Commands for it carry tokens of
		// this term.
		a.Delivery.Sent, a.Delivery.Inherited = true, false
		a.Delivery.Incarnation = a.Machine.Agent.Incarnation
	}
	if a.Run.Phase == reported.State {
		return
	}
	a.Run.Phase = reported.State
	a.Run.PhaseSince, a.Run.PausedBefore = h.clock.Now(), h.clock.TotalPause()
	if reported.State == wire.TaskRunning {
		h.cluster.RecordImage(a.Machine, a.Job.Spec)
		h.zones.taskRunning(a)
	}
}

// handleEndedTask handles an assignment whose task the newest heartbeat reports as ended.
func (h *heartbeatHandler) handleEndedTask(a *cluster.Assignment, cause wire.ExitCause) {
	m, j := a.Machine, a.Job
	h.cluster.TouchImage(m, j.Spec.Image)
	switch cause {
	case wire.CauseDone:
		h.zones.taskRunning(a) // no heartbeat reported it as running if it ran between two heartbeats
		h.lifecycle.complete(a)
		return
	case wire.CauseError:
		h.failures.recordFailure(a)
	case wire.CauseFull, wire.CauseInUse:
		// The recorded state of the machine is wrong. Anti-affinity makes the job prefer other
		// machines temporarily.
		h.failures.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.Queue.RetryAt = h.clock.Now().Add(unknownTaskBackoff)
	}
	// The task may now start elsewhere. An agent that restarts forgets that the attempt has ended, and
	// would start it again for a late duplicate of the call.
	h.commands.invalidateDirectRuns(m)
	h.lifecycle.release(a)
}
