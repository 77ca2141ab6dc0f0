package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// commandQueue decides what each worker is told, in the answer to its report or by a
// direct call, and under which token.
type commandQueue struct {
	core *Core
	// queuedMachines are those to which a command may have to go.
	queuedMachines []*machine
	// callsInFlight is how many calls to workers are under way.
	callsInFlight int
}

// maxCommands keeps answers inside the protocol's limit for bodies.
const maxCommands = 300

// tokenOf is the token that commands to a worker carry now.
func (q *commandQueue) tokenOf(m *machine) ids.FencingToken {
	return ids.NewFencingToken(q.core.opt.Revision, m.counter)
}

// answerReport makes the answer to a report: what to end, what to reap, what to start.
func (q *commandQueue) answerReport(m *machine) wire.HeartbeatResponse {
	orders := q.killCommands(m)
	if !m.callInFlight {
		var reaps []wire.Command
		for i := range m.reportedTasks {
			if s := &m.reportedTasks[i]; s.state == wire.TaskEnded && q.canReap(m, s) && len(reaps) < maxCommands/2 {
				reaps = append(reaps, wire.Command{Verb: wire.VerbReap, Name: s.ref.String(), Attempt: s.attempt})
			}
		}
		// After reap the worker would start the attempt again if a direct run
		// for it came late or twice. So reap goes out under a token above
		// every one that a direct run carried.
		if len(reaps) > 0 && m.directRunToken >= q.tokenOf(m) {
			m.counter++
		}
		orders = append(orders, reaps...)
	}
	runs := q.runCommands(m, true, maxCommands-len(orders))
	return wire.HeartbeatResponse{FencingToken: q.tokenOf(m), Commands: append(orders, runs...)}
}

// killCommands lists what must end on a machine. It also raises the token's counter if
// the message that would start a stopped task may still be under way.
func (q *commandQueue) killCommands(m *machine) []wire.Command {
	orders := []wire.Command{}
	for _, a := range m.taskList {
		if a.stopReason == stopNone || !a.mayRun() {
			continue
		}
		s := m.findReported(a.ref(), a.attempt)
		if s == nil && !a.inherited && a.sentToken >= q.tokenOf(m) && !m.callInFlight {
			m.counter++
		}
		if len(orders) >= maxCommands/2 {
			continue
		}
		grace := a.graceS
		if a.killSentAt != 0 && q.core.now > a.killSentAt.Add(monotonic.Seconds(a.graceS)) {
			grace = 0
		}
		if a.killSentAt == 0 {
			a.killSentAt = q.core.now
		}
		orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: a.ref().String(), Attempt: a.attempt, GraceS: grace})
	}
	for i := range m.reportedTasks {
		s := &m.reportedTasks[i]
		if s.state == wire.TaskEnded || len(orders) >= maxCommands/2 {
			continue
		}
		if a := m.tasks[s.ref]; a == nil || a.attempt != s.attempt {
			orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: s.ref.String(), Attempt: s.attempt})
		}
	}
	return orders
}

// runCommands lists what should start on a machine and was not seen there. With again it
// also repeats what was sent before.
func (q *commandQueue) runCommands(m *machine, again bool, most int) []wire.Command {
	var orders []wire.Command
	if m.returning {
		return orders
	}
	token := q.tokenOf(m)
	for _, a := range m.taskList {
		if !a.recorded || a.stopReason != stopNone || a.inherited || a.seen || a.sent && !again || len(orders) >= most {
			continue
		}
		if m.findReported(a.ref(), a.attempt) != nil {
			continue
		}
		if !a.sent {
			a.sentAt = q.core.now
		}
		a.sent = true
		a.sentToken = max(a.sentToken, token)
		a.sentSession = m.session
		orders = append(orders, wire.Command{Verb: wire.VerbRun, Name: a.ref().String(), Attempt: a.attempt})
	}
	return orders
}

// canReap tells whether the end of an attempt is recorded, or has no consequence.
func (q *commandQueue) canReap(m *machine, s *reportedTask) bool {
	if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
		return false
	}
	j := q.core.jobs[s.ref.Job]
	if j == nil || j.status != wire.JobQueued {
		return true
	}
	if j.completing || q.core.records.completable[j] || s.ref.Index >= len(j.tasks) {
		return false
	}
	sl := j.tasks[s.ref.Index].slice
	return !sl.dirty && !sl.inFlight
}
