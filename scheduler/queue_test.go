package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// Jobs are admitted in the wrong order if priority, age or start time is ignored. Suspended jobs and
// jobs in backoff must not be listed.
func TestWaitingJobsAreOrdered(t *testing.T) {
	h := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: time.Minute}})
	add := func(id ids.JobID, priority wire.Priority, orderMS int64, age time.Duration) *cluster.Job {
		h.submit(id, wire.JobSpec{Class: "c", Tasks: 1, Priority: priority})
		j := h.c.cluster.Job(id)
		j.Queue.OrderMS, j.Queue.ReadyAt = orderMS, h.now.Add(-age)
		return j
	}
	add("job-late", wire.Normal, 30, 0)
	add("job-early", wire.Normal, 20, 0)
	add("job-same", wire.Normal, 20, 0)
	add("job-urgent", wire.High, 90, 0)
	add("job-aged", wire.Normal, 40, 3*time.Minute)
	add("job-backing-off", wire.Critical, 1, 0).Queue.RetryAt = h.now.Add(time.Second)
	add("job-suspended", wire.Critical, 1, 0).Queue.Suspended = true
	h.c.clock.Set(h.now)
	want := []ids.JobID{"job-urgent", "job-aged", "job-early", "job-same", "job-late"}
	waiting := h.c.queue.waitingJobs()
	if len(waiting) != len(want) {
		t.Fatalf("%d jobs wait", len(waiting))
	}
	for i, j := range waiting {
		if j.ID != want[i] {
			t.Errorf("%s is at position %d, want %s", j.ID, i, want[i])
		}
	}
	if first := h.c.queue.starvingFirst(waiting)[0].ID; first != "job-aged" {
		t.Errorf("%s is ordered before the starving job", first)
	}
}

// The list of waiting jobs is kept from round to round. It must always be what sorting all jobs anew gives, also
// after jobs arrived, started, ended, backed off, aged or changed their place.
func TestWaitingJobsStayOrdered(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: 10 * time.Second}})
		for round := range 60 {
			h.now = h.now.Add(time.Second)
			h.c.clock.Set(h.now)
			for n := range rng.IntN(5) {
				h.submit(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), wire.JobSpec{Class: "c", Tasks: 1, Priority: wire.Priority(rng.IntN(3))})
			}
			for _, j := range h.c.cluster.SortedJobs() {
				changeWaitingJob(h, rng, j)
			}
			got := slices.Clone(h.c.queue.waitingJobs())
			want := slices.DeleteFunc(h.c.cluster.SortedJobs(), func(j *cluster.Job) bool { return !admissible(j) || h.now < j.Queue.RetryAt })
			slices.SortFunc(want, h.c.queue.comparison())
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, round %d: %d jobs are listed, %d wait, or their order is wrong", seed, round, len(got), len(want))
			}
		}
	}
}

// changeWaitingJob changes a few jobs in a way that may change their place in the queue.
func changeWaitingJob(h *harness, rng *rand.Rand, j *cluster.Job) {
	switch rng.IntN(40) {
	case 0:
		j.Queue.RetryAt = h.now.Add(time.Duration(rng.IntN(4)) * time.Second)
	case 1:
		j.Queue.OrderMS -= int64(rng.IntN(5))
	case 2:
		h.c.cluster.SetPriority(j, wire.Priority(rng.IntN(3)))
	case 3:
		h.c.cluster.EndJob(j, wire.JobCancelled)
	case 4:
		j.Queue.Suspended = !j.Queue.Suspended
	}
}
