package scheduler

import (
	"fmt"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// LoadJob takes a job's record at the start of the term. Jobs come before
// slices.
func (c *Core) LoadJob(id ids.JobID, rec *records.Job, revision ids.Revision) {
	c.graph.Put(id, rec.Dependencies())
	if rec.Status == wire.JobDone || rec.Spec == nil {
		return
	}
	c.jobs[id] = c.newJob(id, rec, revision)
}

// LoadUnreadableJob notes a job whose own record cannot be read. Its admission
// records are left as they are: they say where its tasks may be, for the time when
// its record is repaired.
func (c *Core) LoadUnreadableJob(id ids.JobID) {
	c.unreadable[id] = true
	c.previousLeaders.unclear = true
}

// LoadSlice takes an admission record at the start of the term.
func (c *Core) LoadSlice(id ids.JobID, n int, rec *records.AdmissionSlice, revision ids.Revision) error {
	if c.unreadable[id] {
		return nil
	}
	j := c.jobs[id]
	if j == nil {
		// What is left of a done job; it only has to be dropped.
		j = c.newJob(id, &records.Job{Status: wire.JobDone}, 0)
		c.jobs[id] = j
	}
	// Splits make a slice for each task at most, beside those there are, and leave
	// out numbers that were not used.
	if !j.terminal() && n >= len(j.slices)+2*len(j.tasks) {
		return fmt.Errorf("admission record %s/%d lies outside its job", id, n)
	}
	j.growSlices(n + 1)
	s := j.slices[n]
	s.revision = revision
	if j.status == wire.JobDone {
		return nil
	}
	s.oversized = wire.ExceedsJSONSize(rec, c.opt.ValueBytes)
	if err := j.loadDone(s, rec.Done); err != nil {
		return err
	}
	return c.loadPlacements(j, s, rec)
}

// loadDone takes in which tasks of a slice are done.
func (j *job) loadDone(s *admissionSlice, done []int) error {
	for _, i := range done {
		if i < 0 || i >= len(j.tasks) {
			return fmt.Errorf("admission record %s/%d names task %d", j.id, s.number, i)
		}
		j.tasks[i].slice = s
		if j.tasks[i].state != taskDone {
			j.tasks[i].state = taskDone
			j.done++
		}
	}
	return nil
}

// loadPlacements takes in where the tasks of a slice were placed by a predecessor.
func (c *Core) loadPlacements(j *job, s *admissionSlice, rec *records.AdmissionSlice) error {
	for k := 0; k+2 < len(rec.Tasks); k += 3 {
		i, attempt, place := rec.Tasks[k], ids.Attempt(rec.Tasks[k+1]), rec.Tasks[k+2]
		if i < 0 || i >= len(j.tasks) || place >= len(rec.Hosts) {
			return fmt.Errorf("admission record %s/%d names task %d on place %d", j.id, s.number, i, place)
		}
		t := &j.tasks[i]
		t.attempt, t.slice = attempt, s
		if place < 0 || t.state == taskDone {
			continue
		}
		m := c.registry.ensureMachine(rec.Hosts[place])
		if m.Zone == "" && place < len(rec.Zones) {
			c.registry.setSite(m, placement.Site{Zone: rec.Zones[place]}, "")
		}
		c.attach(&assignment{job: j, index: i, attempt: attempt, machine: m, recorded: true, inherited: true,
			sentToken: ids.NewFencingToken(c.opt.Revision, 0) - 1})
	}
	return nil
}

// Suspend keeps a job from being placed, because it is not known where all
// its tasks may be. It stays known, and the others go on.
func (c *Core) Suspend(id ids.JobID) {
	c.previousLeaders.unclear = true
	if j := c.jobs[id]; j != nil {
		j.suspended = true
	}
}

// ObserveJob takes a job's record as found in state: new, cancelled or with a
// version that this leader did not know.
func (c *Core) ObserveJob(now monotonic.Instant, id ids.JobID, rec *records.Job, revision ids.Revision) {
	c.now = now
	j := c.jobs[id]
	if j != nil && revision <= j.revision {
		return
	}
	if j == nil {
		if s := c.graph.ReadinessOf(id).State; rec.Terminal() || s == dependency.Done || s == dependency.Cancelled {
			c.applyJobRecord(id, rec) // or an older record, delivered late
			return
		}
		j = c.newJob(id, rec, revision)
		c.jobs[id] = j
		c.rebuildPending(j)
		c.applyJobRecord(id, rec)
		return
	}
	j.revision = revision
	if rec.Terminal() {
		if !j.terminal() {
			j.status = rec.Status
			c.stopAllTasks(j)
		}
		c.records.cancelRecorded(j)
		c.applyJobRecord(id, rec)
	}
}

// applyJobRecord takes a record into the dependency graph and updates all jobs whose
// standing changes.
func (c *Core) applyJobRecord(id ids.JobID, rec *records.Job) {
	for _, other := range c.graph.Put(id, rec.Dependencies()) {
		if j := c.jobs[other]; j != nil {
			c.syncDependencies(j)
		}
	}
}

// syncDependencies brings a job in line with the graph: its priority, whether it may run,
// and whether it is cancelled because one that it depends on is. Such a job never had a
// task and nobody answers otherwise any more; its own record is written when there is
// time.
func (c *Core) syncDependencies(j *job) {
	if j.terminal() {
		return
	}
	s := c.graph.ReadinessOf(j.id)
	c.setPriority(j, s.Priority)
	if j.orderMS = s.ReadyMS; s.StartByMS != 0 {
		j.orderMS = min(j.orderMS, s.StartByMS)
	}
	switch {
	case s.State == dependency.Cancelled:
		j.status, j.cancelUnrecorded = wire.JobCancelled, true
		c.records.orphanCancels = append(c.records.orphanCancels, j)
		c.stopAllTasks(j)
	case s.State == dependency.Ready && !j.ready:
		j.ready, j.readyMS = true, s.ReadyMS
		j.readyAt, j.waitingSince = c.now, c.now
		c.autoscaler.recordArrival(j.spec)
		c.schedulingDue = true
	}
}

// setPriority changes what a job counts as, with its tasks on machines.
func (c *Core) setPriority(j *job, p wire.Priority) {
	if p == j.priority {
		return
	}
	count := func(n int) {
		for _, a := range j.active {
			if a.stopReason == stopNone {
				c.preemption.countTask(a, n, 0)
			} else {
				c.preemption.countTask(a, 0, n)
			}
		}
	}
	count(-1)
	j.priority = p
	count(1)
	c.schedulingDue = true
}

// rebuildPending lists a job's tasks that wait to be placed.
func (c *Core) rebuildPending(j *job) {
	j.pending = j.pending[:0]
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskPending {
			j.pending = append(j.pending, i)
		}
	}
}

// EnableSplitRecords tells that every controller can read slices that were split. Records
// beyond what the state service may take at any moment are split from now on.
func (c *Core) EnableSplitRecords(now monotonic.Instant) {
	c.now = now
	if c.opt.SplitRecords {
		return
	}
	c.opt.SplitRecords = true
	for _, j := range c.sortedJobs() {
		j.refusals = 0 // what could not be split may be now
		for _, s := range j.slices {
			c.records.markOversized(j, s)
		}
	}
}
