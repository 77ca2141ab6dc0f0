package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// runCommands lists up to limit commands that start tasks on a machine. It repeats those that
// were sent before and have had no effect so far.
func (d *commandDispatcher) runCommands(m *cluster.Machine, limit int) []wire.Command {
	return d.sendRuns(m, unstartedTasks(m), limit)
}

// firstRunCommands lists up to limit commands that start tasks on a machine. It leaves out
// what was sent before.
func (d *commandDispatcher) firstRunCommands(m *cluster.Machine, limit int) []wire.Command {
	unsent := slices.DeleteFunc(unstartedTasks(m), func(a *cluster.Assignment) bool { return a.Delivery.Sent })
	return d.sendRuns(m, unsent, limit)
}

// mayBeSent tells whether a task may be started on its machine. One that a previous leader
// recorded is not: that leader may have sent it, and the agent may have ended it since.
func mayBeSent(a *cluster.Assignment) bool {
	return a.Record.Committed && a.StopReason() == cluster.StopNone && !a.Delivery.Inherited
}

// unstartedTasks lists the tasks that should start on a machine and were not seen there.
func unstartedTasks(m *cluster.Machine) []*cluster.Assignment {
	if m.Lifecycle.Terminating {
		return nil
	}
	var unstarted []*cluster.Assignment
	for _, a := range m.Assignments() {
		if !mayBeSent(a) || a.Delivery.Reported || m.FindReported(a.Ref(), a.Attempt) != nil {
			continue
		}
		unstarted = append(unstarted, a)
	}
	return unstarted
}

// sendRuns lists the commands that start the first tasks of a list, and notes on each task
// that it was sent.
func (d *commandDispatcher) sendRuns(m *cluster.Machine, tasks []*cluster.Assignment, limit int) []wire.Command {
	var commands []wire.Command
	token := d.tokenOf(m)
	for _, a := range tasks[:min(limit, len(tasks))] {
		if !a.Delivery.Sent {
			a.Delivery.SentAt = d.clock.Now()
		}
		a.Delivery.Sent = true
		a.Delivery.Token = max(a.Delivery.Token, token)
		a.Delivery.Incarnation = m.Agent.Incarnation
		commands = append(commands, wire.Command{Verb: wire.VerbRun, Name: a.Ref().String(), Attempt: a.Attempt})
	}
	return commands
}
