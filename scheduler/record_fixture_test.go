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

// recordFixture holds a record writer with a cluster state. It is itself the fake of the other
// policies that the record writer calls.
type recordFixture struct {
	*recordWriter
	t *testing.T
	// observed holds the job records that the writer has passed to applyJobRecord, by job.
	observed map[ids.JobID]*records.Job
	// queued holds the machines that the writer has queued for commands.
	queued []ids.MachineID
	// released holds the tasks that the writer has released.
	released []ids.TaskRef
}

// recordFixtureNow is the time at which the term of a fixture begins.
const recordFixtureNow = monotonic.Instant(time.Hour)

// newRecordFixture returns a record writer with four tasks per slice and, unless settings says
// otherwise, eight operations per change.
func newRecordFixture(t *testing.T, settings recordSettings) *recordFixture {
	t.Helper()
	settings.leaderRevision = 5
	if settings.maxOperations == 0 {
		settings.maxOperations = 8
	}
	clk, rounds := clock.New(0), &clock.RoundTrigger{}
	clk.Begin(recordFixtureNow)
	state := cluster.NewState(cluster.Settings{SliceTasks: 4, BootFactor: 4}, clk, rounds, quota.NewTracker(nil))
	f := &recordFixture{t: t, observed: map[ids.JobID]*records.Job{}}
	f.recordWriter = newRecordWriter(state, clk, rounds, settings)
	f.tasks, f.commands, f.jobs, f.leaders = f, f, f, f
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

// mayCallCloud implements cloudCallObserver: there is no previous leader.
func (*recordFixture) mayCallCloud() bool { return false }

// addJob adds a job whose record has revision 3.
func (f *recordFixture) addJob(id ids.JobID, tasks int) *cluster.Job {
	f.t.Helper()
	spec := &wire.JobSpec{Team: "red", Tasks: tasks, CPUs: 1}
	j := f.cluster.AddJob(id, &records.Job{Status: wire.JobQueued, Tasks: tasks, Spec: spec}, 3)
	j.RebuildPending()
	return j
}

// place assigns all tasks of a job to the machines in turn.
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

// finish completes all tasks of a job. Their placements must be recorded.
func (f *recordFixture) finish(j *cluster.Job) {
	f.t.Helper()
	for _, a := range j.Assignments() {
		f.cluster.Complete(a)
		f.markTaskDirty(j, a.Index)
	}
	f.markCompletable(j)
}

// write advances the clock and returns the changes that are due then.
func (f *recordFixture) write(after time.Duration) []records.Change {
	f.t.Helper()
	f.clock.Set(f.clock.Now().Add(after))
	f.refillBudget()
	f.writeRecords()
	changes, _ := f.takeDecisions()
	return changes
}

// writeOne advances the clock and returns the one change that is due then.
func (f *recordFixture) writeOne(after time.Duration) records.Change {
	f.t.Helper()
	changes := f.write(after)
	if len(changes) != 1 {
		f.t.Fatalf("%d changes, want one: %+v", len(changes), changes)
	}
	return changes[0]
}

// commit passes the result of a change that was committed at a revision to the writer.
func (f *recordFixture) commit(change records.Change, revision ids.Revision) {
	f.handleResult(records.CommitResult{Change: change, Revision: revision})
}

// conflict passes the result of a change whose preconditions on some keys failed to the writer.
func (f *recordFixture) conflict(change records.Change, keys ...string) {
	f.handleResult(records.CommitResult{Change: change, Err: &records.ConflictError{Keys: keys}})
}

// refuse passes the result of a change that the store rejected to the writer.
func (f *recordFixture) refuse(change records.Change) {
	f.handleResult(records.CommitResult{Change: change, Err: records.ErrRejected})
}
