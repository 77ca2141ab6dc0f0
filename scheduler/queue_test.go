package scheduler

import (
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
