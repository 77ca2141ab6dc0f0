package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// jobRecordLog is a stand-in for the state service's jobs. Each request takes effect
// at some moment between its start and its answer.
type jobRecordLog struct {
	mu     sync.Mutex
	rng    *rand.Rand
	epoch  ids.Revision
	log    []kv.Event
	kept   int // changes kept for watches
	calls  int
	failed bool
}

func (r *jobRecordLog) delay() {
	r.mu.Lock()
	d := time.Duration(1+r.rng.IntN(30)) * time.Millisecond
	r.mu.Unlock()
	time.Sleep(d)
}

func (r *jobRecordLog) write(id ids.JobID, rec any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
	r.log = append(r.log, kv.Event{PutKey: records.JobKey(id), Value: wire.Encode(rec), Revision: r.epoch})
}

func (r *jobRecordLog) List(_ context.Context, _ string, each func(kv.Entry) error) (ids.Revision, error) {
	r.delay()
	r.mu.Lock()
	r.calls++
	if r.failed {
		r.mu.Unlock()
		return 0, kv.ErrUnavailable
	}
	epoch, log := r.epoch, slices.Clone(r.log)
	r.mu.Unlock()
	for _, e := range log {
		if err := each(kv.Entry{Key: e.PutKey, Value: e.Value, Revision: e.Revision}); err != nil {
			return 0, err
		}
	}
	r.delay()
	return epoch, nil
}

func (r *jobRecordLog) Watch(_ context.Context, _ string, since ids.Revision, _ time.Duration) (ids.Revision, []kv.Event, error) {
	r.delay()
	r.mu.Lock()
	r.calls++
	defer func() { r.mu.Unlock(); r.delay() }()
	switch {
	case r.failed:
		return 0, nil, kv.ErrUnavailable
	case int(r.epoch-since) > r.kept:
		return 0, nil, kv.ErrCompacted
	}
	return r.epoch, slices.Clone(r.log[since:]), nil
}

func pollsOf(r jobReader) *statusReader {
	return newStatusReader(r, 50*time.Millisecond, func(_ context.Context, list []ids.JobID) []progress {
		return make([]progress, len(list))
	})
}

// Once any node has told a user something, no node may tell an older thing:
// also when the other node's answer came just before the question. And the
// calls to the state service do not grow with the questions.
func TestAnswersOfTwoNodesNeverGoBack(t *testing.T) {
	rank := map[wire.JobState]int{"": 0, wire.JobQueued: 1, wire.JobCancelled: 2, wire.JobDone: 2}
	synctest.Test(t, func(t *testing.T) {
		r := &jobRecordLog{rng: rand.New(rand.NewPCG(1, 9)), kept: 40}
		nodes := []*statusReader{pollsOf(r), pollsOf(r)}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, p := range nodes {
			running.Go(func() { _ = p.run(ctx) })
		}
		var mu sync.Mutex
		told := map[ids.JobID]int{} // the newest that any node has told
		asked, failures := 0, 0
		var users sync.WaitGroup
		for u := range 40 {
			users.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(u), 3))
				for range 100 {
					id := ids.JobID(fmt.Sprintf("job-%d", rng.IntN(60)))
					mu.Lock()
					before := told[id]
					asked++
					mu.Unlock()
					a := nodes[rng.IntN(2)].ask(ctx, id, nil)
					mu.Lock()
					if a.err != nil {
						failures++
					} else {
						now := rank[a.job.Status]
						if now < before {
							t.Errorf("%s: told %d after %d", id, now, before)
						}
						told[id] = max(told[id], now)
					}
					mu.Unlock()
					time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				}
			})
		}
		users.Go(func() { // who submits and ends jobs, and tells so
			rng := rand.New(rand.NewPCG(77, 3))
			for n := range 60 {
				id := ids.JobID(fmt.Sprintf("job-%d", n))
				for i, status := range []wire.JobState{wire.JobQueued, []wire.JobState{wire.JobDone, wire.JobCancelled}[n%2]} {
					r.write(id, records.Job{Status: status, Tasks: 2})
					mu.Lock()
					told[id] = max(told[id], i+1)
					mu.Unlock()
					time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
				}
				r.mu.Lock()
				r.failed = n%20 == 19
				r.mu.Unlock()
			}
			r.mu.Lock()
			r.failed = false
			r.mu.Unlock()
		})
		users.Wait()
		cancel()
		running.Wait()
		if failures == 0 || failures > asked/2 {
			t.Errorf("%d of %d questions failed", failures, asked)
		}
		if 4*r.calls > asked {
			t.Errorf("%d calls for %d questions", r.calls, asked)
		}
	})
}

