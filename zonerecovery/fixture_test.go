package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// testedZone is the zone whose health a test sets. healthyZone is always healthy.
const (
	testedZone  ids.Zone = "z"
	healthyZone ids.Zone = "other"
)

// testMachines is the number of machines in each zone of a fixture.
const testMachines = 10

// observationInterval is the interval at which a fixture passes observations to its manager.
const observationInterval = 200 * time.Millisecond

// fixture holds a manager with a simulated clock, and stores the records that the manager writes.
type fixture struct {
	t       *testing.T
	manager *Manager
	at      ClockReading
	// records holds the stored records. revision is the newest revision of the store.
	records  map[ids.Zone]Record
	revision ids.Revision
	// tasks counts the requested starts.
	tasks int
}

func testPolicy() *Policy {
	return &Policy{
		SuspectFraction:     0.5,
		OutageFraction:      0.8,
		OutageAfter:         6 * time.Second,
		ClearSuspicionAfter: 2 * time.Second,
		MinMachines:         4,
		ReachableFraction:   0.25,
		RetryAfter:          3 * time.Minute,
		HoldDown:            4 * time.Second,
		HoldDownFactor:      3,
		MaxHoldDown:         30 * time.Second,
		QuietPeriod:         10 * time.Minute,
		ProbeTasks:          2,
		MaxProbeRun:         time.Minute,
		Steps:               []float64{0.2, 0.5},
		MinStepTime:         4 * time.Second,
		MinStepSuccesses:    3,
		FailureTolerance:    0.25,
		SlowStartFactor:     4,
		StartsPerMachine:    1,
		FetchesPerMachine:   0.3,
		MaxRecovery:         45 * time.Second,
		FailbackBudget:      1,
		ForceFailbackAfter:  time.Minute,
	}
}

// newFixture returns a fixture with its own copy of the policy of testPolicy.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, testPolicy())
}

func newFixtureWith(t *testing.T, policy *Policy) *fixture {
	t.Helper()
	return &fixture{
		t:       t,
		manager: NewManager(policy),
		records: map[ids.Zone]Record{},
		at:      ClockReading{Now: monotonic.Instant(time.Hour), Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)},
	}
}

// advance advances both clocks without an observation.
func (f *fixture) advance(duration time.Duration) {
	f.at = ClockReading{Now: f.at.Now.Add(duration), Wall: f.at.Wall.Add(duration)}
}

// healthOf returns the health of a zone with the given number of reachable machines.
func healthOf(reachable int) ZoneHealth {
	return ZoneHealth{Machines: testMachines, Reachable: reachable, Unreachable: testMachines - reachable}
}

// runFor advances the clocks by a duration with the given number of machines reachable in the tested
// zone. At each interval it observes the zones and commits the records that are due.
func (f *fixture) runFor(duration time.Duration, reachable int) {
	f.t.Helper()
	for end := f.at.Now.Add(duration); f.at.Now < end; {
		f.advance(observationInterval)
		f.manager.Observe(f.at, Observation{
			Zones:        map[ids.Zone]ZoneHealth{testedZone: healthOf(reachable), healthyZone: healthOf(testMachines)},
			Connectivity: Connectivity{LeaseConfirmed: true, PeersReachable: 2, Peers: 2},
		})
		f.commitWrites()
	}
}

// fitsAlways reports true for every record.
func fitsAlways(*Record) bool { return true }

// commitWrites commits all records that are due.
func (f *fixture) commitWrites() {
	f.t.Helper()
	for {
		write, ok := f.manager.NextWrite(f.at, uint64(f.revision+1), fitsAlways)
		if !ok {
			return
		}
		f.revision++
		if write.Record == nil {
			delete(f.records, write.Zone)
			f.manager.WriteCommitted(write.Zone, 0)
			continue
		}
		f.records[write.Zone] = *write.Record
		f.manager.WriteCommitted(write.Zone, f.revision)
	}
}

// start requests the start of a new task in the tested zone, and places the task if it is admitted.
func (f *fixture) start(request StartRequest) (ids.TaskRef, Admission) {
	f.t.Helper()
	f.tasks++
	request.Task = ids.TaskRef{Job: request.Task.Job, Index: f.tasks}
	if request.Machine == "" {
		request.Machine = ids.MachineID(fmt.Sprintf("n-%d", f.tasks))
	}
	admission := f.manager.Admit(testedZone, &request)
	if admission == Admitted {
		f.manager.TaskPlaced(testedZone, &request, f.at.Now)
	}
	return request.Task, admission
}

// startAll starts tasks of a job until one is denied, and returns the started ones.
func (f *fixture) startAll(request StartRequest) []ids.TaskRef {
	f.t.Helper()
	var started []ids.TaskRef
	for {
		task, admission := f.start(request)
		if admission != Admitted {
			return started
		}
		started = append(started, task)
	}
}

// wantAdmission requests the start of a task, and checks the decision.
func (f *fixture) wantAdmission(name string, request StartRequest, want Admission) ids.TaskRef {
	f.t.Helper()
	task, got := f.start(request)
	if got != want {
		f.t.Fatalf("%s: %s, want %s", name, got, want)
	}
	return task
}

// reportRunning reports tasks of the tested zone to the manager as running.
func (f *fixture) reportRunning(tasks ...ids.TaskRef) {
	f.t.Helper()
	for _, task := range tasks {
		f.manager.TaskRunning(testedZone, task, f.at.Now)
	}
}

// wantCondition checks the condition of the tested zone.
func (f *fixture) wantCondition(when string, want Condition) {
	f.t.Helper()
	if got := f.manager.Condition(testedZone); got != want {
		f.t.Fatalf("%s: %s, want %s", when, got, want)
	}
}

// status returns the status of the tested zone.
func (f *fixture) status() Status {
	f.t.Helper()
	for _, status := range f.manager.Status(f.at) {
		if status.Zone == testedZone {
			return status
		}
	}
	f.t.Fatal("the tested zone has no status")
	return Status{}
}

// wantStep checks the step of the tested zone's recovery.
func (f *fixture) wantStep(when string, want int) {
	f.t.Helper()
	if got := f.status().Step; got != want {
		f.t.Fatalf("%s: step %d, want %d", when, got, want)
	}
}

// beginRecovery causes an outage of the tested zone and lets it pass the hold-down, so that the zone
// is in the probe of a recovery.
func (f *fixture) beginRecovery() {
	f.t.Helper()
	f.runFor(time.Second, testMachines)
	f.runFor(15*time.Second, 0)
	f.wantCondition("while no machine is reachable", Outage)
	f.runFor(5*time.Second, testMachines)
	f.wantCondition("after the hold-down", Recovering)
}

// recoverToStep1 brings the tested zone to step 1 of a recovery. The probe succeeds because no task
// is requested in it.
func (f *fixture) recoverToStep1() {
	f.t.Helper()
	f.beginRecovery()
	f.runFor(5*time.Second, testMachines)
	f.wantStep("without any work", 1)
}

// zone returns the tested zone.
func (f *fixture) zone() *zone { return f.manager.zones[testedZone] }

// taskRequest returns a request of a job that is neither critical nor eligible as a probe.
func taskRequest(job ids.JobID) StartRequest { return StartRequest{Task: ids.TaskRef{Job: job}} }

// probeRequest returns a request of a job that is eligible as a probe.
func probeRequest(job ids.JobID) StartRequest {
	request := taskRequest(job)
	request.ProbeEligible = true
	return request
}

// criticalRequest returns a request of a critical job.
func criticalRequest(job ids.JobID) StartRequest {
	request := taskRequest(job)
	request.Critical = true
	return request
}
