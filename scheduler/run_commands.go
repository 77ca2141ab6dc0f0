package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// runCommands returns up to limit commands that start tasks on a machine. It repeats commands that
// were already sent and have had no visible effect.
func (d *commandDispatcher) runCommands(m *cluster.Machine, limit int) []wire.Command {
	return d.buildRunCommands(m, unstartedTasks(m), limit)
}

// unsentRunCommands returns up to limit commands that start tasks on a machine. It omits commands
// that were already sent.
func (d *commandDispatcher) unsentRunCommands(m *cluster.Machine, limit int) []wire.Command {
	unsent := slices.DeleteFunc(unstartedTasks(m), func(a *cluster.Assignment) bool { return a.Delivery.Sent })
	return d.buildRunCommands(m, unsent, limit)
}

// mayBeSent reports whether a run command for a task may be sent to its machine. A task that a
// previous leader recorded must not be sent: that leader may have sent it, and the task may have
// ended on the agent since.
func mayBeSent(a *cluster.Assignment) bool {
	return a.Record.Committed && a.StopReason() == cluster.StopNone && !a.Delivery.Inherited
}

// unstartedTasks returns the tasks that should start on a machine and that no heartbeat has shown
// there.
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

// buildRunCommands returns the commands that start up to limit of the given tasks, and records in
// the delivery of each that it was sent.
func (d *commandDispatcher) buildRunCommands(m *cluster.Machine, tasks []*cluster.Assignment, limit int) []wire.Command {
	var commands []wire.Command
	token := d.fencingToken(m)
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
