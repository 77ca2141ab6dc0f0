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

// Limits of the key-value store during the simulated upgrades.
const (
	upgradeValueBytes = 170
	upgradeTxnOps     = 4
	// upgradeCompletedRound is the round in which the last leader of the old version is replaced.
	upgradeCompletedRound = 10
)

// TestUpgradeUnderFaults simulates fleets during an upgrade. First, leaders of the old and the new
// version alternate. Both write records in the same form, so a core without limits simulates the old
// version. Then all leaders are new, and jobs depend on others. Then the limits of the key-value store are
// lowered at a random time, and leaders fail over between any two steps. From then on no change may
// exceed the limits, although old records do; no task may be in two records or in none; and all jobs
// must complete.
func TestUpgradeUnderFaults(t *testing.T) {
	const simulations = 24
	var split atomic.Int64
	t.Run("simulations", func(t *testing.T) {
		for seed := range uint64(simulations) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := newUpgradeSim(t, 1000+seed)
				for round := range 30 {
					s.runRound(round)
				}
				s.lowerStoreLimits()
				s.runToCompletion(s.all, 40*time.Minute)
				s.checkCancelledDependents(s.all)
				if s.oversizedChanges > 0 {
					t.Errorf("%d changes exceeded the limits of the key-value store", s.oversizedChanges)
				}
				split.Add(int64(s.splitRecords))
			})
		}
	})
	if n := split.Load(); n < simulations {
		t.Errorf("only %d records were split", n)
	}
}

// upgradeSim simulates a fleet while the controllers are upgraded.
type upgradeSim struct {
	*sim
	// all holds the jobs that were submitted.
	all []ids.JobID
}

func newUpgradeSim(t *testing.T, seed uint64) *upgradeSim {
	s := &upgradeSim{sim: newSim(t, seed)}
	s.opt.SliceTasks, s.opt.MaxTxnOps = 16, upgradeTxnOps
	s.failOver()
	s.unsplitRecordsOnly = true
	return s
}

// lowerStoreLimits makes the key-value store accept only small changes.
func (s *upgradeSim) lowerStoreLimits() { s.valueBytes, s.txnOps = upgradeValueBytes, upgradeTxnOps }

// runRound simulates a round: it changes versions, leaders and limits as the round requires, and submits
// jobs.
func (s *upgradeSim) runRound(round int) {
	switch round {
	case upgradeCompletedRound:
		s.completeUpgrade()
	case upgradeCompletedRound + 1 + s.rng.IntN(6):
		s.lowerStoreLimits()
	}
	if round < upgradeCompletedRound && s.rng.IntN(3) == 0 {
		s.opt.MaxValueBytes = []int{0, upgradeValueBytes}[s.rng.IntN(2)] // an old or a new version
		s.failOver()
	}
	if s.rng.IntN(5) == 0 {
		s.failOver()
	}
	for range 1 + s.rng.IntN(2) {
		id := ids.JobID(fmt.Sprintf("job-%03d", len(s.all)))
		s.submit(id, s.spec(round))
		s.all = append(s.all, id)
	}
	if s.rng.IntN(8) == 0 {
		s.cancel(s.all[s.rng.IntN(len(s.all))])
	}
	s.run(time.Duration(1+s.rng.IntN(6)) * time.Second)
}

// completeUpgrade replaces the last leader of the old version and allows split records.
func (s *upgradeSim) completeUpgrade() {
	s.opt.MaxValueBytes = upgradeValueBytes
	if s.core.opt.MaxValueBytes == 0 {
		s.failOver()
	}
	s.unsplitRecordsOnly, s.opt.SplitRecords = false, true
	s.core.EnableSplitRecords(s.now)
}

// spec returns a random job. Arrays have many small tasks. Jobs have dependencies only after the
// upgrade, since dependencies need the new version.
func (s *upgradeSim) spec(round int) *wire.JobSpec {
	spec := s.randomSpec()
	if round > upgradeCompletedRound {
		spec = s.randomSpecWithDependencies(s.all)
	}
	if !spec.Service && !spec.Gang {
		spec.Tasks, spec.CPUs = 20+s.rng.IntN(30), 1
	}
	return spec
}

