package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// Tests of the core's parts by themselves.

func TestEstimatesFollowWhatTasksTook(t *testing.T) {
	e := &runEstimates{estimateFactors: map[string]float64{}}
	spec := &wire.JobSpec{Class: "c", EstimateS: 10}
	if got := e.expectedRun(spec); got != 10*time.Second {
		t.Errorf("nothing seen: %v", got)
	}
	e.recordRun(spec, 20*time.Second)
	if got := e.expectedRun(spec); got != 20*time.Second {
		t.Errorf("one seen: %v", got)
	}
	for range 300 {
		e.recordRun(spec, 5*time.Second)
	}
	if got := e.expectedRun(spec); got < 5*time.Second || got > 5500*time.Millisecond {
		t.Errorf("most took half: %v", got)
	}
	e.recordRun(&wire.JobSpec{Class: "d"}, time.Hour) // no estimate, nothing to learn
	if got := e.expectedRun(&wire.JobSpec{Class: "d", EstimateS: 10}); got != 10*time.Second {
		t.Errorf("another class: %v", got)
	}
}

func TestClassDemandForgets(t *testing.T) {
	const slot = demandWindow / 4
	p := &classDemand{}
	p.advance(monotonic.Instant(slot))
	p.peaks[p.slot%4] = 7
	p.jobs[p.slot%4], p.tasks[p.slot%4] = 4, 12
	if got := p.expectedArrivals(demandWindow); got < 12 || got > 31 {
		t.Errorf("12 tasks of 4 jobs in a window: %v to come in another", got)
	}
	for after, peak := range map[time.Duration]int{slot: 7, 3 * slot: 7, 4 * slot: 0, 40 * slot: 0} {
		later := *p
		later.advance(monotonic.Instant(slot + after))
		if got := later.peakTasks(); got != peak {
			t.Errorf("%v later the peak is %d, want %d", after, got, peak)
		}
		if got := later.expectedArrivals(slot); (got > 0) != (peak > 0) {
			t.Errorf("%v later %v tasks are expected", after, got)
		}
	}
}

// The fewer machines a zone has, the longer it may be silent by chance; and while nobody
// is heard at all it is rather this node's network.
func TestZonesFallSilent(t *testing.T) {
	now := monotonic.Instant(time.Hour)
	for _, c := range []struct {
		name        string
		machines    int
		silent      time.Duration
		othersHeard time.Duration // ago
		partitioned bool
	}{
		{"many machines, a moment", 100, 2 * time.Second, 0, false},
		{"many machines, longer than by chance", 100, 3 * time.Second, 0, true},
		{"a few machines, the same time", 5, 3 * time.Second, 0, false},
		{"a few machines, longer", 5, 9 * time.Second, 0, true},
		{"too few to tell", 3, time.Minute, 0, false},
		{"nobody is heard", 100, 9 * time.Second, 9 * time.Second, false},
		{"for so long that it is given up", 100, zoneOutageLimit, 0, false},
	} {
		b := newHarness(t, Options{})
		hm := b.c.health
		b.c.clock.Set(now)
		hm.lastHeard = now.Add(-c.othersHeard)
		hm.zoneStates["a"] = &zoneState{lastHeard: now.Add(-c.silent), machinesUp: c.machines}
		if got := hm.zonePartitioned("a"); got != c.partitioned {
			t.Errorf("%s: %v", c.name, got)
		}
		// What this process slept through is nobody's silence.
		b.c.clock.Advance(now) // the first step after a long pause
		if hm.zonePartitioned("a") {
			t.Errorf("%s: just after a pause", c.name)
		}
	}
}

func TestWaitingJobsAreOrdered(t *testing.T) {
	b := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: time.Minute}})
	add := func(id ids.JobID, priority wire.Priority, orderMS int64, age time.Duration) *cluster.Job {
		b.job(id, wire.JobSpec{Class: "c", Tasks: 1, Priority: priority})
		j := b.c.cluster.Job(id)
		j.Queue.OrderMS, j.Queue.ReadyAt = orderMS, b.now.Add(-age)
		return j
	}
	add("job-late", wire.Normal, 30, 0)
	add("job-early", wire.Normal, 20, 0)
	add("job-same", wire.Normal, 20, 0)
	add("job-urgent", wire.High, 90, 0)
	add("job-aged", wire.Normal, 40, 3*time.Minute)
	add("job-backing-off", wire.Critical, 1, 0).Queue.RetryAt = b.now.Add(time.Second)
	add("job-suspended", wire.Critical, 1, 0).Queue.Suspended = true
	b.c.clock.Set(b.now)
	want := []ids.JobID{"job-urgent", "job-aged", "job-early", "job-same", "job-late"}
	waiting := b.c.queue.waitingJobs()
	if len(waiting) != len(want) {
		t.Fatalf("%d jobs wait", len(waiting))
	}
	for i, j := range waiting {
		if j.ID != want[i] {
			t.Errorf("%s is number %d, want %s", j.ID, i, want[i])
		}
	}
	if first := b.c.queue.starvingFirst(waiting)[0].ID; first != "job-aged" {
		t.Errorf("%s goes before those that starve", first)
	}
}

func TestWriteBudget(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{WriteRate: 10}})
	w := b.c.records
	for _, c := range []struct {
		name   string
		budget float64
		passed time.Duration
		allows bool
		after  float64
	}{
		{"spent", 0, 0, false, 0},
		{"a part of a write", 0, 50 * time.Millisecond, false, 0.5},
		{"one write", 0, 100 * time.Millisecond, true, 1},
		{"no more than a second's worth", 9, time.Hour, true, 10},
	} {
		b.c.clock.Set(b.now)
		w.writeBudget, w.budgetRefilledAt = c.budget, b.now.Add(-c.passed)
		w.refillBudget()
		if w.mayWrite() != c.allows || w.writeBudget != c.after {
			t.Errorf("%s: allows a write: %v, budget %v", c.name, w.mayWrite(), w.writeBudget)
		}
	}
	if b := newHarness(t, Options{}); !b.c.records.mayWrite() {
		t.Error("no rate, no write")
	}
}
