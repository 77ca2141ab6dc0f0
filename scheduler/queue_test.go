package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
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

// The jobs that wait are kept from round to round, in groups. The list of all of them must always be what sorting
// all jobs anew gives, also after jobs arrived, ended, backed off, aged or changed their place. The list of a round
// may lack only jobs behind enough others from which nothing but the order distinguishes them.
func TestWaitingJobsStayOrdered(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: 10 * time.Second}})
		h.c.queue.groups.maxListed = 3
		var listed []*cluster.Job
		for round := range 60 {
			h.now = h.now.Add(400 * time.Millisecond)
			h.c.clock.Set(h.now)
			for n := range rng.IntN(6) {
				h.submit(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), wire.JobSpec{Class: "c", Tasks: 1, Priority: wire.Priority(rng.IntN(2)), CPUs: float64(1 + rng.IntN(2))})
			}
			for _, j := range h.c.cluster.SortedJobs() {
				h.changeWaitingJob(rng, j, slices.Contains(listed, j))
			}
			listed = slices.Clone(h.c.queue.waitingJobs())
			h.checkListed(listed)
		}
	}
}

// changeWaitingJob changes a few jobs in a way that may change their place in the queue. Jobs that were not listed
// change only as the records of jobs change them.
func (h *harness) changeWaitingJob(rng *rand.Rand, j *cluster.Job, listed bool) {
	switch change := rng.IntN(40); {
	case change == 0:
		h.c.cluster.SetPriority(j, wire.Priority(rng.IntN(2)))
	case change == 1:
		h.c.cluster.EndJob(j, wire.JobCancelled)
	case change == 2:
		j.Queue.OrderMS -= int64(rng.IntN(5))
		h.c.cluster.MarkWaiting(j)
	case change == 3 && len(j.Active()) > 0 && !j.Terminal():
		h.c.cluster.Release(j.Active()[0])
	case listed && !j.Terminal():
		h.changeListedJob(change, j)
	}
}

// changeListedJob starts a job, suspends it or has it wait.
func (h *harness) changeListedJob(change int, j *cluster.Job) {
	switch change {
	case 4:
		h.c.cluster.Assign(j, 0, h.c.cluster.EnsureMachine("n-1"))
		h.c.cluster.Admit(j, 1)
	case 5:
		j.Queue.RetryAt = h.now.Add(2 * time.Second)
		h.c.cluster.MarkWaiting(j) // it has started, and was marked then
	case 6:
		j.Queue.Suspended = !j.Queue.Suspended
		h.c.cluster.MarkWaiting(j)
	}
}

// checkListed checks the list of a round and the list of all waiting jobs against all jobs.
func (h *harness) checkListed(listed []*cluster.Job) {
	h.t.Helper()
	compare := h.c.queue.comparison()
	waiting := slices.DeleteFunc(h.c.cluster.SortedJobs(), func(j *cluster.Job) bool { return !h.c.queue.waiting(j) })
	slices.SortFunc(waiting, compare)
	if !slices.IsSortedFunc(listed, compare) {
		h.t.Fatal("the jobs are not in order")
	}
	ahead := map[waitingGroupKey]int{} // listed jobs by key
	missing := 0
	for _, j := range waiting {
		switch key := waitingGroupKeyOf(j); {
		case slices.Contains(listed, j):
			ahead[key]++
		case !groupable(j) || ahead[key] < h.c.queue.groups.maxListed:
			h.t.Fatalf("%s is not listed behind %d others", j.ID, ahead[key])
		default:
			missing++
		}
	}
	if len(listed)+missing != len(waiting) {
		h.t.Fatalf("%d jobs are listed and %d are behind them, but %d wait", len(listed), missing, len(waiting))
	}
	if all := h.c.queue.allWaitingJobs(); !slices.Equal(all, waiting) {
		h.t.Fatalf("%d jobs are in the list of all, %d wait, or their order is wrong", len(all), len(waiting))
	}
}

// When all jobs that a round has listed are placed, the next round is due for those behind them. Otherwise they
// would wait for an unrelated event.
func TestJobsBehindListedOnesFollow(t *testing.T) {
	const jobs = 1000
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 1000}, Limit: quota.Amount{CPUs: 1000}}}})
	h.c.Begin(h.now)
	for n := range 6 {
		h.heartbeat(ids.MachineID(fmt.Sprintf("n-%d", n)), "a", 0)
	}
	for n := range jobs {
		h.submit(ids.JobID(fmt.Sprintf("job-%04d", n)), wire.JobSpec{Class: "c", Tasks: 1, CPUs: 0.01})
	}
	for range jobs/maxListedPerGroup + 1 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.c.Step(h.now) // without the results of its changes, which are events
	}
	if waiting := len(h.c.queue.allWaitingJobs()); waiting > 0 {
		t.Errorf("%d of %d jobs wait", waiting, jobs)
	}
}
