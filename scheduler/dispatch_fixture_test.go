package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// dispatchFixture holds a command dispatcher without a core. Machine n-1 is up, and job-1 has four
// tasks, none of which is assigned.
type dispatchFixture struct {
	*commandDispatcher
	machine      *cluster.Machine
	job          *cluster.Job
	staleRecords fakeRecordStatus
}

// fakeRecordStatus is a fake of the record writer. It holds the tasks whose records are not up to
// date.
type fakeRecordStatus map[ids.TaskRef]bool

func (s fakeRecordStatus) upToDate(j *cluster.Job, index int) bool {
	return !s[ids.TaskRef{Job: j.ID, Index: index}]
}

const fixtureRevision ids.Revision = 5

func newDispatchFixture(t *testing.T) *dispatchFixture {
	t.Helper()
	clk := clock.New(0)
	clk.Begin(monotonic.Instant(time.Hour))
	teamQuota := quota.Amount{CPUs: 64}
	quotas := quota.NewTracker([]quota.Team{{Name: "red", Nominal: teamQuota, Limit: teamQuota}})
	state := cluster.NewState(cluster.Settings{SliceTasks: 4, BootFactor: 4}, clk, &clock.RoundTrigger{}, quotas)
	staleRecords := fakeRecordStatus{}
	f := &dispatchFixture{
		commandDispatcher: &commandDispatcher{
			cluster:  state,
			clock:    clk,
			records:  staleRecords,
			settings: dispatchSettings{revision: fixtureRevision, heartbeatInterval: 2 * time.Second},
		},
		staleRecords: staleRecords,
	}
	f.machine = f.addMachine("n-1")
	spec := &wire.JobSpec{Tasks: 4, Team: "red", CPUs: 2, Image: "i"}
	f.job = state.AddJob("job-1", &records.Job{Status: wire.JobQueued, Spec: spec, Tasks: 4}, 1)
	f.job.RebuildSlices()
	f.job.RebuildPending()
	return f
}

// addMachine adds a machine that is up and has shown a token of this leader.
func (f *dispatchFixture) addMachine(id ids.MachineID) *cluster.Machine {
	m := f.cluster.EnsureMachine(id)
	f.cluster.SetEndpoint(m, string(id)+":80")
	m.Agent.HeartbeatThisTerm, m.Agent.Fenced = true, true
	m.Agent.Incarnation = 1
	return m
}

// assign assigns the next pending task to the machine and marks its record as committed.
func (f *dispatchFixture) assign() *cluster.Assignment {
	pending := f.job.Pending()
	a := f.cluster.Assign(f.job, pending[len(pending)-1], f.machine)
	f.cluster.Admit(f.job, 1)
	a.Record.Committed = true
	return a
}

// assignSent assigns the next pending task to the machine and marks its run command as sent under
// the current token.
func (f *dispatchFixture) assignSent() *cluster.Assignment {
	a := f.assign()
	a.Delivery.Sent, a.Delivery.SentAt = true, f.clock.Now()
	a.Delivery.Token, a.Delivery.Incarnation = f.fencingToken(f.machine), f.machine.Agent.Incarnation
	return a
}

// report adds an attempt with its state to the machine's newest heartbeat.
func (f *dispatchFixture) report(ref ids.TaskRef, attempt ids.Attempt, state wire.TaskState) {
	reported := cluster.ReportedTask{Ref: ref, Attempt: attempt, State: state}
	f.machine.Agent.ReportedTasks = append(f.machine.Agent.ReportedTasks, reported)
}

// advance advances the clock.
func (f *dispatchFixture) advance(d time.Duration) { f.clock.Set(f.clock.Now().Add(d)) }
