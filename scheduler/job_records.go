package scheduler

import (
	"fmt"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
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
	c.cluster.AddJob(id, rec, revision)
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
	j := c.cluster.Job(id)
	if j == nil {
		// What is left of a done job; it only has to be dropped.
		j = c.cluster.AddJob(id, &records.Job{Status: wire.JobDone}, 0)
	}
	// Splits make a slice for each task at most, beside those there are, and leave
	// out numbers that were not used.
	if !j.Terminal() && n >= len(j.Slices())+2*len(j.Tasks()) {
		return fmt.Errorf("admission record %s/%d lies outside its job", id, n)
	}
	j.GrowSlices(n + 1)
	s := j.Slices()[n]
	s.Revision = revision
	if j.Status() == wire.JobDone {
		return nil
	}
	s.Oversized = wire.ExceedsJSONSize(rec, c.opt.ValueBytes)
	if err := j.LoadDone(s, rec.Done); err != nil {
		return err
	}
	return c.loadPlacements(j, s, rec)
}

// loadPlacements takes in where the tasks of a slice were placed by a predecessor.
func (c *Core) loadPlacements(j *cluster.Job, s *cluster.AdmissionSlice, rec *records.AdmissionSlice) error {
	for k := 0; k+2 < len(rec.Tasks); k += 3 {
		i, attempt, place := rec.Tasks[k], ids.Attempt(rec.Tasks[k+1]), rec.Tasks[k+2]
		if i < 0 || i >= len(j.Tasks()) || place >= len(rec.Hosts) {
			return fmt.Errorf("admission record %s/%d names task %d on place %d", j.ID, s.Number, i, place)
		}
		t := j.Task(i)
		j.LoadAttempt(s, i, attempt)
		if place < 0 || t.State() == cluster.TaskDone {
			continue
		}
		m := c.cluster.EnsureMachine(rec.Hosts[place])
		if m.Zone() == "" && place < len(rec.Zones) {
			c.registry.setSite(m, placement.Site{Zone: rec.Zones[place]}, "")
		}
		c.cluster.Inherit(j, i, m, ids.NewFencingToken(c.opt.Revision, 0)-1)
	}
	return nil
}

// Suspend keeps a job from being placed, because it is not known where all
// its tasks may be. It stays known, and the others go on.
func (c *Core) Suspend(id ids.JobID) {
	c.previousLeaders.unclear = true
	if j := c.cluster.Job(id); j != nil {
		j.Queue.Suspended = true
	}
}

// ObserveJob takes a job's record as found in state: new, cancelled or with a
// version that this leader did not know.
func (c *Core) ObserveJob(now monotonic.Instant, id ids.JobID, rec *records.Job, revision ids.Revision) {
	c.clock.Set(now)
	j := c.cluster.Job(id)
	if j != nil && revision <= j.Records.Revision {
		return
	}
	if j == nil {
		if s := c.graph.ReadinessOf(id).State; rec.Terminal() || s == dependency.Done || s == dependency.Cancelled {
			c.applyJobRecord(id, rec) // or an older record, delivered late
			return
		}
		j = c.cluster.AddJob(id, rec, revision)
		j.RebuildPending()
		c.applyJobRecord(id, rec)
		return
	}
	j.Records.Revision = revision
	if rec.Terminal() {
		if !j.Terminal() {
			c.lifecycle.endJob(j, rec.Status)
		}
		c.records.cancelRecorded(j)
		c.applyJobRecord(id, rec)
	}
}

// applyJobRecord takes a record into the dependency graph and updates all jobs whose
// standing changes.
func (c *Core) applyJobRecord(id ids.JobID, rec *records.Job) {
	for _, other := range c.graph.Put(id, rec.Dependencies()) {
		if j := c.cluster.Job(other); j != nil {
			c.syncDependencies(j)
		}
	}
}

// syncDependencies brings a job in line with the graph: its priority, whether it may run,
// and whether it is cancelled because one that it depends on is. Such a job never had a
// task and nobody answers otherwise any more; its own record is written when there is
// time.
func (c *Core) syncDependencies(j *cluster.Job) {
	if j.Terminal() {
		return
	}
	s := c.graph.ReadinessOf(j.ID)
	c.cluster.SetPriority(j, s.Priority)
	if j.Queue.OrderMS = s.ReadyMS; s.StartByMS != 0 {
		j.Queue.OrderMS = min(j.Queue.OrderMS, s.StartByMS)
	}
	switch {
	case s.State == dependency.Cancelled:
		c.records.markOrphanCancel(j)
		c.lifecycle.endJob(j, wire.JobCancelled)
	case s.State == dependency.Ready && !j.Queue.Ready:
		j.Queue.Ready, j.Queue.ReadyMS = true, s.ReadyMS
		j.Queue.ReadyAt, j.Queue.WaitingSince = c.clock.Now(), c.clock.Now()
		c.autoscaler.recordArrival(j.Spec)
		c.rounds.MarkDue()
	}
}

// EnableSplitRecords tells that every controller can read slices that were split. Records
// beyond what the state service may take at any moment are split from now on.
func (c *Core) EnableSplitRecords(now monotonic.Instant) {
	c.clock.Set(now)
	c.records.enableSplitting()
}
