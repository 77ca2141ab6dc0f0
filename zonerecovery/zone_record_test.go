package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// displaceJobs records the loss of a task of each of count jobs in the newest outage.
func (f *fixture) displaceJobs(count int) {
	f.t.Helper()
	for n := range count {
		f.zone().displacements.recordLoss(ids.JobID(fmt.Sprintf("job-%06d", n)), f.zone().machine.outages.count, f.at.Now)
	}
	f.zone().record.markOutdated()
}

// The jobs in a record are reduced until it fits. The jobs that returned most often are kept.
func TestRecordFitsIntoLimit(t *testing.T) {
	const jobs, limit = 1000, 60
	f := newFixture(t)
	f.beginRecovery()
	f.displaceJobs(jobs)
	f.zone().displacements.recordPlacement(&StartRequest{Task: ids.TaskRef{Job: "job-000999"}}, f.at.Now)
	write, ok := f.manager.NextWrite(f.at, 7, func(record *Record) bool { return len(record.DisplacedJobs) <= limit })
	if !ok {
		t.Fatal("nothing is written")
	}
	recorded := len(write.Record.DisplacedJobs)
	if recorded > limit || recorded < limit/3 || write.Record.OmittedJobs != jobs-recorded {
		t.Errorf("%d jobs recorded, %d omitted", recorded, write.Record.OmittedJobs)
	}
	if first := write.Record.DisplacedJobs[0]; first != "job-000999" {
		t.Errorf("%s comes first", first)
	}
}

// A record that the key-value store refuses because of its size is written again with fewer jobs.
func TestRejectedRecordShrinks(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.displaceJobs(1000)
	rejected, ok := f.manager.NextWrite(f.at, 7, func(record *Record) bool { return len(record.DisplacedJobs) <= 60 })
	if !ok {
		t.Fatal("nothing is written")
	}
	f.manager.WriteRejected(testedZone)
	again, ok := f.manager.NextWrite(f.at, 8, fitsAlways)
	if !ok || len(again.Record.DisplacedJobs) >= len(rejected.Record.DisplacedJobs) {
		t.Errorf("written again: %v, with %d jobs", ok, len(again.Record.DisplacedJobs))
	}
}

// While an incident lasts, the record holds its outages and displaced jobs.
func TestRecordHoldsCurrentIncident(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.manager.TaskDisplaced(testedZone, "job-1")
	f.runFor(time.Minute, testMachines)
	if record, ok := f.records[testedZone]; !ok || len(record.DisplacedJobs) != 1 || record.Outages != 1 {
		t.Errorf("recorded: %v %+v", ok, record)
	}
}

// endIncident displaces a job in an outage, and lets the zone recover and pass its quiet period.
func (f *fixture) endIncident() {
	f.t.Helper()
	f.beginRecovery()
	f.manager.TaskDisplaced(testedZone, "job-1")
	f.runFor(time.Minute+testPolicy().QuietPeriod+time.Second, testMachines)
}

// After the quiet period the record holds only past incidents.
func TestQuietZoneKeepsOnlyPastIncidents(t *testing.T) {
	f := newFixture(t)
	f.endIncident()
	record := f.records[testedZone]
	if record.Condition != uint8(Serving) || record.Outages != 0 || len(record.DisplacedJobs) != 0 || len(record.Incidents) != 1 {
		t.Fatalf("recorded: %+v", record)
	}
	incident := record.Incidents[0]
	if incident.ServingSinceMS <= incident.BeganMS || incident.OutageMS < 9000 || incident.RecoveryMS <= 0 {
		t.Errorf("times of the incident: %+v", incident)
	}
	want := Incident{BeganMS: incident.BeganMS, ServingSinceMS: incident.ServingSinceMS, OutageMS: incident.OutageMS, RecoveryMS: incident.RecoveryMS,
		Outages: 1, DisplacedTasks: 1, DisplacedJobs: 1, Machines: testMachines}
	if incident != want {
		t.Errorf("incident %+v, want %+v", incident, want)
	}
}

