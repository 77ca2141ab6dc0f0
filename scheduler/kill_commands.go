package scheduler

import (
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// killCommands lists the commands that kill what must end on a machine; the list is never nil.
// It also makes sure that no run command in flight starts a stopped task later.
func (d *commandDispatcher) killCommands(m *cluster.Machine) []wire.Command {
	d.invalidateRunsOfStoppedTasks(m)
	commands := d.killStoppedTasks(m)
	return append(commands, killUnassignedTasks(m, maxKillCommands-len(commands))...)
}

// mustBeKilled tells whether a task was stopped and may run on its machine.
func mustBeKilled(a *cluster.Assignment) bool {
	return a.StopReason() != cluster.StopNone && a.MayRun()
}

// invalidateRunsOfStoppedTasks raises a machine's token if the message that would start a stopped
// task may still be in flight. While a direct call is in flight it waits for the result. A run
// command that a previous leader sent has an older token anyway.
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

// killStoppedTasks lists the commands that kill the stopped tasks of a machine.
func (d *commandDispatcher) killStoppedTasks(m *cluster.Machine) []wire.Command {
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

// killGraceS is the time in seconds that a stopped task gets to write its checkpoint; 0 once
// it has had that time.
func (d *commandDispatcher) killGraceS(a *cluster.Assignment) float64 {
	grace := a.Delivery.KillGraceS
	if a.Delivery.KillSentAt != 0 && d.clock.Now() > a.Delivery.KillSentAt.Add(monotonic.Seconds(grace)) {
		return 0
	}
	return grace
}

// killUnassignedTasks lists the commands that kill up to limit attempts that a machine runs
// without an assignment.
func killUnassignedTasks(m *cluster.Machine, limit int) []wire.Command {
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