// If the limits of the key-value store fall below the configured limits, a change that is too large is
// rejected permanently. It must not be retried indefinitely, and must delay no job but its own.
func TestRejectedChangeDelaysNoOtherJob(t *testing.T) {
	h := newHarness(t, Options{})
	h.submit("job-1", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	h.heartbeat("n-1", "a", 0)
	sent := func(e Decisions, job ids.JobID) (out []records.Change) {
		for _, ch := range e.RecordChanges {
			if len(ch.Operations) > 0 && ch.Preconditions[0].Key == records.JobKey(job) {
				out = append(out, ch)
			}
		}
		return out
	}
	attempts := 0
	for range 3000 {
		for _, ch := range sent(h.c.Step(h.now), "job-1") {
			attempts++
			h.c.CommitResult(h.now, records.CommitResult{Change: ch, Err: records.ErrRejected})
		}
		h.now = h.now.Add(500 * time.Millisecond)
		h.heartbeat("n-1", "a", 0)
	}
	if attempts < 2 || attempts > maxRefusals {
		t.Errorf("the change was sent %d times in 25 minutes", attempts)
	}
	h.submit("job-2", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	if got := sent(h.c.Step(h.now), "job-2"); len(got) != 1 {
		t.Errorf("the next job wrote %d changes, want 1", len(got))
	}
	if _, known := h.c.Progress("job-1"); !known {
		t.Error("the progress of the delayed job is unknown")
	}
	h.c.EnableSplitRecords(h.now)
	h.now = h.now.Add(time.Minute)
	h.heartbeat("n-1", "a", 0)
	if got := sent(h.c.Step(h.now), "job-1"); len(got) != 1 {
		t.Errorf("after splitting was enabled, the job wrote %d changes, want 1", len(got))
	}
}

// A job takes the priority of the jobs that depend on it. Otherwise, of two jobs that compete for one
// machine, the preempted job could preempt the other in turn. Once its dependents are gone, a job must
// have its own priority again.
func TestPriorityPropagatesToDependencies(t *testing.T) {
	h := newHarness(t, Options{})
	low := wire.JobSpec{Team: "red", Tasks: 1, CPUs: 8, MemoryGB: 1}
	dependent := low
	dependent.Priority, dependent.DependsOn = wire.High, []ids.JobID{"job-1"}
	other := low
	other.Priority = wire.Normal
	h.submit("job-1", low)
	h.submit("job-2", dependent)
	h.submit("job-3", other)
	prerequisite := h.c.cluster.Job("job-1")
	if prerequisite.Priority() != wire.High {
		t.Fatalf("the first job has priority %d", prerequisite.Priority())
	}
	h.heartbeat("n-1", "a", 0)
	h.step()
	if len(prerequisite.Active()) != 1 || len(h.c.cluster.Job("job-2").Active()) != 0 {
		t.Fatal("the dependency was not placed, or its dependent was placed before it completed")
	}
	on := h.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.High}]
	if on.NotStopping != 1 {
		t.Errorf("workload is %+v", on)
	}
	h.c.ObserveJob(h.now, "job-2", &records.Job{Status: wire.JobCancelled, Tasks: 1}, 999)
	if prerequisite.Priority() != wire.BestEffort || h.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.High}].NotStopping != 0 || h.c.cluster.Workloads()[cluster.Workload{Team: "red", Priority: wire.BestEffort}].NotStopping != 1 {
		t.Errorf("after the dependent was cancelled, the dependency has priority %d, workloads %+v", prerequisite.Priority(), h.c.cluster.Workloads())
	}
}

// While the split of a record is in flight, tasks of the record can still be placed. A task that is
// placed in the meantime belongs to one of the parts. If that part is not written again, the task waits
// indefinitely.
func TestPlacementWhileTheRecordIsSplit(t *testing.T) {
	h := newHarness(t, Options{RecordOptions: RecordOptions{MaxValueBytes: 50, SplitRecords: true}})
	h.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 4, MemoryGB: 1})
	h.heartbeat("n-1", "a", 0)
	split := h.c.Step(h.now).RecordChanges
	if len(split) != 1 || len(split[0].Operations) < 2 {
		t.Fatalf("changes %+v", split)
	}
	h.now = h.now.Add(time.Second)
	h.heartbeat("n-2", "a", 0)
	h.step()
	h.c.CommitResult(h.now, records.CommitResult{Change: split[0], Revision: 500})
	var runs []string
	for _, machine := range []ids.MachineID{"n-1", "n-2"} {
		h.step()
		runs = append(runs, commandsWith(h.heartbeat(machine, "a", 0).Commands, wire.VerbRun)...)
	}
	if len(runs) != 4 {
		t.Errorf("started %v", runs)
	}
}

// A record that exceeds the limit while splitting is not allowed must be split once it is allowed, even
// without another event of its tasks.
func TestLargeRecordsAreSplitAfterTheUpgrade(t *testing.T) {
	h := newHarness(t, Options{RecordOptions: RecordOptions{MaxValueBytes: 50}})
	h.submit("job-1", wire.JobSpec{Tasks: 2, CPUs: 4, MemoryGB: 1, Service: true})
	h.heartbeat("n-1", "a", 0)
	if e := h.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 1 {
		t.Fatalf("changes %+v", e.RecordChanges)
	}
	h.c.EnableSplitRecords(h.now)
	h.now = h.now.Add(simAgentLease / 2)
	if e := h.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 2 {
		t.Errorf("changes %+v", e.RecordChanges)
	}
}

// When a zone is lost, thousands of placement records wait for the write rate limit. The record of a
// completed job must not be queued behind them, since its user and its dependents wait for it.
func TestCompletionsAreWrittenFirst(t *testing.T) {
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4096}, Limit: quota.Amount{CPUs: 4096}}}, RecordOptions: RecordOptions{WriteRate: 4}})
	h.submit("job-0", wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Normal})
	h.heartbeat("n-0", "a", 0)
	h.step()
	h.now = h.now.Add(time.Second)
	for n := range 60 {
		h.submit(ids.JobID(fmt.Sprintf("job-1%02d", n)), wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Critical})
		h.heartbeat(ids.MachineID(fmt.Sprintf("n-1%02d", n)), "a", 0)
	}
	h.step()
	h.heartbeat("n-0", "a", 0, wire.TaskStatus{Name: "job-0/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseDone})
	for range 8 {
		h.now = h.now.Add(250 * time.Millisecond)
		h.step()
	}
	if s := h.c.jobRecords.graph.ReadinessOf("job-0").State; s != dependency.Done {
		t.Errorf("the job's state after 2 s is %d", s)
	}
	if len(h.c.records.dirty) == 0 {
		t.Error("no placement record was waiting for the write rate limit")
	}
}
