package preemption

import (
	"errors"
	"testing"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// exhaustQuota charges team red for as much quota as its limit.
func exhaustQuota(f *fixture) { f.quotas.Charge("red", quota.Amount{CPUs: 2 * machineCPUs}) }

func TestPlanTaskErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		job     wire.JobSpec
		prepare func(f *fixture)
		want    error
	}{
		{"quota used up, lowest priority", wire.JobSpec{}, exhaustQuota, errNoQuota},
		{"quota used up, no preemptible task", wire.JobSpec{Priority: wire.High}, exhaustQuota, errNothingPreemptible},
		{"no machine is large enough", wire.JobSpec{CPUs: machineCPUs + 1}, func(*fixture) {}, errNoMachine},
		{"no machine may be used", wire.JobSpec{}, func(f *fixture) { f.unusable["m-1"] = true }, errNoMachine},
		{"only tasks of equal priority run", wire.JobSpec{}, func(f *fixture) {
			f.run("job-0", wire.JobSpec{CPUs: machineCPUs - 0.5}, f.state.Machine("m-1"))
		}, errNoMachine},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, quota.Team{Name: "red", Nominal: quota.Amount{CPUs: 2 * machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}})
			f.addMachine("m-1", "a")
			c.prepare(f)
			if _, err := f.planner(f.addJob("job-1", c.job)).planTask(); !errors.Is(err, c.want) {
				t.Errorf("planTask error = %v, want %v", err, c.want)
			}
		})
	}
}

// A request for which no machine was found is not tried again in the same round.
func TestPlanTaskSkipsInfeasibleRequest(t *testing.T) {
	f := newFixture(t)
	f.addMachine("m-1", "a")
	f.unusable["m-1"] = true
	r := f.policy.newRound(f.state.Machines())
	want := errNoMachine
	for _, j := range []*cluster.Job{f.addJob("job-1", wire.JobSpec{}), f.addJob("job-2", wire.JobSpec{})} {
		p := newPlanner(r, j)
		if _, err := p.planTask(); !errors.Is(err, want) {
			t.Errorf("%s: planTask error = %v, want %v", j.ID, err, want)
		}
		want = errKnownInfeasible
	}
	if r.machinesExamined != 1 {
		t.Errorf("examined %d machines, want 1", r.machinesExamined)
	}
}

// addCostlyMachine adds a machine whose capacity is used by a single task that is costly to stop.
func addCostlyMachine(f *fixture) {
	f.t.Helper()
	f.run("job-costly", wire.JobSpec{CPUs: machineCPUs, Priority: wire.High, Service: true}, f.addMachine("m-1", "a"))
}

func TestPlanTaskPrefersMachineWithFreeResources(t *testing.T) {
	f := newFixture(t)
	addCostlyMachine(f)
	f.run("job-cheap", wire.JobSpec{CPUs: machineCPUs}, f.addMachine("m-2", "a"))
	empty := f.addMachine("m-3", "a")
	planned, err := f.planner(f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.Critical})).planTask()
	if err != nil {
		t.Fatal(err)
	}
	if planned.machine != empty || planned.cost != costWithoutVictims || len(planned.victims) != 0 {
		t.Errorf("machine %s, cost %v, %d victims", planned.machine.ID, planned.cost, len(planned.victims))
	}
}

func TestPlanTaskSelectsCheapestVictims(t *testing.T) {
	f := newFixture(t)
	addCostlyMachine(f)
	cheap := f.addMachine("m-2", "a")
	f.run("job-early", wire.JobSpec{CPUs: machineCPUs - 1, Priority: wire.Normal}, cheap)
	victim := f.run("job-late", wire.JobSpec{}, cheap)[0]
	planned, err := f.planner(f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.Critical})).planTask()
	if err != nil {
		t.Fatal(err)
	}
	if planned.machine != cheap || planned.cost != restartSeconds || len(planned.victims) != 1 || planned.victims[0] != victim {
		t.Errorf("machine %s, cost %v, %d victims", planned.machine.ID, planned.cost, len(planned.victims))
	}
}

// For a latency-sensitive job, a machine without the image costs more, and admission is allowed to
// use it.
func TestPlanTaskOnMachineWithoutImage(t *testing.T) {
	f := newFixture(t)
	f.latencySensitive = true
	addCostlyMachine(f)
	withoutImage := f.addMachineWithoutImages("m-2", "a")
	j := f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.Critical})
	planned, err := f.planner(j).planTask()
	if err != nil {
		t.Fatal(err)
	}
	if planned.machine != withoutImage || planned.cost != missingImageCost || len(planned.victims) != 0 {
		t.Errorf("machine %s, cost %v, %d victims", planned.machine.ID, planned.cost, len(planned.victims))
	}
	if !j.Queue.AllowColdStart || !f.rounds.Start(startOfTerm) {
		t.Error("planTask did not allow a cold start or did not request a scheduling round")
	}
}

