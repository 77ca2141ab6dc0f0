package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// commandQueue decides what each worker is told, in the answer to its report or by a
// direct call, and under which token.
type commandQueue struct {
	core *Core
	// queuedMachines are those to which a command may have to go.
	queuedMachines []*cluster.Machine
	// callsInFlight is how many calls to workers are under way.
	callsInFlight int
}

// maxCommands keeps answers inside the protocol's limit for bodies.
const maxCommands = 300

// tokenOf is the token that commands to a worker carry now.
func (q *commandQueue) tokenOf(m *cluster.Machine) ids.FencingToken {
	return ids.NewFencingToken(q.core.opt.Revision, m.Commands.TokenCounter)
}

// raiseToken has commands to a machine carry a higher token from now on.
func (*commandQueue) raiseToken(m *cluster.Machine) { m.Commands.TokenCounter++ }

// answerReport makes the answer to a report: what to end, what to reap, what to start.
func (q *commandQueue) answerReport(m *cluster.Machine) wire.HeartbeatResponse {
	orders := q.killCommands(m)
	if !m.Commands.CallInFlight {
		var reaps []wire.Command
		for i := range m.Agent.ReportedTasks {
			if s := &m.Agent.ReportedTasks[i]; s.State == wire.TaskEnded && q.canReap(m, s) && len(reaps) < maxCommands/2 {
				reaps = append(reaps, wire.Command{Verb: wire.VerbReap, Name: s.Ref.String(), Attempt: s.Attempt})
			}
		}
		// After reap the worker would start the attempt again if a direct run
		// for it came late or twice. So reap goes out under a token above
		// every one that a direct run carried.
		if len(reaps) > 0 && m.Commands.DirectRunToken >= q.tokenOf(m) {
			m.Commands.TokenCounter++
		}
		orders = append(orders, reaps...)
	}
	runs := q.runCommands(m, true, maxCommands-len(orders))
	return wire.HeartbeatResponse{FencingToken: q.tokenOf(m), Commands: append(orders, runs...)}
}

// killCommands lists what must end on a machine. It also raises the token's counter if
// the message that would start a stopped task may still be under way.
func (q *commandQueue) killCommands(m *cluster.Machine) []wire.Command {
	orders := []wire.Command{}
	for _, a := range m.Assignments() {
		if a.StopReason() == cluster.StopNone || !a.MayRun() {
			continue
		}
		s := m.FindReported(a.Ref(), a.Attempt)
		if s == nil && !a.Delivery.Inherited && a.Delivery.Token >= q.tokenOf(m) && !m.Commands.CallInFlight {
			m.Commands.TokenCounter++
		}
		if len(orders) >= maxCommands/2 {
			continue
		}
		grace := a.Delivery.KillGraceS
		if a.Delivery.KillSentAt != 0 && q.core.clock.Now() > a.Delivery.KillSentAt.Add(monotonic.Seconds(a.Delivery.KillGraceS)) {
			grace = 0
		}
		if a.Delivery.KillSentAt == 0 {
			a.Delivery.KillSentAt = q.core.clock.Now()
		}
		orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: a.Ref().String(), Attempt: a.Attempt, GraceS: grace})
	}
	for i := range m.Agent.ReportedTasks {
		s := &m.Agent.ReportedTasks[i]
		if s.State == wire.TaskEnded || len(orders) >= maxCommands/2 {
			continue
		}
		if a := m.Assignment(s.Ref); a == nil || a.Attempt != s.Attempt {
			orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: s.Ref.String(), Attempt: s.Attempt})
		}
	}
	return orders
}

// runCommands lists what should start on a machine and was not seen there. With again it
// also repeats what was sent before.
func (q *commandQueue) runCommands(m *cluster.Machine, again bool, most int) []wire.Command {
	var orders []wire.Command
	if m.Lifecycle.Terminating {
		return orders
	}
	token := q.tokenOf(m)
	for _, a := range m.Assignments() {
		if !a.Record.Committed || a.StopReason() != cluster.StopNone || a.Delivery.Inherited || a.Delivery.Seen || a.Delivery.Sent && !again || len(orders) >= most {
			continue
		}
		if m.FindReported(a.Ref(), a.Attempt) != nil {
			continue
		}
		if !a.Delivery.Sent {
			a.Delivery.SentAt = q.core.clock.Now()
		}
		a.Delivery.Sent = true
		a.Delivery.Token = max(a.Delivery.Token, token)
		a.Delivery.Incarnation = m.Agent.Incarnation
		orders = append(orders, wire.Command{Verb: wire.VerbRun, Name: a.Ref().String(), Attempt: a.Attempt})
	}
	return orders
}

// canReap tells whether the end of an attempt is recorded, or has no consequence.
func (q *commandQueue) canReap(m *cluster.Machine, s *cluster.ReportedTask) bool {
	if a := m.Assignment(s.Ref); a != nil && a.Attempt == s.Attempt {
		return false
	}
	j := q.core.cluster.Job(s.Ref.Job)
	if j == nil || j.Status() != wire.JobQueued {
		return true
	}
	if j.Records.Completing || q.core.records.completable[j] || s.Ref.Index >= len(j.Tasks()) {
		return false
	}
	sl := j.Task(s.Ref.Index).Slice()
	return !sl.Dirty && !sl.InFlight
}
