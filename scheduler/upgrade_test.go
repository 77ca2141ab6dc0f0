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

// TestUpgradeUnderFaults plays fleets through an upgrade. First leaders of the old
// version and new ones take turns: they write alike, so the old is played by a core
// that knows no size. Then all are new, and jobs wait for others; then the limits
// fall, at any moment, and leaders end between any two steps. Nothing written may
// then be too large, though old records are; no task may be in two records or in
// none; and all work comes to its end.
func TestUpgradeUnderFaults(t *testing.T) {
	const value, ops = 170, 4
	var split atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(24) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, 1000+seed)
				s.opt.SliceTasks, s.opt.TxnOps = 16, ops
				s.takeOver()
				s.oldFormat = true
				var all []ids.JobID
				for round := range 30 {
					switch round {
					case 10:
						s.opt.ValueBytes = value
						if s.core.opt.ValueBytes == 0 {
							s.takeOver() // the last old process is replaced
						}
						s.oldFormat, s.opt.SplitRecords = false, true
						s.core.EnableSplitRecords(s.now)
					case 11 + s.rng.IntN(6):
						s.valueBytes, s.txnOps = value, ops
					}
					if round < 10 && s.rng.IntN(3) == 0 {
						s.opt.ValueBytes = []int{0, value}[s.rng.IntN(2)] // an old leader, or a new one
						s.takeOver()
					}
					if s.rng.IntN(5) == 0 {
						s.takeOver()
					}
					for range 1 + s.rng.IntN(2) {
						id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
						sp := s.randomSpec()
						if round > 10 {
							sp = s.waitingSpec(all)
						}
						if !sp.Service && !sp.Gang {
							sp.Tasks, sp.CPUs = 20+s.rng.IntN(30), 1
						}
						s.submit(id, sp)
						all = append(all, id)
					}
					if s.rng.IntN(8) == 0 {
						s.cancel(all[s.rng.IntN(len(all))])
					}
					s.run(time.Duration(1+s.rng.IntN(6)) * time.Second)
				}
				s.valueBytes, s.txnOps = value, ops
				s.toTheEnd(all, 40*time.Minute)
				s.checkOrphans(all)
				if s.refused > 0 {
					t.Errorf("%d changes were beyond the limits", s.refused)
				}
				split.Add(int64(s.splits))
			})
		}
	})
	if n := split.Load(); n < 24 {
		t.Errorf("only %d records were split", n)
	}
}

// The limits fall below what was said: the change that is too large is refused for
// good. Its job must wait for it alone, take less, and not ask for ever.
func TestRefusedChangeHoldsUpNobodyElse(t *testing.T) {
	b := newHarness(t, Options{})
	b.job("job-1", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	b.report("n-1", "a", 0)
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
			b.c.CommitResult(b.now, records.CommitResult{Change: ch, Rejected: true})
		}
		b.now = b.now.Add(500 * time.Millisecond)
		b.report("n-1", "a", 0)
	}
	if tries < 2 || tries > maxRefusals {
		t.Errorf("the change was sent %d times in 25 minutes", tries)
	}
	b.job("job-2", wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1})
	if got := sent(b.c.Step(b.now), "job-2"); len(got) != 1 {
		t.Errorf("the next job wrote %d changes", len(got))
	}
	if _, known := b.c.Progress("job-1"); !known {
		t.Error("the job is forgotten")
	}
	b.c.EnableSplitRecords(b.now)
	b.now = b.now.Add(time.Minute)
	b.report("n-1", "a", 0)
	if got := sent(b.c.Step(b.now), "job-1"); len(got) != 1 {
		t.Errorf("once records may be split, it wrote %d changes", len(got))
	}
}

// Two jobs compete for one machine, and each is needed by others. Whoever is
// stopped for the other must not come back to stop it in turn, and a job that lost
// those that needed it counts as what it is.
func TestPriorityReachesBack(t *testing.T) {
	b := newHarness(t, Options{})
	low := wire.JobSpec{Team: "red", Tasks: 1, CPUs: 8, MemoryGB: 1}
	last := low
	last.Priority, last.DependsOn = wire.High, []ids.JobID{"job-1"}
	other := low
	other.Priority = wire.Normal
	b.job("job-1", low)
	b.job("job-2", last)
	b.job("job-3", other)
	first := b.c.cluster.Job("job-1")
	if first.Priority() != wire.High {
		t.Fatalf("the first job has priority %d", first.Priority())
	}
	b.report("n-1", "a", 0)
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

// While a split is on its way its tasks go on: what is placed then belongs to one of
// the parts, and would wait for ever if that part were not written for it.
func TestPlacedWhileTheRecordIsSplit(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{ValueBytes: 50, SplitRecords: true}})
	b.job("job-1", wire.JobSpec{Tasks: 4, CPUs: 4, MemoryGB: 1})
	b.report("n-1", "a", 0)
	split := b.c.Step(b.now).RecordChanges
	if len(split) != 1 || len(split[0].Operations) < 2 {
		t.Fatalf("changes %+v", split)
	}
	b.now = b.now.Add(time.Second)
	b.report("n-2", "a", 0)
	b.step()
	b.c.CommitResult(b.now, records.CommitResult{Change: split[0], Applied: true, Revision: 500})
	var runs []string
	for _, h := range []ids.MachineID{"n-1", "n-2"} {
		b.step()
		runs = append(runs, verbs(b.report(h, "a", 0).Commands, wire.VerbRun)...)
	}
	if len(runs) != 4 {
		t.Errorf("started %v", runs)
	}
}

// A record that was too large when it could not be split is split once it may be,
// though nothing happens to its tasks.
func TestLargeRecordsAreSplitOnceAllAreNew(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{ValueBytes: 50}})
	b.job("job-1", wire.JobSpec{Tasks: 2, CPUs: 4, MemoryGB: 1, Service: true})
	b.report("n-1", "a", 0)
	if e := b.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 1 {
		t.Fatalf("changes %+v", e.RecordChanges)
	}
	b.c.EnableSplitRecords(b.now)
	b.now = b.now.Add(simLease / 2)
	if e := b.step(); len(e.RecordChanges) != 1 || len(e.RecordChanges[0].Operations) != 2 {
		t.Errorf("changes %+v", e.RecordChanges)
	}
}

// When a zone is lost, thousands of placements wait for the write rate. A job whose
// tasks are all done must not wait behind them: its user, and the jobs that need it,
// do.
func TestEndsGoFirstWhileWritesAreScarce(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4096}, Limit: quota.Amount{CPUs: 4096}}}, RecordOptions: RecordOptions{WriteRate: 4}})
	b.job("job-0", wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Normal})
	b.report("n-0", "a", 0)
	b.step()
	b.now = b.now.Add(time.Second)
	for n := range 60 {
		b.job(ids.JobID(fmt.Sprintf("job-1%02d", n)), wire.JobSpec{Tasks: 1, CPUs: 8, MemoryGB: 1, Priority: wire.Critical})
		b.report(ids.MachineID(fmt.Sprintf("n-1%02d", n)), "a", 0)
	}
	b.step()
	b.report("n-0", "a", 0, wire.TaskStatus{Name: "job-0/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseDone})
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
