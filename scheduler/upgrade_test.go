package scheduler

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Limits of the store during the upgrade days.
const (
	upgradeValueBytes = 170
	upgradeTxnOps     = 4
	// upgradeRound is the round in which the last old leader is replaced.
	upgradeRound = 10
)

// TestUpgradeUnderFaults plays fleets through an upgrade. First leaders of the old version
// and new ones take turns: they write alike, so the old is played by a core that knows no
// limits. Then all are new, and jobs depend on others; then the limits of the store fall, at
// any moment, and leaders fail over between any two steps. Nothing written may then be too
// large, though old records are; no task may be in two records or in none; and all work
// completes.
func TestUpgradeUnderFaults(t *testing.T) {
	const days = 24
	var split atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				d := newUpgradeDay(t, 1000+seed)
				for round := range 30 {
					d.playRound(round)
				}
				d.lowerStoreLimits()
				d.runToCompletion(d.all, 40*time.Minute)
				d.checkCancelledDependents(d.all)
				if d.oversizedChanges > 0 {
					t.Errorf("%d changes were beyond the limits", d.oversizedChanges)
				}
				split.Add(int64(d.splitRecords))
			})
		}
	})
	if n := split.Load(); n < days {
		t.Errorf("only %d records were split", n)
	}
}

// upgradeDay is a day on which the controllers are upgraded.
type upgradeDay struct {
	*sim
	all []ids.JobID
}

func newUpgradeDay(t *testing.T, seed uint64) *upgradeDay {
	d := &upgradeDay{sim: newSim(t, seed)}
	d.opt.SliceTasks, d.opt.MaxTxnOps = 16, upgradeTxnOps
	d.failOver()
	d.unsplitRecordsOnly = true
	return d
}

// lowerStoreLimits has the store take no more than small changes.
func (d *upgradeDay) lowerStoreLimits() { d.valueBytes, d.txnOps = upgradeValueBytes, upgradeTxnOps }

// playRound changes versions, leaders and limits as the round has it, and submits jobs.
func (d *upgradeDay) playRound(round int) {
	switch round {
	case upgradeRound:
		d.completeUpgrade()
	case upgradeRound + 1 + d.rng.IntN(6):
		d.lowerStoreLimits()
	}
	if round < upgradeRound && d.rng.IntN(3) == 0 {
		d.opt.MaxValueBytes = []int{0, upgradeValueBytes}[d.rng.IntN(2)] // an old leader, or a new one
		d.failOver()
	}
	if d.rng.IntN(5) == 0 {
		d.failOver()
	}
	for range 1 + d.rng.IntN(2) {
		id := ids.JobID(fmt.Sprintf("job-%03d", len(d.all)))
		d.submit(id, d.spec(round))
		d.all = append(d.all, id)
	}
	if d.rng.IntN(8) == 0 {
		d.cancel(d.all[d.rng.IntN(len(d.all))])
	}
	d.run(time.Duration(1+d.rng.IntN(6)) * time.Second)
}

// completeUpgrade replaces the last old leader and allows split records.
func (d *upgradeDay) completeUpgrade() {
	d.opt.MaxValueBytes = upgradeValueBytes
	if d.core.opt.MaxValueBytes == 0 {
		d.failOver()
	}
	d.unsplitRecordsOnly, d.opt.SplitRecords = false, true
	d.core.EnableSplitRecords(d.now)
}

// spec is a random job. Arrays have many small tasks; dependencies need the new version.
func (d *upgradeDay) spec(round int) *wire.JobSpec {
	spec := d.randomSpec()
	if round > upgradeRound {
		spec = d.waitingSpec(d.all)
	}
	if !spec.Service && !spec.Gang {
		spec.Tasks, spec.CPUs = 20+d.rng.IntN(30), 1
	}
	return spec
}

