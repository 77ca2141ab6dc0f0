package scheduler

import (
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// reapCommands returns the commands that let an agent forget ended attempts.
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

// endRecorded reports whether the end of an attempt is recorded, or does not matter because its
// job has ended.
func (d *commandDispatcher) endRecorded(reported *cluster.ReportedTask) bool {
	j := d.cluster.Job(reported.Ref.Job)
	if j == nil || j.Terminal() {
		return true
	}
	index := reported.Ref.Index
	return index < len(j.Tasks()) && d.records.upToDate(j, index)
}