// The record of a quiet zone is not written again.
func TestQuietZoneIsNotWritten(t *testing.T) {
	f := newFixture(t)
	f.endIncident()
	before := f.revision
	f.runFor(2*time.Minute, testMachines)
	if f.revision != before {
		t.Errorf("%d writes, want none", f.revision-before)
	}
}

// A zone without incidents has no record once its hold is lifted.
func TestLiftedHoldLeavesNoRecord(t *testing.T) {
	f := newFixture(t)
	f.manager.Override(healthyZone, Override{Kind: OverrideHold}, f.at)
	f.commitWrites()
	if _, ok := f.records[healthyZone]; !ok {
		t.Fatal("the hold is not recorded")
	}
	f.manager.Override(healthyZone, Override{}, f.at)
	f.commitWrites()
	if record, left := f.records[healthyZone]; left {
		t.Errorf("record %+v, want none", record)
	}
}

// A record that cannot be decoded does not count as missing, since a zone without a record serves: the
// zone is in outage until its machines are reachable.
func TestUnreadableRecordCountsAsOutage(t *testing.T) {
	f := newFixture(t)
	f.manager.LoadUnreadable(testedZone, 9, f.at)
	f.wantAdmission("critical work", criticalRequest("job-1"), DeniedOutage)
	f.runFor(6*time.Second, testMachines)
	f.wantCondition("once its machines are reachable", Recovering)
}

// A condition of a later version counts as an outage.
func TestUnknownConditionCountsAsOutage(t *testing.T) {
	f := newFixture(t)
	f.manager.Load(testedZone, &Record{Condition: uint8(Recovering) + 1}, 9, f.at)
	f.wantCondition("after loading", Outage)
}

// After a failover the next leader restores the condition, the override, the outages, the failbacks and
// the beginning of the recovery from the record. It allows no more starts than the previous leader.
func TestRecordRoundTrip(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.zone().displacements.recordLoss("job-1", f.zone().machine.outages.count, f.at.Now)
	f.zone().displacements.recordPlacement(&StartRequest{Task: ids.TaskRef{Job: "job-1"}}, f.at.Now)
	f.manager.Override(testedZone, Override{Kind: OverrideHold, Reason: "works", UntilMS: f.at.Wall.Add(time.Hour).UnixMilli()}, f.at)
	f.runFor(10*time.Second, testMachines)
	previous, record := f.zone(), f.records[testedZone]

	const failover = 3 * time.Second
	later := ClockReading{Now: monotonic.Instant(7 * time.Hour), Wall: f.at.Wall.Add(failover)}
	manager := NewManager(testPolicy())
	manager.Load(testedZone, &record, 5, later)
	next := manager.zones[testedZone]

	if next.condition() != previous.condition() || next.override.current != previous.override.current {
		t.Errorf("%s, override %+v; was %s, %+v", next.condition(), next.override.current, previous.condition(), previous.override.current)
	}
	if count := previous.machine.outages.count; next.machine.outages.count != count || record.OutageNumber != count {
		t.Errorf("%d outages, number %d recorded, was %d", next.machine.outages.count, record.OutageNumber, count)
	}
	if next.machine.ramp.step > previous.machine.ramp.step {
		t.Errorf("step %d, was %d", next.machine.ramp.step, previous.machine.ramp.step)
	}
	want := *previous.displacements.jobs["job-1"]
	want.lostAt = later.Now // the wait starts again
	if got := *next.displacements.jobs["job-1"]; got != want {
		t.Errorf("displaced job %+v, want %+v", got, want)
	}
	moved := later.Now.Sub(next.machine.ramp.began) - f.at.Now.Sub(previous.machine.ramp.began) - failover
	if moved.Abs() > time.Millisecond {
		t.Errorf("the beginning of the recovery moved by %v", moved)
	}
}
