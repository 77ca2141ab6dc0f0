package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A job of higher priority preempts tasks of its own team if the team is at its limit, but no more
// tasks than it needs.
func TestPreemptsWithinTeamAtItsLimit(t *testing.T) {
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4}, Limit: quota.Amount{CPUs: 4}}}})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-low", wire.JobSpec{Tasks: 2, Priority: wire.Normal})
	h.step()
	o := h.heartbeat("n-1", "a", 0)
	var statuses []wire.TaskStatus
	for i := range 2 {
		statuses = append(statuses, wire.TaskStatus{Name: fmt.Sprintf("job-low/%d", i), Attempt: 1, State: wire.TaskRunning})
	}
	h.heartbeat("n-1", "a", o.FencingToken, statuses...)
	h.submit("job-high", wire.JobSpec{Tasks: 1, Priority: wire.High})
	h.step()
	o = h.heartbeat("n-1", "a", o.FencingToken, statuses...)
	kills := commandsWith(o.Commands, wire.VerbKill)
	if len(kills) != 1 {
		t.Fatalf("kill commands %v, want one", kills)
	}
	i := slices.IndexFunc(statuses, func(s wire.TaskStatus) bool { return s.Name+"#1" == kills[0] })
	statuses[i].State, statuses[i].Cause = wire.TaskEnded, wire.CauseStopped
	h.heartbeat("n-1", "a", o.FencingToken, statuses...)
	h.step()
	if h.c.cluster.Job("job-high").Task(0).Assignment() == nil {
		t.Fatal("the job of higher priority was not placed")
	}
}

// Admission and preemption must agree on the order of jobs. Otherwise a task may be placed and
// preempted thousands of times. This happens if borrowing jobs preempt tasks within their team's
// nominal quota. It also happens if tasks are preempted for a second replica in a zone in which the
// spread allows only the first.
func TestNoTaskIsRepeatedlyPlacedAndPreempted(t *testing.T) {
	preempted := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		teams := randomTeams(rng, func() float64 { return 1 })
		h := newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
		h.c.Begin(h.now)
		h.randomMachines(rng, 1+rng.IntN(5))
		for round := range 4 {
			for n := range rng.IntN(5) {
				h.submit(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), randomPreemptionSpec(rng, teams))
			}
			before := h.attempts()
			settled := h.attemptsAfterRounds(8)
			if now := h.attemptsAfterRounds(8); now != settled {
				t.Fatalf("seed %d round %d: %d attempts at first, then %d, then %d, without any event", seed, round, before, settled, now)
			}
		}
		for _, j := range h.c.cluster.Jobs() {
			if j.Queue.RetryAt > 0 {
				preempted++
			}
		}
	}
	if preempted == 0 {
		t.Fatal("no task was preempted: the scenario is ineffective")
	}
}

// randomPreemptionSpec returns a random job of one of three teams, which may be latency-sensitive.
func randomPreemptionSpec(rng *rand.Rand, teams []quota.Team) wire.JobSpec {
	spec := wire.JobSpec{Class: []string{"hasty", "calm"}[rng.IntN(2)], Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(4)),
		Tasks: 1 + rng.IntN(5), CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, OneZone: rng.IntN(5) == 0}
	spec.Service = rng.IntN(3) == 0
	spec.Gang = !spec.Service && rng.IntN(4) == 0
	return spec
}

// attempts returns the sum of the attempts of all tasks.
func (h *harness) attempts() int {
	sum := 0
	for _, j := range h.c.cluster.Jobs() {
		for i := range j.Tasks() {
			sum += int(j.Task(i).Attempt())
		}
	}
	return sum
}

// attemptsAfterRounds runs scheduling rounds and returns the sum of the attempts of all tasks.
func (h *harness) attemptsAfterRounds(rounds int) int {
	for range rounds {
		h.c.rounds.MarkDue()
		h.step()
	}
	return h.attempts()
}
