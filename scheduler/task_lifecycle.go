package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// taskLifecycle stops tasks, releases those that are known to have ended, and notifies the record
// writer, command dispatch, the zone gate, the run time estimates, and the detection of slow
// machines and failures. All components end tasks through it. It must not release a task that may
// still run.
type taskLifecycle struct {
	cluster   *cluster.State
	clock     *clock.Clock
	rounds    *clock.RoundTrigger
	records   taskRecords
	commands  machineQueue
	zones     taskEndObserver
	estimates runRecorder
	slowness  runTimeComparer
	failures  outcomeRecorder
	leaders   cancellationObserver
	// lostWork holds the work of stopped and lost tasks by stop reason.
	lostWork [cluster.StopDrained + 1]lostWorkCount
}

// cancellationObserver records that a job was just cancelled.
type cancellationObserver interface{ recordCancelled(j *cluster.Job) }

// taskRecords marks records of a job that must be written or deleted.
type taskRecords interface {
	markTaskDirty(j *cluster.Job, index int)
	// discardUnwritten discards the unwritten changes of a job that has ended.
	discardUnwritten(j *cluster.Job)
	markCompletable(j *cluster.Job)
	markDeletable(j *cluster.Job)
}

// machineQueue queues machines to which a command may have to be sent.
type machineQueue interface{ queueMachine(m *cluster.Machine) }

// taskEndObserver is notified when a task is removed from its machine.
type taskEndObserver interface{ taskDetached(a *cluster.Assignment) }

// runRecorder records how long tasks ran.
type runRecorder interface {
	recordRun(s *wire.JobSpec, ran time.Duration)
}

// runTimeComparer compares machines by the run times of a job's tasks on them.
type runTimeComparer interface {
	compareRunTimes(a *cluster.Assignment)
}

// outcomeRecorder records that a task succeeded, or that its job was cancelled.
type outcomeRecorder interface {
	recordSuccess(a *cluster.Assignment)
	jobCancelled(j *cluster.Job)
}

// lostWorkCount holds the number of tasks that were removed from machines before they were done,
// and the CPU seconds that they had used.
type lostWorkCount struct {
	tasks int
	cpuS  float64
}

// release removes a task that is known to have ended from its machine. The task becomes pending
// again unless its job has ended.
func (l *taskLifecycle) release(a *cluster.Assignment) {
	if a.Run.Phase == wire.TaskRunning && !a.Job.Spec.Service {
		lost := &l.lostWork[a.StopReason()]
		lost.tasks++
		lost.cpuS += l.clock.Now().Sub(a.Run.PhaseSince).Seconds() * a.Job.Spec.CPUs
	}
	l.zones.taskDetached(a)
	l.cluster.Release(a)
	if a.Job.Terminal() {
		l.records.markDeletable(a.Job)
		return
	}
	l.records.markTaskDirty(a.Job, a.Index)
}

// withdraw undoes a placement of the current round.
func (l *taskLifecycle) withdraw(a *cluster.Assignment) {
	l.zones.taskDetached(a)
	l.cluster.UndoAssign(a)
}

// complete removes a task that succeeded from its machine.
func (l *taskLifecycle) complete(a *cluster.Assignment) {
	l.zones.taskDetached(a)
	l.failures.recordSuccess(a)
	j := a.Job
	if j.Terminal() {
		l.cluster.Complete(a)
		l.records.markDeletable(j)
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
	// The grace period of a stopped task is the time that a checkpoint takes, multiplied by
	// checkpointGraceFactor, plus checkpointGraceSlackS in seconds.
	checkpointGraceFactor = 1.25
	checkpointGraceSlackS = 0.5
)

// stop stops a task on its machine. A task that was never sent is released immediately, or, if its
// record is in flight, when the result of the write is known. A stopped task gets a grace period
// in which to write a checkpoint, unless it is cancelled or writes no checkpoints.
func (l *taskLifecycle) stop(a *cluster.Assignment, reason cluster.StopReason) {
	a.Delivery.KillGraceS = 0
	if reason != cluster.StopCancelled && a.StopReason() != cluster.StopCancelled && a.Job.Spec.CheckpointEveryS > 0 {
		a.Delivery.KillGraceS = a.Job.Spec.CheckpointS*checkpointGraceFactor + checkpointGraceSlackS
	}
	l.cluster.Stop(a, reason)
	l.commands.queueMachine(a.Machine)
	if !a.MayRun() && !a.Record.InFlight {
		l.release(a)
	}
	l.rounds.MarkDue()
}

// endJob sets the terminal state of a job and stops its tasks on machines.
func (l *taskLifecycle) endJob(j *cluster.Job, status wire.JobState) {
	l.cluster.EndJob(j, status)
	l.records.discardUnwritten(j)
	l.leaders.recordCancelled(j)
	l.failures.jobCancelled(j)
	for _, a := range j.Assignments() {
		l.stop(a, cluster.StopCancelled)
	}
	l.records.markDeletable(j)
	l.rounds.MarkDue()
}

// runTime returns how long a task has been in its phase, less the pauses of this process. The
// pauses are subtracted because changes during a pause are observed only after it.
func runTime(clk *clock.Clock, a *cluster.Assignment) time.Duration {
	return clk.Now().Sub(a.Run.PhaseSince) - (clk.TotalPause() - a.Run.PausedBefore)
}
