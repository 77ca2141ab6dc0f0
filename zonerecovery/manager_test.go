package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// bench drives a manager by hand: one zone of ten machines beside one that always serves.
type bench struct {
	t    *testing.T
	m    *Manager
	at   ClockReading
	revs ids.Revision
	// written are the records by zone, as the state service holds them.
	written map[ids.Zone]Record
	tasks   int
}

func testPolicy() *Policy {
	return &Policy{SuspectShare: 0.5, OutageShare: 0.8, OutageAfter: 6 * time.Second, ClearSuspicionAfter: 2 * time.Second, MinMachines: 4, ReachableShare: 0.25,
		RetryAfter: 3 * time.Minute, HoldDown: 4 * time.Second, HoldDownFactor: 3, MaxHoldDown: 30 * time.Second, QuietPeriod: 10 * time.Minute,
		ProbeTasks: 2, MaxProbeRun: time.Minute, Steps: []float64{0.2, 0.5}, MinStepTime: 4 * time.Second, MinStepSuccesses: 3,
		FailureTolerance: 0.25, SlowStartFactor: 4, StartsPerMachine: 1, FetchesPerMachine: 0.3, MaxRecovery: 45 * time.Second, FailbackBudget: 1, ForceFailbackAfter: time.Minute}
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, m: NewManager(testPolicy()), written: map[ids.Zone]Record{},
		at: ClockReading{Now: monotonic.Instant(time.Hour), Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}}
}

// pass lets time pass with so many of ten machines heard, and writes what is due.
func (b *bench) pass(d time.Duration, heard int) {
	for end := b.at.Now.Add(d); b.at.Now < end; {
		b.at = ClockReading{b.at.Now.Add(200 * time.Millisecond), b.at.Wall.Add(200 * time.Millisecond)}
		b.m.Observe(b.at, Observation{
			Zones:        map[ids.Zone]ZoneHealth{"z": {Machines: 10, Reachable: heard, Unreachable: 10 - heard}, "other": {Machines: 10, Reachable: 10}},
			Connectivity: Connectivity{LeaseConfirmed: true, PeersReachable: 2, Peers: 2},
		})
		b.write()
	}
}

// write carries out what the manager wants written.
func (b *bench) write() {
	for {
		w, ok := b.m.NextWrite(b.at, uint64(b.revs+1), func(*Record) bool { return true })
		if !ok {
			return
		}
		b.revs++
		if w.Record == nil {
			delete(b.written, w.Zone)
			b.m.WriteCommitted(w.Zone, 0)
			continue
		}
		b.written[w.Zone] = *w.Record
		b.m.WriteCommitted(w.Zone, b.revs)
	}
}

// start places a task of a job if the gate admits it.
func (b *bench) start(s StartRequest) (ids.TaskRef, Admission) {
	b.tasks++
	s.Task = ids.TaskRef{Job: s.Task.Job, Index: b.tasks}
	if s.Machine == "" {
		s.Machine = ids.MachineID(fmt.Sprintf("n-%d", b.tasks))
	}
	denial := b.m.Admit("z", &s)
	if denial == Admitted {
		b.m.TaskStarted("z", &s, b.at.Now)
	}
	return s.Task, denial
}

// returning brings the zone to the beginning of its return.
func (b *bench) returning() {
	b.t.Helper()
	b.pass(time.Second, 10)
	b.pass(15*time.Second, 0)
	if c := b.m.Condition("z"); c != Outage {
		b.t.Fatalf("%s after silence", c)
	}
	b.pass(5*time.Second, 10)
	if c := b.m.Condition("z"); c != Recovering {
		b.t.Fatalf("%s after the hold-down", c)
	}
}

// Each condition follows from counts of machines, with hysteresis.
func TestConditionFollowsMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		heard  []int // of ten, each for 8 s
		result Condition
	}{
		{"all are heard", []int{10, 10}, Serving},
		{"a few are silent", []int{10, 6, 6}, Serving},
		{"half are silent: suspect, never dark", []int{10, 5, 5, 5, 5}, Suspect},
		{"it hovers: still suspect", []int{10, 5, 6, 5, 6}, Suspect},
		{"most are heard again", []int{10, 5, 9}, Serving},
		{"all are silent", []int{10, 0}, Outage},
		{"one machine back is too few", []int{10, 0, 1}, Outage},
		{"a quarter is enough", []int{10, 0, 3}, Recovering},
		{"silent again in the return", []int{10, 0, 10, 0}, Outage},
	} {
		b := newBench(t)
		for _, heard := range c.heard {
			b.pass(8*time.Second, heard)
		}
		if got := b.m.Condition("z"); got != c.result {
			t.Errorf("%s: %s, want %s", c.name, got, c.result)
		}
	}
}

// Where all zones are half silent at once, as after a controller failed, none is suspect.
func TestTroubleEverywhereIsNoZonesTrouble(t *testing.T) {
	b := newBench(t)
	b.pass(time.Second, 10)
	for _, c := range []struct {
		others int // heard of ten elsewhere
		want   Condition
	}{{5, Serving}, {10, Suspect}} {
		for range 20 {
			b.at = ClockReading{b.at.Now.Add(200 * time.Millisecond), b.at.Wall.Add(200 * time.Millisecond)}
			b.m.Observe(b.at, Observation{Connectivity: Connectivity{LeaseConfirmed: true}, Zones: map[ids.Zone]ZoneHealth{
				"z": {Machines: 10, Reachable: 5, Unreachable: 5}, "other": {Machines: 10, Reachable: c.others, Unreachable: 10 - c.others}}})
		}
		if got := b.m.Condition("z"); got != c.want {
			t.Errorf("%s while %d of ten are heard elsewhere, want %s", got, c.others, c.want)
		}
	}
}

// After a pause of the leader's process no silence counts until what came meanwhile is read.
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	b := newBench(t)
	b.pass(time.Second, 10)
	for _, resumed := range []bool{true, false} {
		b.at.Now = b.at.Now.Add(20 * time.Second)
		b.m.Observe(b.at, Observation{Connectivity: Connectivity{LeaseConfirmed: true, ProcessResumed: resumed}, Zones: map[ids.Zone]ZoneHealth{
			"z": {Machines: 10, Unreachable: 10}, "other": {Machines: 10, Reachable: 10}}})
		if got, want := b.m.Condition("z"), map[bool]Condition{true: Serving, false: Suspect}[resumed]; got != want {
			t.Errorf("resumed %v: %s", resumed, got)
		}
	}
}