// A record that makes no sense is still that of an accepted job: its user must
// not be told that it is unknown, nor be refused an answer for ever, and it
// must not keep answers from the others.
func TestUnreadableRecordIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &jobRecordLog{rng: rand.New(rand.NewPCG(1, 9)), kept: 40}
		r.write("job-1", "nonsense")
		r.write("job-2", records.Job{Status: wire.JobDone, Tasks: 2})
		p := pollsOf(r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.ask(ctx, "job-1", nil); a.err != nil || !a.found || a.job.Status != wire.JobQueued {
			t.Errorf("unreadable: %+v", a)
		}
		if a := p.ask(ctx, "job-2", nil); a.err != nil || a.job.Status != wire.JobDone {
			t.Errorf("its neighbour: %+v", a)
		}
		if a := p.ask(ctx, "job-3", nil); a.err != nil || a.found {
			t.Errorf("never submitted: %+v", a)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// A leader that ended its term for such a record would end every later one
// too, and all jobs would be forgotten with it.
func TestUnreadableRecordDoesNotEndTheTerm(t *testing.T) {
	n := testNode(t, testConfig(badRecords(t)))
	var logged bytes.Buffer
	n.log = slog.New(slog.NewTextHandler(&logged, nil))
	n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	tm := newTerm(n, testTerm(5))
	tm.ctx = t.Context()
	if _, err := tm.load(); err != nil {
		t.Fatalf("taking over: %v", err)
	}
	if _, ok := tm.core.Progress("job-2"); !ok {
		t.Error("the job beside it was lost")
	}
	// Of job-3 it is not known where it runs: it is not started elsewhere.
	now := n.clock.Now()
	rep := &wire.Heartbeat{Machine: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: ids.NewFencingToken(5, 0)}
	if !tm.core.HeartbeatFromCall(now, rep) {
		t.Fatal("report refused")
	}
	var written []string
	for _, ch := range tm.core.Step(now).RecordChanges {
		for _, op := range ch.Operations {
			written = append(written, op.PutKey)
		}
	}
	if !slices.Equal(written, []string{"admissions/job-2/00000"}) {
		t.Errorf("placed %v", written)
	}
	for _, key := range []string{"jobs/job-1", "jobs/job-4", "admissions/job-3/00000", "format"} {
		if !strings.Contains(logged.String(), "key="+key) {
			t.Errorf("%s is not reported", key)
		}
	}
}

// What is recorded of where a job's tasks are must outlive a description of the job
// that cannot be read: it used to be dropped like what is left of a job that is done.
func TestPlacementsOfAnUnreadableJobAreKept(t *testing.T) {
	n := testNode(t, testConfig(badRecords(t)))
	n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	tm := newTerm(n, testTerm(5))
	tm.ctx = t.Context()
	if _, err := tm.load(); err != nil {
		t.Fatalf("taking over: %v", err)
	}
	now := n.clock.Now()
	for range 20 {
		now = now.Add(time.Second)
		for _, ch := range tm.core.Step(now).RecordChanges {
			for _, op := range ch.Operations {
				if strings.Contains(op.DeleteKey+op.PutKey, "job-4") {
					t.Fatalf("changed %+v", op)
				}
			}
		}
	}
}

// pauseThreshold is a context whose time is over although its timer has not fired:
// so a process finds it that was paused while its clocks ran on.
type stoodStill struct{ context.Context }

func (stoodStill) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// An answer that was ready before a process was paused is older by then than
// what others may have told meanwhile.
func TestAnswersFromBeforeAPauseAreNotGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &jobRecordLog{rng: rand.New(rand.NewPCG(1, 9)), kept: 40}
		r.write("job-1", records.Job{Status: wire.JobQueued, Tasks: 2})
		p := pollsOf(r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.ask(ctx, "job-1", nil); a.err != nil {
			t.Errorf("in time: %v", a.err)
		}
		if a := p.ask(stoodStill{ctx}, "job-1", nil); a.err == nil {
			t.Errorf("too late: %+v", a)
		}
		cancel()
		<-done
	})
}
