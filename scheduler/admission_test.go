package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// At over a thousand machines the round is still that of the plain model, and
// its work grows with machines times jobs at most, not times tasks. Work is
// counted, not timed.
func TestAdmissionAtScale(t *testing.T) {
	const machines = 1100
	rng := rand.New(rand.NewPCG(3, 1))
	teams := []quota.Team{
		{Name: "t0", Nominal: quota.Amount{CPUs: 2000}, Limit: quota.Amount{CPUs: 6000}, LendingLimit: quota.Amount{CPUs: 2000}},
		{Name: "t1", Nominal: quota.Amount{CPUs: 3000}, Limit: quota.Amount{CPUs: 9000}, LendingLimit: quota.Amount{CPUs: 3000}},
	}
	b := newHarness(t, Options{Teams: teams})
	b.c.Begin(b.now)
	b.randomMachines(rng, machines)
	jobs, placed := 0, 0
	for range 3 {
		for range 5 {
			spec := wire.JobSpec{Class: "c", Team: teams[rng.IntN(2)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 10 + rng.IntN(12),
				CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, Service: rng.IntN(3) == 0}
			b.job(ids.JobID(fmt.Sprintf("job-%d", jobs)), spec)
			jobs++
		}
		placed += b.samePass()
	}
	if placed < 100 {
		t.Fatalf("only %d tasks placed", placed)
	}
	// Two looks around, for the guarantee and for borrowing, and a few more
	// for each task.
	if most := uint64((2*jobs+3)*machines + 8*placed); b.c.candidates.examined > most {
		t.Errorf("looked at %d machines for %d jobs and %d tasks, at most %d", b.c.candidates.examined, jobs, placed, most)
	}
	// Work that finds no room costs no more than a look around, however many
	// wait: those alike are not tried twice.
	for n := range 300 {
		b.job(ids.JobID(fmt.Sprintf("job-w%d", n)), wire.JobSpec{Class: "c", Team: "t0", Tasks: 200, CPUs: 7})
	}
	b.c.scheduleRound()
	before := b.c.candidates.examined
	b.c.scheduleRound()
	if work := b.c.candidates.examined - before; work > 20*machines {
		t.Errorf("a pass without room looked at %d machines", work)
	}
}

// A job of higher priority makes room inside its own team when the team is at
// its limit, and stops no more than it needs.
func TestPreemptsInsideATeamAtItsLimit(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4}, Limit: quota.Amount{CPUs: 4}}}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-low", wire.JobSpec{Tasks: 2, Priority: wire.Normal})
	b.step()
	o := b.report("n-1", "a", 0)
	var shown []wire.TaskStatus
	for i := range 2 {
		shown = append(shown, wire.TaskStatus{Name: fmt.Sprintf("job-low/%d", i), Attempt: 1, State: wire.TaskRunning})
	}
	b.report("n-1", "a", o.FencingToken, shown...)
	b.job("job-high", wire.JobSpec{Tasks: 1, Priority: wire.High})
	b.step()
	o = b.report("n-1", "a", o.FencingToken, shown...)
	kills := verbs(o.Commands, wire.VerbKill)
	if len(kills) != 1 {
		t.Fatalf("killed: %v", kills)
	}
	i := slices.IndexFunc(shown, func(s wire.TaskStatus) bool { return s.Name+"#1" == kills[0] })
	shown[i].State, shown[i].Cause = wire.TaskEnded, wire.CauseStopped
	b.report("n-1", "a", o.FencingToken, shown...)
	b.step()
	if b.c.cluster.Job("job-high").Task(0).Assignment() == nil {
		t.Fatal("the higher job did not get the room")
	}
}

// Admission and the search for victims must agree on who goes first. Where
// they did not, a task was placed and stopped thousands of times: borrowers
// stopped work within its guarantee, and room for a second replica was made in
// the zone that only the first may use.
func TestNoTaskIsPlacedAndStoppedOverAndOver(t *testing.T) {
	stopped := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		teams := randomTeams(rng, func() float64 { return 1 })
		b := newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
		b.c.Begin(b.now)
		b.randomMachines(rng, 1+rng.IntN(5))
		for round := range 4 {
			for n := range rng.IntN(5) {
				spec := wire.JobSpec{Class: []string{"hasty", "calm"}[rng.IntN(2)], Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(4)),
					Tasks: 1 + rng.IntN(5), CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, OneZone: rng.IntN(5) == 0}
				spec.Service = rng.IntN(3) == 0
				spec.Gang = !spec.Service && rng.IntN(4) == 0
				b.job(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), spec)
			}
			attempts := func() (sum int) {
				for _, j := range b.c.cluster.Jobs() {
					for i := range j.Tasks() {
						sum += int(j.Task(i).Attempt())
					}
				}
				return sum
			}
			before := attempts()
			for range 8 {
				b.c.rounds.MarkDue()
				b.step()
			}
			settled := attempts()
			for range 8 {
				b.c.rounds.MarkDue()
				b.step()
			}
			if now := attempts(); now != settled {
				t.Fatalf("seed %d round %d: %d attempts at first, then %d, then %d, with nothing happening", seed, round, before, settled, now)
			}
		}
		for _, j := range b.c.cluster.Jobs() {
			if j.Queue.RetryAt > 0 {
				stopped++
			}
		}
	}
	if stopped == 0 {
		t.Fatal("nothing was ever stopped, so nothing was tested")
	}
}

// With a zone cut off, hundreds of services waited for it, and each round ended
// with them: arrays behind them waited beside idle machines.
func TestJobsWithoutRoomDoNotEndTheRound(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 6400}, Limit: quota.Amount{CPUs: 6400}}}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	for n := range 300 { // more than pass_over; there is no machine in zone b
		b.job(ids.JobID(fmt.Sprintf("job-s%d", n)), wire.JobSpec{Tasks: 1 + n%3, Service: true, Zone: "b", Priority: wire.Critical})
	}
	b.job("job-array", wire.JobSpec{Tasks: 2, Priority: wire.Normal})
	b.step()
	if n := len(b.c.cluster.Job("job-array").Active()); n != 2 {
		t.Fatalf("%d tasks of the array were placed", n)
	}
}
