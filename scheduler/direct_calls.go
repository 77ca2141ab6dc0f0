package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// queueCommands notes that a command may have to go to a machine. Only such machines are
// looked at: with a thousand machines, looking at all of them after every event takes too
// much of a node's processor.
func (q *commandQueue) queueCommands(m *cluster.Machine) {
	if !m.Commands.Queued {
		m.Commands.Queued = true
		q.queuedMachines = append(q.queuedMachines, m)
	}
}

// dispatchCommands lists the workers that should be called now, those that have waited
// longest first. After a takeover or a partition hundreds wait while events keep coming,
// so a step does little work here.
func (q *commandQueue) dispatchCommands() {
	room := q.core.opt.MaxWorkerCalls - q.callsInFlight
	if q.core.opt.MaxWorkerCalls <= 0 {
		room = len(q.queuedMachines)
	}
	left := q.queuedMachines[:0]
	for _, m := range q.queuedMachines {
		if m.Commands.Queued = q.dispatchTo(m, &room); m.Commands.Queued {
			left = append(left, m)
		}
	}
	clear(q.queuedMachines[len(left):])
	q.queuedMachines = left
}

// dispatchTo sends what should go to a machine now, if another call is allowed. It tells
// whether the machine stays in the queue; otherwise whatever changes queues it again.
func (q *commandQueue) dispatchTo(m *cluster.Machine, room *int) bool {
	switch {
	case q.core.cluster.Machine(m.ID) != m || m.Lifecycle.Terminating || m.Endpoint() == "":
		return false
	case !m.Agent.Reported:
		if !q.needsReportRequest(m) {
			return false
		}
		if *room <= 0 {
			return true
		}
		m.Commands.HeartbeatRequested, m.Commands.RequestHeartbeatAt = true, q.core.clock.Now().Add(2*time.Second)
		q.callsInFlight++
		*room--
		q.core.decisions.RequestHeartbeats = append(q.core.decisions.RequestHeartbeats, m.ID)
		return false
	case m.Commands.CallInFlight || m.Commands.CallFailed:
		return false
	case q.core.clock.Now() < m.Commands.CallRetryAt:
		return true
	case !q.needsDirectCommand(m):
		return q.needsFencing(m)
	case *room <= 0:
		return true
	}
	*room--
	q.core.decisions.SendCommands = append(q.core.decisions.SendCommands, m.ID)
	return false
}

// needsReportRequest tells whether a machine that a predecessor left should be asked for
// its report now. After a change of leaders its worker's session is not known,
// and it may take seconds until it finds its way here. A predecessor that lost
// the state service and us, but not its workers, keeps them from coming; one
// that was told of us makes it give up.
func (q *commandQueue) needsReportRequest(m *cluster.Machine) bool {
	return !m.Agent.Reported && !m.Commands.HeartbeatRequested && q.core.clock.Now() >= m.Commands.RequestHeartbeatAt && !m.Lifecycle.Terminating && m.Endpoint() != "" &&
		(len(m.Assignments()) > 0 || m.Lifecycle.ListedStatus == wire.MachineRunning && !m.Lifecycle.RentedThisTerm)
}

// needsFencing tells whether a machine has yet to show a token of this leader. The
// answer to its report brings it one; who does not report here must be told.
func (q *commandQueue) needsFencing(m *cluster.Machine) bool {
	return !m.Agent.Fenced && len(m.Assignments()) > 0
}

// needsDirectCommand tells whether a machine must be told something before its next
// report.
func (q *commandQueue) needsDirectCommand(m *cluster.Machine) bool {
	if q.needsFencing(m) && (m.Agent.AnsweredAt == 0 || q.core.clock.Now() > m.Agent.AnsweredAt.Add(q.core.opt.HeartbeatInterval)) {
		return true
	}
	for _, a := range m.Assignments() {
		if a.Record.Committed && !a.Delivery.Sent && !a.Delivery.Inherited && a.StopReason() == cluster.StopNone {
			return true
		}
		if a.StopReason() != cluster.StopNone && a.MayRun() && a.Delivery.KillSentAt == 0 {
			return true
		}
	}
	return false
}

// TakeCommands hands out the command that should go to a worker now. It must be
// followed by CommandsResult.
func (c *Core) TakeCommands(now monotonic.Instant, h ids.MachineID) (d wire.CommandBatch, endpoint string, ok bool) {
	c.clock.Set(now)
	return c.commands.takeDirect(h)
}

// takeDirect makes the command for a worker and counts the call as under way.
func (q *commandQueue) takeDirect(h ids.MachineID) (d wire.CommandBatch, endpoint string, ok bool) {
	m := q.core.cluster.Machine(h)
	if m == nil || m.Commands.CallInFlight || !m.Agent.Reported || m.Lifecycle.Terminating {
		return wire.CommandBatch{}, "", false
	}
	orders := q.killCommands(m)
	token := q.tokenOf(m)
	if runs := q.runCommands(m, false, maxCommands-len(orders)); len(runs) > 0 {
		orders = append(orders, runs...)
		m.Commands.DirectRunToken = max(m.Commands.DirectRunToken, token)
	}
	m.Commands.CallInFlight = true
	q.callsInFlight++
	return wire.CommandBatch{FencingToken: token, Incarnation: m.Agent.Incarnation, Commands: orders}, m.Endpoint(), true
}

// CommandsResult takes the answer to a direct command, or its absence. Without
// one, the command may still be carried out; the tokens see to that.
func (c *Core) CommandsResult(now monotonic.Instant, h ids.MachineID, rep *wire.Heartbeat) {
	c.clock.Set(now)
	c.commands.directResult(h, rep)
}

// directResult ends a call to a worker; rep is nil if it was not answered.
func (q *commandQueue) directResult(h ids.MachineID, rep *wire.Heartbeat) {
	m := q.endCall(h)
	if m == nil {
		return
	}
	m.Commands.CallInFlight = false
	if rep == nil {
		m.Commands.CallRetryAt = q.core.clock.Now().Add(time.Second)
		m.Commands.CallFailed = true
		return
	}
	q.takeAnswer(m, rep)
}

// endCall counts a call to a worker as ended, and looks at its machine again. It returns nil
// if the machine is gone.
func (q *commandQueue) endCall(h ids.MachineID) *cluster.Machine {
	q.callsInFlight--
	m := q.core.cluster.Machine(h)
	if m != nil {
		q.queueCommands(m)
	}
	return m
}

// takeAnswer takes in the report with which a worker answered a call, unless another machine
// has its address now.
func (q *commandQueue) takeAnswer(m *cluster.Machine, rep *wire.Heartbeat) {
	if rep.Machine == m.ID {
		q.core.HeartbeatFromCall(q.core.clock.Now(), rep)
	}
}

// HeartbeatRequestResult takes the answer to a request for a report, or nil.
func (c *Core) HeartbeatRequestResult(now monotonic.Instant, h ids.MachineID, rep *wire.Heartbeat) {
	c.clock.Set(now)
	c.commands.showResult(h, rep)
}

// showResult ends a request for a report; rep is nil if it was not answered.
func (q *commandQueue) showResult(h ids.MachineID, rep *wire.Heartbeat) {
	m := q.endCall(h)
	if m == nil {
		return
	}
	m.Commands.HeartbeatRequested = false
	if rep != nil {
		q.takeAnswer(m, rep)
	}
}
