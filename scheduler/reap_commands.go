package scheduler

import (
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// reapCommands lists the ended attempts that an agent may forget.
func (d *commandDispatcher) reapCommands(m *cluster.Machine) []wire.Command {
	var commands []wire.Command
	for i := range m.Agent.ReportedTasks {
		if len(commands) >= maxReapCommands {
			break
		}
		reported := &m.Agent.ReportedTasks[i]
		if reported.State != wire.TaskEnded || m.AssignsAttempt(reported) || !d.endRecorded(reported) {
			continue
		}
		commands = append(commands, wire.Command{
			Verb:    wire.VerbReap,
			Name:    reported.Ref.String(),
			Attempt: reported.Attempt,
		})
	}
	return commands
}

// endRecorded tells whether the end of an attempt is recorded, or has no effect since its
// job has ended.
func (d *commandDispatcher) endRecorded(reported *cluster.ReportedTask) bool {
	j := d.cluster.Job(reported.Ref.Job)
	if j == nil || j.Terminal() {
		return true
	}
	index := reported.Ref.Index
	return index < len(j.Tasks()) && d.records.upToDate(j, index)
}
