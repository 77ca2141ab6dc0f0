package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// taskLifecycle ends tasks: it stops them, releases those that are known to have ended, and
// notifies record writing, command dispatch, the zone gate and the estimates. All policies end
// tasks through it. It must not release a task that may still run.
type taskLifecycle struct {
	cluster   *cluster.State
	clock     *clock.Clock
	rounds    *clock.RoundTrigger
	records   taskRecords
	commands  machineQueue
	zones     taskEndObserver
	estimates runRecorder
	slowness  runTimeComparer
	failures  successRecorder
	// lostWork counts tasks that were stopped or lost, by reason.
	lostWork [cluster.StopDrained + 1]lostWorkTally
}

// taskRecords notes which records of a job are behind.
type taskRecords interface {
	markTaskDirty(j *cluster.Job, index int)
	// discard forgets unwritten changes of a job that has ended.
	discard(j *cluster.Job)
	markCompletable(j *cluster.Job)
	markDroppable(j *cluster.Job)
}

// machineQueue queues machines to which a command may have to be sent.
type machineQueue interface{ queueCommands(m *cluster.Machine) }

// taskEndObserver learns that a task was taken off its machine.
type taskEndObserver interface{ taskDetached(a *cluster.Assignment) }

// runRecorder learns from how long tasks ran.
type runRecorder interface {
	recordRun(s *wire.JobSpec, ran time.Duration)
}

// runTimeComparer compares machines by how long tasks of a job ran there.
type runTimeComparer interface {
	compareRunTimes(a *cluster.Assignment)
}

// successRecorder notes that a task succeeded.
type successRecorder interface {
	recordSuccess(a *cluster.Assignment)
}

// lostWorkTally counts tasks that were taken off machines before they were done, and the
// CPU seconds that they had run.
type lostWorkTally struct {
	tasks int
	cpuS  float64
}

// release takes a task that is known to have ended off its machine; it is pending again
// unless its job has ended.
func (l *taskLifecycle) release(a *cluster.Assignment) {
	if a.Run.Phase == wire.TaskRunning && !a.Job.Spec.Service {
		lost := &l.lostWork[a.StopReason()]
		lost.tasks++
		lost.cpuS += l.clock.Now().Sub(a.Run.PhaseSince).Seconds() * a.Job.Spec.CPUs
	}
	l.zones.taskDetached(a)
	l.cluster.Release(a)
	if a.Job.Terminal() {
		l.records.markDroppable(a.Job)
		return
	}
	l.records.markTaskDirty(a.Job, a.Index)
}

// withdraw undoes a placement of the present round.
func (l *taskLifecycle) withdraw(a *cluster.Assignment) {
	l.zones.taskDetached(a)
	l.cluster.Withdraw(a)
}

// complete takes a task that succeeded off its machine.
func (l *taskLifecycle) complete(a *cluster.Assignment) {
	l.zones.taskDetached(a)
	l.failures.recordSuccess(a)
	j := a.Job
	if j.Terminal() {
		l.cluster.Complete(a)
		l.records.markDroppable(j)
		return
	}
	l.slowness.compareRunTimes(a)
	if a.Run.Phase == wire.TaskRunning {
		l.estimates.recordRun(j.Spec, runTime(l.clock, a))
	}
	l.cluster.Complete(a)
	l.records.markTaskDirty(j, a.Index)
	if j.Done() == len(j.Tasks()) {
		l.records.markCompletable(j)
	}
}

const (
	// A stopped task gets checkpointGraceFactor times the time that a checkpoint takes, and
	// checkpointGraceSlackS seconds more, to write one.
	checkpointGraceFactor = 1.25
	checkpointGraceSlackS = 0.5
)

// stop decides that a task must leave its machine. One that was never sent is released at
// once, or when the result of its record is known if that is in flight.
func (l *taskLifecycle) stop(a *cluster.Assignment, why cluster.StopReason) {
	a.Delivery.KillGraceS = 0
	if why != cluster.StopCancelled && a.StopReason() != cluster.StopCancelled && a.Job.Spec.CheckpointEveryS > 0 {
		a.Delivery.KillGraceS = a.Job.Spec.CheckpointS*checkpointGraceFactor + checkpointGraceSlackS
	}
	l.cluster.Stop(a, why)
	l.commands.queueCommands(a.Machine)
	if !a.MayRun() && !a.Record.InFlight {
		l.release(a)
	}
	l.rounds.MarkDue()
}

// endJob gives a job its terminal state and stops its tasks on machines.
func (l *taskLifecycle) endJob(j *cluster.Job, status wire.JobState) {
	l.cluster.EndJob(j, status)
	l.records.discard(j)
	for _, a := range j.Assignments() {
		l.stop(a, cluster.StopCancelled)
	}
	l.records.markDroppable(j)
	l.rounds.MarkDue()
}

// runTime is how long a task has been in its phase, less the pauses of this process. Changes
// during a pause are observed only after it.
func runTime(now *clock.Clock, a *cluster.Assignment) time.Duration {
	return now.Now().Sub(a.Run.PhaseSince) - (now.TotalPause() - a.Run.PausedBefore)
}