// The limits of the store fall below the configured ones: a change that is too large is rejected
// for good. Only its job waits for it, and it is not sent for ever.
func TestRejectedChangeDelaysNoOtherJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.submit("job-1", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	b.heartbeat("n-1", "a", 0)
	sent := func(e Decisions, job ids.JobID) (out []records.Change) {
		for _, ch := range e.RecordChanges {
			if len(ch.Operations) > 0 && ch.Preconditions[0].Key == records.JobKey(job) {
				out = append(out, ch)
			}
		}
		return out
	}
	tries := 0
	for range 3000 {
		for _, ch := range sent(b.c.Step(b.now), "job-1") {
			tries++
			b.c.CommitResult(b.now, records.CommitResult{Change: ch, Err: records.ErrRejected})
		}
		b.now = b.now.Add(500 * time.Millisecond)
		b.heartbeat("n-1", "a", 0)
	}
	if tries < 2 || tries > maxRefusals {
		t.Errorf("the change was sent %d times in 25 minutes", tries)
	}
	b.submit("job-2", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	if got := sent(b.c.Step(b.now), "job-2"); len(got) != 1 {
		t.Errorf("the next job wrote %d changes", len(got))
	}
	if _, known := b.c.Progress("job-1"); !known {
		t.Error("the job is forgotten")
	}
	b.c.EnableSplitRecords(b.now)
	b.now = b.now.Add(time.Minute)
	b.heartbeat("n-1", "a", 0)
	if got := sent(b.c.Step(b.now), "job-1"); len(got) != 1 {
		t.Errorf("once records may be split, it wrote %d changes", len(got))
	}
}

// Two jobs compete for one machine, and others depend on each. The one that is preempted must
// not preempt the other in turn, and a job without dependents has its own priority again.
func TestPriorityPropagatesToDependencies(t *testing.T) {
	b := newHarness(t, Options{})
	low := wire.JobSpec{Team: "red", Tasks: 1, CPUs: 8, MemoryGB: 1}
	last := low
	last.Priority, last.DependsOn = wire.High, []ids.JobID{"job-1"}
	other := low
	other.Priority = wire.Normal
	b.submit("job-1", low)
	b.submit("job-2", last)
	b.submit("job-3", other)
	first := b.c.cluster.Job("job-1")
	if first.Priority() != wire.High {
		t.Fatalf("the first job has priority %d", first.Priority())
	}
	b.heartbeat("n-1", "a", 0)
	b.step()
	if len(first.Active()) != 1 || len(b.c.cluster.Job("job-2").Active()) != 0 {
		t.Fatal("the first job of the pipeline must go first, the last not at all")
	}
	on := b.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.High}]
	if on.Staying != 1 {
		t.Errorf("counted %+v", on)
	}
	b.c.ObserveJob(b.now, "job-2", &records.Job{Status: wire.JobCancelled, Tasks: 1}, 999)
	if first.Priority() != wire.BestEffort || b.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.High}].Staying != 0 || b.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.BestEffort}].Staying != 1 {
		t.Errorf("after the last job is gone the first has priority %d, counted %+v", first.Priority(), b.c.cluster.Workloads())
	}
}

// While a split is in flight its tasks go on: a task that is placed meanwhile belongs to one of
// the parts, and would wait for ever if that part were not written again.
func TestPlacedWhileTheRecordIsSplit(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{MaxValueBytes: 50, SplitRecords: true}})
	b.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 4, MemoryGB: 1})
	b.heartbeat("n-1", "a", 0)
	split := b.c.Step(b.now).RecordChanges
	if len(split) != 1 || len(split[0].Operations) < 2 {
		t.Fatalf("changes %+v", split)
	}
	b.now = b.now.Add(time.Second)
	b.heartbeat("n-2", "a", 0)
	b.step()
	b.c.CommitResult(b.now, records.CommitResult{Change: split[0], Revision: 500})
	var runs []string
	for _, h := range []ids.MachineID{"n-1", "n-2"} {
		b.step()
		runs = append(runs, commandsWith(b.heartbeat(h, "a", 0).Commands, wire.VerbRun)...)
	}
	if len(runs) != 4 {
		t.Errorf("started %v", runs)
	}
}

// A record that was too large when it could not be split is split once that is allowed, without
// another event of its tasks.
func TestLargeRecordsAreSplitAfterTheUpgrade(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{MaxValueBytes: 50}})
	b.submit("job-1", wire.JobSpec{Tasks: 2, CPUs: 4, MemoryGB: 1, Service: true})
	b.heartbeat("n-1", "a", 0)
	if e := b.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 1 {
		t.Fatalf("changes %+v", e.RecordChanges)
	}
	b.c.EnableSplitRecords(b.now)
	b.now = b.now.Add(simAgentLease / 2)
	if e := b.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 2 {
		t.Errorf("changes %+v", e.RecordChanges)
	}
}

// When a zone is lost, thousands of placements wait for the write rate. A completed job must
// not wait behind them, as its user and its dependents wait for it.
func TestCompletionsAreWrittenFirst(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4096}, Limit: quota.Amount{CPUs: 4096}}}, RecordOptions: RecordOptions{WriteRate: 4}})
	b.submit("job-0", wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Normal})
	b.heartbeat("n-0", "a", 0)
	b.step()
	b.now = b.now.Add(time.Second)
	for n := range 60 {
		b.submit(ids.JobID(fmt.Sprintf("job-1%02d", n)), wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Critical})
		b.heartbeat(ids.MachineID(fmt.Sprintf("n-1%02d", n)), "a", 0)
	}
	b.step()
	b.heartbeat("n-0", "a", 0, wire.TaskStatus{Name: "job-0/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseDone})
	for range 8 {
		b.now = b.now.Add(250 * time.Millisecond)
		b.step()
	}
	if s := b.c.jobRecords.graph.ReadinessOf("job-0").State; s != dependency.Done {
		t.Errorf("after 2 s the job is %d", s)
	}
	if len(b.c.records.dirty) == 0 {
		t.Error("no placement waited")
	}
}
