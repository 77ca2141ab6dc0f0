package preemption

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

const (
	startOfTerm       = monotonic.Instant(time.Hour)
	machineCPUs       = 8
	testImage         = ids.Image("image")
	lendingSuspension = time.Minute
)

// fixture holds a policy and a cluster of machines with machineCPUs each. The fake scheduler
// holds the cluster state.
type fixture struct {
	*fakeScheduler
	rounds *clock.RoundTrigger
	quotas *quota.Tracker
	policy *Policy
}

// newFixture returns a policy for an empty cluster. Without the argument teams, there are two teams,
// blue and red, that have a nominal quota of machineCPUs and a limit of twice as much.
func newFixture(t *testing.T, teams ...quota.Team) *fixture {
	t.Helper()
	if teams == nil {
		nominal, limit := quota.Amount{CPUs: machineCPUs}, quota.Amount{CPUs: 2 * machineCPUs}
		for _, name := range []ids.Team{"blue", "red"} {
			teams = append(teams, quota.Team{Name: name, Nominal: nominal, Limit: limit, LendingLimit: nominal})
		}
	}
	now, rounds, quotas := clock.New(0), &clock.RoundTrigger{}, quota.NewTracker(teams)
	now.Begin(startOfTerm)
	state := cluster.NewState(cluster.Settings{SliceTasks: 4}, now, rounds, quotas)
	state.SetCatalog([]wire.MachineType{{Name: "type", CPUs: machineCPUs}})
	scheduler := &fakeScheduler{t: t, clock: now, state: state, unusable: map[ids.MachineID]bool{}}
	return &fixture{
		fakeScheduler: scheduler,
		rounds:        rounds,
		quotas:        quotas,
		policy:        New(Settings{LendingSuspension: lendingSuspension}, state, now, rounds, quotas, scheduler),
	}
}

// addMachine adds a machine that has the image of all jobs.
func (f *fixture) addMachine(id ids.MachineID, zone ids.Zone) *cluster.Machine {
	f.t.Helper()
	m := f.addMachineWithoutImages(id, zone)
	f.state.RecordImage(m, &wire.JobSpec{Image: testImage})
	return m
}

// addMachineWithoutImages adds a machine whose image cache is empty.
func (f *fixture) addMachineWithoutImages(id ids.MachineID, zone ids.Zone) *cluster.Machine {
	f.t.Helper()
	m := f.state.EnsureMachine(id)
	f.state.SetSite(m, placement.Site{Type: "type", Zone: zone})
	return m
}

// addJob adds a job. Unless spec sets other values, it belongs to team red and has one task with 1
// CPU.
func (f *fixture) addJob(id ids.JobID, spec wire.JobSpec) *cluster.Job {
	f.t.Helper()
	if spec.Team == "" {
		spec.Team = "red"
	}
	spec.CPUs = max(spec.CPUs, 1)
	spec.Tasks = max(spec.Tasks, 1)
	spec.Image = testImage
	j := f.state.AddJob(id, &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec}, 1)
	j.RebuildPending()
	return j
}

// run adds a job whose tasks have all been running on a machine since the start of the term.
func (f *fixture) run(id ids.JobID, spec wire.JobSpec, m *cluster.Machine) []*cluster.Assignment {
	f.t.Helper()
	j := f.addJob(id, spec)
	for i := range j.Tasks() {
		a := f.state.Assign(j, i, m)
		a.Run.Phase = wire.TaskRunning
		a.Delivery.Sent = true
	}
	f.state.Admit(j, len(j.Tasks()))
	return j.Assignments()
}

// planner returns a planner for a job in a new round with all machines as candidates.
func (f *fixture) planner(j *cluster.Job) *planner {
	p := newPlanner(f.policy.newRound(f.state.Machines()), j)
	return &p
}

// preempt runs a round for the waiting jobs with all machines as candidates, and checks the cluster
// state.
func (f *fixture) preempt(waiting ...*cluster.Job) {
	f.t.Helper()
	f.policy.Preempt(waiting, f.state.Machines())
	if err := f.state.CheckInvariants(); err != nil {
		f.t.Error(err)
	}
}

// fakeScheduler implements Scheduler instead of the other policies. It releases stopped tasks only
// if they were never sent.
type fakeScheduler struct {
	t                *testing.T
	clock            *clock.Clock
	state            *cluster.State
	latencySensitive bool
	probing          bool
	unusable         map[ids.MachineID]bool
	stopped          []*cluster.Assignment
}

func (s *fakeScheduler) LatencySensitive(*cluster.Job) bool { return s.latencySensitive }

func (s *fakeScheduler) Probing(*cluster.Job) bool { return s.probing }

func (s *fakeScheduler) MayUse(_ *cluster.Job, m *cluster.Machine) bool { return !s.unusable[m.ID] }

func (*fakeScheduler) RequestClass(j *cluster.Job, _ placement.TasksByZone) (RequestClass, bool) {
	return j.TaskResources(), true
}

func (s *fakeScheduler) RunTime(a *cluster.Assignment) time.Duration {
	return s.clock.Now().Sub(a.Run.PhaseSince)
}

func (s *fakeScheduler) Stop(a *cluster.Assignment, why cluster.StopReason) {
	s.t.Helper()
	if a.StopReason() != cluster.StopNone {
		s.t.Errorf("Stop called twice for task %d of %s", a.Index, a.Job.ID)
	}
	s.stopped = append(s.stopped, a)
	s.state.Stop(a, why)
	if !a.MayRun() {
		s.state.Release(a)
	}
}
