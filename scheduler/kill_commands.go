package scheduler

import (
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// killCommands returns the commands that kill the stopped and unassigned tasks on a machine. The
// list is never nil. killCommands also ensures that no run command in flight starts a stopped
// task later.
func (d *commandDispatcher) killCommands(m *cluster.Machine) []wire.Command {
	d.invalidateRunsOfStoppedTasks(m)
	commands := d.killCommandsForStopped(m)
	return append(commands, killCommandsForUnassigned(m, maxKillCommands-len(commands))...)
}

// mustBeKilled reports whether a task was stopped and may still run on its machine.
func mustBeKilled(a *cluster.Assignment) bool {
	return a.StopReason() != cluster.StopNone && a.MayRun()
}

// invalidateRunsOfStoppedTasks raises a machine's token if the message that would start a stopped
// task may still be in flight. While a direct call is in flight, it waits for the result. Run
// commands of previous leaders need no higher token, since theirs are lower than this leader's.
func (d *commandDispatcher) invalidateRunsOfStoppedTasks(m *cluster.Machine) {
	if m.Commands.CallInFlight {
		return
	}
	for _, a := range m.Assignments() {
		if !mustBeKilled(a) || a.Delivery.Inherited || m.FindReported(a.Ref(), a.Attempt) != nil {
			continue
		}
		if a.Delivery.Token >= d.fencingToken(m) {
			d.raiseToken(m)
		}
	}
}

// killCommandsForStopped returns the commands that kill the stopped tasks of a machine.
func (d *commandDispatcher) killCommandsForStopped(m *cluster.Machine) []wire.Command {
	commands := []wire.Command{}
	for _, a := range m.Assignments() {
		if len(commands) >= maxKillCommands {
			break
		}
		if !mustBeKilled(a) {
			continue
		}
		commands = append(commands, wire.Command{
			Verb:    wire.VerbKill,
			Name:    a.Ref().String(),
			Attempt: a.Attempt,
			GraceS:  d.killGraceS(a),
		})
		if a.Delivery.KillSentAt == 0 {
			a.Delivery.KillSentAt = d.clock.Now()
		}
	}
	return commands
}

// killGraceS returns the grace period in seconds in which a stopped task may write its checkpoint.
// It returns 0 once the grace period has passed.
func (d *commandDispatcher) killGraceS(a *cluster.Assignment) float64 {
	grace := a.Delivery.KillGraceS
	if a.Delivery.KillSentAt != 0 && d.clock.Now() > a.Delivery.KillSentAt.Add(monotonic.Seconds(grace)) {
		return 0
	}
	return grace
}

// killCommandsForUnassigned returns the commands that kill up to limit attempts that a machine runs
// without an assignment.
func killCommandsForUnassigned(m *cluster.Machine, limit int) []wire.Command {
	var commands []wire.Command
	for i := range m.Agent.ReportedTasks {
		if len(commands) >= limit {
			break
		}
		reported := &m.Agent.ReportedTasks[i]
		if reported.State == wire.TaskEnded || m.AssignsAttempt(reported) {
			continue
		}
		commands = append(commands, wire.Command{
			Verb:    wire.VerbKill,
			Name:    reported.Ref.String(),
			Attempt: reported.Attempt,
		})
	}
	return commands
}
