package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// recordFixture is a record writer with a cluster state and stand-ins for the other policies.
type recordFixture struct {
	*recordWriter
	t *testing.T
	// observed are the job records that the writer has passed on, by job.
	observed map[ids.JobID]*records.Job
	// queued are the machines to which commands may have to go.
	queued []ids.MachineID
	// released are the tasks that the writer has released.
	released []ids.TaskRef
}

// recordFixtureNow is the time at which fixtures begin.
const recordFixtureNow = monotonic.Instant(time.Hour)

// newRecordFixture makes a record writer with four tasks in a slice, unless other settings
// are made.
func newRecordFixture(t *testing.T, settings recordSettings) *recordFixture {
	t.Helper()
	settings.leaderRevision = 5
	if settings.maxOperations == 0 {
		settings.maxOperations = 8
	}
	now, rounds := clock.New(0), &clock.RoundTrigger{}
	now.Begin(recordFixtureNow)
	state := cluster.NewState(cluster.Settings{SliceTasks: 4, BootFactor: 4}, now, rounds, quota.NewTracker(nil))
	f := &recordFixture{t: t, observed: map[ids.JobID]*records.Job{}}
	f.recordWriter = newRecordWriter(state, now, rounds, settings)
	f.tasks, f.commands, f.jobs = f, f, f
	f.begin()
	return f
}

func (f *recordFixture) release(a *cluster.Assignment) {
	f.released = append(f.released, a.Ref())
	f.cluster.Release(a)
	if a.Job.Terminal() {
		f.markDeletable(a.Job)
		return
	}
	f.markTaskDirty(a.Job, a.Index)
}

func (f *recordFixture) queueMachine(m *cluster.Machine) { f.queued = append(f.queued, m.ID) }

func (f *recordFixture) applyJobRecord(id ids.JobID, record *records.Job) { f.observed[id] = record }

// addJob adds a job whose record has revision 3.
func (f *recordFixture) addJob(id ids.JobID, tasks int) *cluster.Job {
	f.t.Helper()
	spec := &wire.JobSpec{Team: "red", Tasks: tasks, CPUs: 1}
	j := f.cluster.AddJob(id, &records.Job{Status: wire.JobQueued, Tasks: tasks, Spec: spec}, 3)
	j.RebuildPending()
	return j
}

// place places all tasks of a job on the machines in turn.
func (f *recordFixture) place(j *cluster.Job, machines ...ids.MachineID) {
	f.t.Helper()
	for index := range j.Tasks() {
		m := f.cluster.EnsureMachine(machines[index%len(machines)])
		f.cluster.SetSite(m, placement.Site{Zone: "a"})
		f.cluster.Assign(j, index, m)
		f.markPlacementDirty(j, index)
	}
	f.cluster.Admit(j, len(j.Tasks()))
}

// finish completes all tasks of a job, whose placements must be recorded.
func (f *recordFixture) finish(j *cluster.Job) {
	f.t.Helper()
	for _, a := range j.Assignments() {
		f.cluster.Complete(a)
		f.markTaskDirty(j, a.Index)
	}
	f.markCompletable(j)
}

// write returns the changes that are due after some time.
func (f *recordFixture) write(later time.Duration) []records.Change {
	f.t.Helper()
	f.clock.Set(f.clock.Now().Add(later))
	f.refillBudget()
	f.writeRecords()
	changes, _ := f.takeDecisions()
	return changes
}

// writeOne returns the one change that is due after some time.
func (f *recordFixture) writeOne(later time.Duration) records.Change {
	f.t.Helper()
	changes := f.write(later)
	if len(changes) != 1 {
		f.t.Fatalf("%d changes, want one: %+v", len(changes), changes)
	}
	return changes[0]
}

// commit applies a change at a revision.
func (f *recordFixture) commit(change records.Change, revision ids.Revision) {
	f.handleResult(records.CommitResult{Change: change, Revision: revision})
}

// conflict fails a change for preconditions on some keys.
func (f *recordFixture) conflict(change records.Change, keys ...string) {
	f.handleResult(records.CommitResult{Change: change, Err: &records.ConflictError{Keys: keys}})
}

// refuse has the store reject a change.
func (f *recordFixture) refuse(change records.Change) {
	f.handleResult(records.CommitResult{Change: change, Err: records.ErrRejected})
}
