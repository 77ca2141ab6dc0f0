package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// With more than a thousand machines, a round still makes the same decisions as the reference model. Its
// work grows at most with the product of machines and jobs, not with the number of tasks. The test
// counts examined machines rather than measuring time.
func TestAdmissionAtScale(t *testing.T) {
	const machines = 1100
	rng := rand.New(rand.NewPCG(3, 1))
	teams := []quota.Team{
		{Name: "t0", Nominal: quota.Amount{CPUs: 2000}, Limit: quota.Amount{CPUs: 6000}, LendingLimit: quota.Amount{CPUs: 2000}},
		{Name: "t1", Nominal: quota.Amount{CPUs: 3000}, Limit: quota.Amount{CPUs: 9000}, LendingLimit: quota.Amount{CPUs: 3000}},
	}
	h := newHarness(t, Options{Teams: teams})
	h.c.Begin(h.now)
	h.randomMachines(rng, machines)
	jobs, placed := 0, 0
	for range 3 {
		for range 5 {
			spec := wire.JobSpec{Class: "c", Team: teams[rng.IntN(2)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 10 + rng.IntN(12),
				CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, Service: rng.IntN(3) == 0}
			h.submit(ids.JobID(fmt.Sprintf("job-%d", jobs)), spec)
			jobs++
		}
		placed += h.compareWithModel()
	}
	if placed < 100 {
		t.Fatalf("placed %d tasks, want at least 100", placed)
	}
	// All machines twice, for nominal quota and for borrowing, and a few more for each task.
	if limit := uint64((2*jobs+3)*machines + 8*placed); h.c.candidates.examined > limit {
		t.Errorf("examined %d machines for %d jobs and %d tasks, want at most %d", h.c.candidates.examined, jobs, placed, limit)
	}
	// If many equal jobs fit on no machine, each machine is still examined only a few times,
	// because equal requests are not tried twice in a round.
	for n := range 300 {
		h.submit(ids.JobID(fmt.Sprintf("job-w%d", n)), wire.JobSpec{Class: "c", Team: "t0", Tasks: 200, CPUs: 7})
	}
	h.c.scheduleRound()
	before := h.c.candidates.examined
	h.c.scheduleRound()
	if work := h.c.candidates.examined - before; work > 20*machines {
		t.Errorf("a round in which no job fits examined %d machines, want at most 20 times their number", work)
	}
}

// While a zone is partitioned, hundreds of services that are pinned to it may wait. They must not
// end the round before the arrays behind them in the queue are placed on idle machines.
func TestInfeasibleJobsDoNotEndTheRound(t *testing.T) {
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 6400}, Limit: quota.Amount{CPUs: 6400}}}})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	for n := range 300 { // more than MaxSkippedJobs; there is no machine in zone b
		h.submit(ids.JobID(fmt.Sprintf("job-s%d", n)), wire.JobSpec{Tasks: 1 + n%3, Service: true, Zone: "b", Priority: wire.Critical})
	}
	h.submit("job-array", wire.JobSpec{Tasks: 2, Priority: wire.Normal})
	h.step()
	if n := len(h.c.cluster.Job("job-array").Active()); n != 2 {
		t.Fatalf("placed %d tasks of the array, want 2", n)
	}
}
