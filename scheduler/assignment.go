package scheduler

import (
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// stopReason tells why a task must leave its machine, if it must.
type stopReason uint8

const (
	stopNone stopReason = iota
	stopCancelled
	stopPreempted
	stopDrained
)

// assignment is one attempt of a task on a machine. From the decision on it
// counts as used, until the attempt is surely gone.
type assignment struct {
	job     *job
	index   int
	attempt ids.Attempt
	machine *machine
	// recorded tells that the admission record is committed. Nothing is sent before.
	recorded bool
	// recordInFlight tells that a change which holds this placement is on its way.
	recordInFlight bool
	// inherited tells that a predecessor recorded it and may have sent it.
	inherited bool
	// sentToken is the highest token under which run may have been sent. A
	// worker that shows a higher one and not the attempt will never start it.
	sentToken    ids.FencingToken
	sentSession  ids.AgentIncarnation
	sentAt       monotonic.Instant // first, since it was last known not to be there
	sent         bool
	seen         bool
	phase        wire.TaskState
	phaseSince   monotonic.Instant // when the phase began, as far as known
	pausedBefore time.Duration     // Core.totalPause at that time
	stopReason   stopReason
	protected    bool // see protectionPeriod
	stoppedAt    monotonic.Instant
	graceS       float64
	killSentAt   monotonic.Instant
}

// ref names the task.
func (a *assignment) ref() ids.TaskRef { return ids.TaskRef{Job: a.job.id, Index: a.index} }

// mayRun tells whether the worker might have the task.
func (a *assignment) mayRun() bool { return a.sent || a.inherited }

// attach makes an assignment count on its machine, its job and the books.
func (c *Core) attach(a *assignment) {
	t := &a.job.tasks[a.index]
	t.state, t.assignment = taskAssigned, a
	a.job.started = true
	a.job.active[a.index] = a
	a.job.zones[a.machine.Zone]++
	a.machine.addTask(a)
	a.machine.used = a.machine.used.Plus(placement.TaskResources(a.job.spec))
	c.quotas.Charge(a.job.spec.Team, a.job.amount())
	c.preemption.countTask(a, 1, 0)
}

// detach undoes attach. The caller has shown that the attempt is surely gone
// or was never sent.
func (c *Core) detach(a *assignment) {
	t := &a.job.tasks[a.index]
	t.state, t.assignment = taskPending, nil
	delete(a.job.active, a.index)
	c.zones.detached(a)
	if a.job.zones[a.machine.Zone]--; a.job.zones[a.machine.Zone] <= 0 {
		delete(a.job.zones, a.machine.Zone)
	}
	a.machine.removeTask(a)
	a.machine.used = a.machine.used.Minus(placement.TaskResources(a.job.spec))
	if len(a.machine.tasks) == 0 {
		a.machine.used = placement.Resources{}
		a.machine.idleSince = c.now
	}
	c.quotas.Release(a.job.spec.Team, a.job.amount())
	if a.stopReason == stopNone {
		c.preemption.countTask(a, -1, 0)
	} else {
		c.preemption.countTask(a, 0, -1)
	}
	c.schedulingDue = true
}

// release takes a task that is surely gone off its machine; it waits again if
// its job goes on.
func (c *Core) release(a *assignment) {
	if a.phase == wire.TaskRunning && !a.job.spec.Service {
		l := &c.lostWork[a.stopReason]
		l.tasks++
		l.cpuS += c.now.Sub(a.phaseSince).Seconds() * a.job.spec.CPUs
	}
	c.detach(a)
	j := a.job
	if j.terminal() {
		c.records.droppable[j] = true
		return
	}
	k, _ := slices.BinarySearchFunc(j.pending, a.index, func(e, t int) int { return t - e })
	j.pending = slices.Insert(j.pending, k, a.index)
	c.records.markTaskDirty(j, a.index, false)
}

// completeTask takes note that a task is done.
func (c *Core) completeTask(a *assignment) {
	c.detach(a)
	j := a.job
	if j.terminal() {
		c.records.droppable[j] = true
		return
	}
	c.compareRunTimes(a)
	if a.phase == wire.TaskRunning {
		c.estimates.recordRun(a.job.spec, c.runTime(a))
	}
	j.tasks[a.index].state = taskDone
	j.done++
	j.succeeded++
	j.failureRounds, j.backoff = 0, 0
	c.records.markTaskDirty(j, a.index, false)
	if j.done == len(j.tasks) {
		c.records.completable[j] = true
	}
}

// stopTask decides that a task must leave its machine. One that was never sent is gone at
// once, unless its record is on its way: then the outcome of that is awaited first.
func (c *Core) stopTask(a *assignment, why stopReason) {
	if a.stopReason == stopNone {
		a.stoppedAt = c.now
		a.machine.countActive(a, -1)
		c.preemption.countTask(a, -1, 1)
	}
	c.commands.queueCommands(a.machine)
	a.graceS = 0
	if why != stopCancelled && a.stopReason != stopCancelled && a.job.spec.CheckpointEveryS > 0 {
		a.graceS = a.job.spec.CheckpointS*1.25 + 0.5
	}
	if a.stopReason != stopCancelled {
		a.stopReason = why
	}
	if !a.mayRun() && !a.recordInFlight {
		c.release(a)
	}
	c.schedulingDue = true
}

// stopAllTasks stops whatever a job that is over may still have on machines.
func (c *Core) stopAllTasks(j *job) {
	j.pending = nil
	j.cancelledAt = c.now
	for _, s := range j.slices {
		delete(c.records.dirty, s)
		s.dirty = false
	}
	delete(c.records.completable, j)
	for _, a := range tasksByIndex(j.active) {
		c.stopTask(a, stopCancelled)
	}
	c.records.droppable[j] = true
	c.schedulingDue = true
}

// tasksByIndex lists a job's assignments in the order of its tasks.
func tasksByIndex(m map[int]*assignment) []*assignment {
	out := make([]*assignment, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}

// lostWorkTally counts tasks that were taken off machines before they were done, and the
// CPU seconds that they had run.
type lostWorkTally struct {
	tasks int
	cpuS  float64
}

// runTime is how long a task has been in its phase, less the pauses of this process:
// what began or ended during a pause is heard of only after it.
func (c *Core) runTime(a *assignment) time.Duration {
	return c.now.Sub(a.phaseSince) - (c.totalPause - a.pausedBefore)
}
