package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// The record stays inside its bound, and keeps the jobs that came back most often.
func TestRecordIsBounded(t *testing.T) {
	b := newBench(t)
	b.returning()
	z := b.m.zones["z"]
	for n := range 1000 {
		z.displacements.recordLoss(ids.JobID(fmt.Sprintf("job-%06d", n)), z.machine.outages.count, b.at.Now)
	}
	z.displacements.recordPlacement(&StartRequest{Task: ids.TaskRef{Job: "job-000999"}}, b.at.Now)
	z.record.markOutdated()
	w, ok := b.m.NextWrite(b.at, 7, func(r *Record) bool { return len(r.DisplacedJobs) <= 60 })
	if !ok || len(w.Record.DisplacedJobs) > 60 || len(w.Record.DisplacedJobs) < 20 || w.Record.DisplacedJobs[0] != "job-000999" || w.Record.OmittedJobs != 1000-len(w.Record.DisplacedJobs) {
		t.Fatalf("%v %+v", ok, w.Record)
	}
	b.m.WriteRejected("z")
	if again, ok := b.m.NextWrite(b.at, 8, func(*Record) bool { return true }); !ok || len(again.Record.DisplacedJobs) >= len(w.Record.DisplacedJobs) {
		t.Errorf("after a refusal: %v %d jobs", ok, len(again.Record.DisplacedJobs))
	}
}

// A quiet zone leaves nothing behind but what operators may want to know of its incidents,
// and is written no more. One without incidents leaves no record.
func TestQuietZoneKeepsOnlyItsIncidents(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.m.TaskDisplaced("z", "job-1")
	b.pass(time.Minute, 10)
	if rec, ok := b.written["z"]; !ok || len(rec.DisplacedJobs) != 1 || rec.Outages != 1 {
		t.Fatalf("while its flaps count: %+v", rec)
	}
	b.pass(testPolicy().QuietPeriod+time.Second, 10)
	rec := b.written["z"]
	if rec.Condition != uint8(Serving) || rec.Outages != 0 || len(rec.DisplacedJobs) != 0 || len(rec.Incidents) != 1 {
		t.Errorf("left behind: %+v", rec)
	}
	if got := rec.Incidents[0]; got.Outages != 1 || got.DisplacedTasks != 1 || got.DisplacedJobs != 1 || got.Machines != 10 || got.ServingSinceMS <= got.BeganMS || got.OutageMS < 9000 || got.RecoveryMS <= 0 {
		t.Errorf("incident %+v", got)
	}
	writes := b.revs
	b.pass(2*time.Minute, 10)
	if b.revs != writes {
		t.Errorf("%d writes about a quiet zone", b.revs-writes)
	}
	b.m.Override("other", Override{Kind: OverrideHold}, b.at)
	b.write()
	b.m.Override("other", Override{}, b.at)
	b.write()
	if rec, left := b.written["other"]; left {
		t.Errorf("left behind by a hold: %+v", rec)
	}
}

// Incidents are bounded, and the present one goes on after a succession.
func TestIncidentsAreBounded(t *testing.T) {
	var log incidentLog
	at := ClockReading{Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}
	for n := range 3 * maxPastIncidents {
		log.beginOutage(at, n)
		log.beginOutage(at, n)
		log.close()
	}
	if got := log.all(); len(got) != maxPastIncidents || got[maxPastIncidents-1].Machines != 3*maxPastIncidents-1 || got[0].Outages != 2 {
		t.Errorf("%+v", got)
	}
	log.beginOutage(at, 99)
	var successor incidentLog
	successor.load(log.all())
	successor.reopen()
	successor.beginOutage(at, 5)
	if got := successor.all(); len(got) != maxPastIncidents+1 || got[maxPastIncidents].Outages != 2 || got[maxPastIncidents].Machines != 99 {
		t.Errorf("after a succession: %+v", got)
	}
}

// A record that cannot be read is not taken for absent: the zone must show that it is there.
func TestUnreadableRecordClosesTheZone(t *testing.T) {
	b := newBench(t)
	b.m.LoadUnreadable("z", 9, b.at)
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, Critical: true}); denial != DeniedOutage {
		t.Errorf("%s", denial)
	}
	b.pass(6*time.Second, 10)
	if c := b.m.Condition("z"); c != Recovering {
		t.Errorf("%s once its machines are heard", c)
	}
}

// A successor that reads the record allows no more than the leader that wrote it, whatever
// the step, and forgets neither flaps nor who came back.
func TestRecordRoundTrip(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.m.zones["z"].displacements.recordLoss("job-1", b.m.zones["z"].machine.outages.count, b.at.Now)
	b.m.zones["z"].displacements.recordPlacement(&StartRequest{Task: ids.TaskRef{Job: "job-1"}}, b.at.Now)
	b.m.Override("z", Override{Kind: OverrideHold, Reason: "works", UntilMS: b.at.Wall.Add(time.Hour).UnixMilli()}, b.at)
	b.pass(10*time.Second, 10)
	old, rec := b.m.zones["z"], b.written["z"]
	successor := NewManager(testPolicy())
	later := ClockReading{Now: monotonic.Instant(7 * time.Hour), Wall: b.at.Wall.Add(3 * time.Second)}
	successor.Load("z", &rec, 5, later)
	z := successor.zones["z"]
	if z.condition() != old.condition() || z.machine.outages.count != old.machine.outages.count || z.machine.ramp.step > old.machine.ramp.step || z.override.current != old.override.current || rec.OutageNumber != old.machine.outages.count {
		t.Errorf("%+v\nwas %+v", z, old)
	}
	want := *old.displacements.jobs["job-1"]
	want.lostAt = later.Now // its patience counts anew
	if got := *z.displacements.jobs["job-1"]; got != want {
		t.Errorf("%+v, was %+v", got, want)
	}
	if gone := later.Now.Sub(z.machine.ramp.began) - b.at.Now.Sub(old.machine.ramp.began) - 3*time.Second; gone < -time.Millisecond || gone > time.Millisecond {
		t.Errorf("the return's beginning moved by %v", gone)
	}
}

// A further step counts only once it is recorded; a step back counts at once.
func TestStepCountsOnceRecorded(t *testing.T) {
	b := newBench(t)
	b.returning()
	z := b.m.zones["z"]
	z.machine.enterStep(2, b.at.Now, "")
	admitted := func() (n int) {
		for _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true}); denial == Admitted; _, denial = b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true}) {
			n++
		}
		return n
	}
	if n := admitted(); n != testPolicy().ProbeTasks {
		t.Errorf("%d starts by a step that is not recorded", n)
	}
	b.write()
	if n := admitted(); n != 5-testPolicy().ProbeTasks {
		t.Errorf("%d more starts once it is", n)
	}
	z.machine.enterStep(1, b.at.Now, "")
	if n := admitted(); n != 0 {
		t.Errorf("%d starts after a step back", n)
	}
}