// Two plans must not reclaim the same borrowed quota: a listed plan is updated before it is used.
func TestPlanTaskUpdatesStalePlan(t *testing.T) {
	f := newFixture(t, quota.Team{Name: "red", Nominal: quota.Amount{CPUs: 2 * machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}},
		quota.Team{Name: "blue", Nominal: quota.Amount{CPUs: machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}})
	f.run("job-a", wire.JobSpec{Team: "blue", CPUs: machineCPUs}, f.addMachine("m-1", "a"))
	f.run("job-b", wire.JobSpec{Team: "blue", CPUs: machineCPUs}, f.addMachine("m-2", "a"))
	p := f.planner(f.addJob("job-1", wire.JobSpec{CPUs: machineCPUs, Tasks: 2}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoMachine) {
		t.Errorf("planTask = plan with %d victims, error %v, want errNoMachine", len(planned.victims), err)
	}
}

// Two plans must not use the same free resources.
func TestPlanTaskCountsResourcesOfEarlierPlans(t *testing.T) {
	nominal := quota.Amount{CPUs: 2 * machineCPUs} // enough for both tasks, so that the scope does not change
	f := newFixture(t, quota.Team{Name: "red", Nominal: nominal, Limit: nominal})
	f.addMachine("m-1", "a")
	p := f.planner(f.addJob("job-1", wire.JobSpec{Tasks: 2, CPUs: machineCPUs - 1}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoMachine) {
		t.Errorf("planTask = plan of cost %v, error %v, want errNoMachine", planned.cost, err)
	}
}

// Two plans must not use the same quota.
func TestPlanTaskCountsQuotaOfEarlierPlans(t *testing.T) {
	nominal := quota.Amount{CPUs: 1}
	f := newFixture(t, quota.Team{Name: "red", Nominal: nominal, Limit: nominal})
	f.addMachine("m-1", "a")
	p := f.planner(f.addJob("job-1", wire.JobSpec{Tasks: 2}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoQuota) {
		t.Errorf("planTask = plan of cost %v, error %v, want errNoQuota", planned.cost, err)
	}
}

// Once a team's nominal quota is used up, its job must borrow. Plans that were listed within the wider
// scope must not be used then.
func TestPlanTaskListsPlansAgainForNarrowerScope(t *testing.T) {
	one, half := quota.Amount{CPUs: machineCPUs}, quota.Amount{CPUs: machineCPUs / 2}
	f := newFixture(t,
		quota.Team{Name: "blue", Nominal: one, Limit: one},
		quota.Team{Name: "green", Nominal: one, Limit: one, LendingLimit: one},
		quota.Team{Name: "red", Nominal: half, Limit: one})
	f.run("job-low", wire.JobSpec{Team: "blue", CPUs: half.CPUs, Tasks: 2}, f.addMachine("m-1", "a"))
	p := f.planner(f.addJob("job-1", wire.JobSpec{Priority: wire.High, CPUs: half.CPUs, Tasks: 2}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoMachine) {
		t.Errorf("borrowing job has a plan to stop %d tasks within nominal quota, error %v, want errNoMachine", len(planned.victims), err)
	}
}

// A planned replica counts in the zone of its machine, although it is not placed yet.
func TestPlanTaskSpreadsReplicas(t *testing.T) {
	f := newFixture(t)
	f.addMachine("m-1", "a")
	f.addMachine("m-2", "b")
	p := f.planner(f.addJob("job-1", wire.JobSpec{Service: true, Spread: true, Tasks: 2}))
	first, err := p.planTask()
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.planTask()
	if err != nil {
		t.Fatal(err)
	}
	if first.machine.Zone() == second.machine.Zone() {
		t.Errorf("both replicas are planned in zone %s", first.machine.Zone())
	}
}

// If some tasks of a gang cannot be planned, the round must be as it was before. Otherwise quota and
// resources remain counted for tasks that are not planned.
func TestPlanAllTasksRevertsPartOfGang(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m-1", "a")
	f.run("job-low", wire.JobSpec{CPUs: 2}, m)
	p := f.planner(f.addJob("job-1", wire.JobSpec{Team: "blue", Gang: true, CPUs: machineCPUs / 2, Tasks: 3, Priority: wire.High}))
	r := p.round
	free, borrowed := r.machineState(m).ExpectedFree, r.totals.borrowed["red"]
	if _, err := p.planAllTasks(); err == nil {
		t.Fatal("planAllTasks found a plan for three tasks on a machine that fits two")
	}
	if r.machineState(m).ExpectedFree != free {
		t.Errorf("expected free %+v, want %+v", r.machineState(m).ExpectedFree, free)
	}
	if len(r.totals.victims) != 0 || len(r.totals.committed) != 0 || r.totals.borrowed["red"] != borrowed {
		t.Errorf("totals after the failed plan = %+v, want those before", r.totals)
	}
}
