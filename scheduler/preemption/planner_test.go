package preemption

import (
	"errors"
	"testing"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// exhaustQuota uses up the quota of team red.
func exhaustQuota(f *fixture) { f.quotas.Charge("red", quota.Amount{CPUs: 2 * machineCPUs}) }

func TestPlanTaskTellsWhyThereIsNoPlan(t *testing.T) {
	for _, c := range []struct {
		name    string
		job     wire.JobSpec
		prepare func(f *fixture)
		want    error
	}{
		{"quota used up", wire.JobSpec{}, exhaustQuota, errNoQuota},
		{"quota used up and nothing to stop", wire.JobSpec{Priority: wire.High}, exhaustQuota, errNothingPreemptible},
		{"no machine is large enough", wire.JobSpec{CPUs: machineCPUs + 1}, func(*fixture) {}, errNoMachine},
		{"no machine may be used", wire.JobSpec{}, func(f *fixture) { f.unusable["m-1"] = true }, errNoMachine},
		{"only equal work runs", wire.JobSpec{}, func(f *fixture) {
			f.run("job-0", wire.JobSpec{CPUs: machineCPUs - 0.5}, f.state.Machine("m-1"))
		}, errNoMachine},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, quota.Team{Name: "red", Nominal: quota.Amount{CPUs: 2 * machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}})
			f.addMachine("m-1", "a")
			c.prepare(f)
			if _, err := f.planner(f.addJob("job-1", c.job)).planTask(); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// A request for which no machine could make room is not tried again in the round.
func TestInfeasibleRequestIsRemembered(t *testing.T) {
	f := newFixture(t)
	f.addMachine("m-1", "a")
	f.unusable["m-1"] = true
	r := f.policy.newRound(f.state.Machines())
	want := errNoMachine
	for _, j := range []*cluster.Job{f.addJob("job-1", wire.JobSpec{}), f.addJob("job-2", wire.JobSpec{})} {
		p := newPlanner(r, j)
		if _, err := p.planTask(); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", j.ID, err, want)
		}
		want = errKnownInfeasible
	}
	if r.machinesExamined != 1 {
		t.Errorf("%d machines examined", r.machinesExamined)
	}
}

// addCostlyMachine adds a machine that is full with a task which is costly to stop.
func addCostlyMachine(f *fixture) {
	f.t.Helper()
	f.run("job-costly", wire.JobSpec{CPUs: machineCPUs, Priority: wire.High, Service: true}, f.addMachine("m-1", "a"))
}

func TestPlanTaskPrefersMachineWithRoom(t *testing.T) {
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

func TestPlanTaskTakesCheapestVictims(t *testing.T) {
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

// Latency-sensitive work pays for a missing image, and admission is told to do without it.
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
		t.Error("admission is not told to start without the image")
	}
}

// Two plans must not count on the same borrowed quota.
func TestPlanTaskExaminesStalePlanAgain(t *testing.T) {
	f := newFixture(t, quota.Team{Name: "red", Nominal: quota.Amount{CPUs: 2 * machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}},
		quota.Team{Name: "blue", Nominal: quota.Amount{CPUs: machineCPUs}, Limit: quota.Amount{CPUs: 2 * machineCPUs}})
	f.run("job-a", wire.JobSpec{Team: "blue", CPUs: machineCPUs}, f.addMachine("m-1", "a"))
	f.run("job-b", wire.JobSpec{Team: "blue", CPUs: machineCPUs}, f.addMachine("m-2", "a"))
	p := f.planner(f.addJob("job-1", wire.JobSpec{CPUs: machineCPUs, Tasks: 2}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoMachine) {
		t.Errorf("a plan with %d victims, error %v", len(planned.victims), err)
	}
}

// Two plans must not count on the same room.
func TestPlanTaskCountsRoomOfEarlierPlans(t *testing.T) {
	nominal := quota.Amount{CPUs: 2 * machineCPUs} // the claim stays the same
	f := newFixture(t, quota.Team{Name: "red", Nominal: nominal, Limit: nominal})
	f.addMachine("m-1", "a")
	p := f.planner(f.addJob("job-1", wire.JobSpec{Tasks: 2, CPUs: machineCPUs - 1}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoMachine) {
		t.Errorf("a plan of cost %v, error %v", planned.cost, err)
	}
}

// Two plans must not count on the same quota.
func TestPlanTaskCountsQuotaOfEarlierPlans(t *testing.T) {
	nominal := quota.Amount{CPUs: 1}
	f := newFixture(t, quota.Team{Name: "red", Nominal: nominal, Limit: nominal})
	f.addMachine("m-1", "a")
	p := f.planner(f.addJob("job-1", wire.JobSpec{Tasks: 2}))
	if _, err := p.planTask(); err != nil {
		t.Fatal(err)
	}
	if planned, err := p.planTask(); !errors.Is(err, errNoQuota) {
		t.Errorf("a plan of cost %v, error %v", planned.cost, err)
	}
}

// Once a team's nominal quota is used up, its job borrows: plans that a stronger claim
// allowed are of no use then.
func TestPlanTaskFollowsWeakerClaim(t *testing.T) {
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
		t.Errorf("a borrower stops %d tasks within nominal quota, error %v", len(planned.victims), err)
	}
}

// A replica that room was planned for counts in its zone.
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
		t.Errorf("both replicas in zone %s", first.machine.Zone())
	}
}

// A gang for which there is not enough room leaves the round as it found it.
func TestPlanAllTasksTakesBackPartOfAGang(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m-1", "a")
	f.run("job-low", wire.JobSpec{CPUs: 2}, m)
	p := f.planner(f.addJob("job-1", wire.JobSpec{Team: "blue", Gang: true, CPUs: machineCPUs / 2, Tasks: 3, Priority: wire.High}))
	r := p.round
	free, borrowed := r.machineState(m).ExpectedFree, r.totals.borrowed["red"]
	if _, err := p.planAllTasks(); err == nil {
		t.Fatal("room for three tasks on a machine that holds two")
	}
	if r.machineState(m).ExpectedFree != free {
		t.Errorf("expected free %+v, want %+v", r.machineState(m).ExpectedFree, free)
	}
	if len(r.totals.victims) != 0 || len(r.totals.committed) != 0 || r.totals.borrowed["red"] != borrowed {
		t.Errorf("the ledger keeps %+v", r.totals)
	}
}
