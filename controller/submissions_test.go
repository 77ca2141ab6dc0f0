package controller

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

func TestCanRun(t *testing.T) {
	c := newTestController(t, testConfig("127.0.0.1:4"))
	types := []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}}
	base := wire.JobSpec{Team: "red", Tasks: 3, CPUs: 8, MemoryGB: 1}
	for name, row := range map[string]struct {
		change func(*wire.JobSpec)
		can    bool
	}{
		"array whose tasks can run one after another":   {func(*wire.JobSpec) {}, true},
		"service whose tasks exceed the limit together": {func(s *wire.JobSpec) { s.Service = true }, false},
		"gang whose tasks exceed the limit together":    {func(s *wire.JobSpec) { s.Gang = true }, false},
		"service within the limit":                      {func(s *wire.JobSpec) { s.Service, s.Tasks = true, 2 }, true},
		"unknown team":                                  {func(s *wire.JobSpec) { s.Team = "green" }, false},
		"too many CPUs for every machine type":          {func(s *wire.JobSpec) { s.CPUs = 9 }, false},
		"too much memory for every machine type":        {func(s *wire.JobSpec) { s.MemoryGB = 17 }, false},
		"unknown machine type":                          {func(s *wire.JobSpec) { s.Types = []ids.MachineType{"x"} }, false},
		"unknown zone":                                  {func(s *wire.JobSpec) { s.Zone = "z" }, false},
		"no machine type with GPUs":                     {func(s *wire.JobSpec) { s.GPUs = 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			spec := base
			row.change(&spec)
			if got := c.service.canRun(&spec, types); got != row.can {
				t.Errorf("canRun returned %v, want %v", got, row.can)
			}
		})
	}
}

// dependencyTest holds a leader and a follower over one store. The version gate is open at both.
type dependencyTest struct {
	store            *kvtest.Server
	address          string // address of the leader for its peers
	leader, follower *Controller
}

func newDependencyTest(t *testing.T) *dependencyTest {
	t.Helper()
	store := newTestStore(t)
	d := &dependencyTest{store: store, leader: startController(t, "n-0", store.Address())}
	d.address = startLeading(t, d.leader)
	d.follower = startFollower(t, d.store.Address(), d.leader, d.address)
	d.leader.gate.open.Store(true)
	d.follower.gate.open.Store(true)
	return d
}

// checkSubmission submits a job and checks the answer.
func checkSubmission(t *testing.T, c *Controller, id ids.JobID, code int, status wire.JobState, dependsOn ...ids.JobID) {
	t.Helper()
	answer := c.service.Submit(t.Context(), id, testSpec(dependsOn...))
	if s, _ := answer.Body.(wire.JobStatus); answer.Status != code || s.Status != status ||
		code == http.StatusServiceUnavailable && answer.RetryAfter == 0 {
		t.Errorf("%s after %v: %+v, want %d %s", id, dependsOn, answer, code, status)
	}
}

// checkStatus checks a job's status at both controllers.
func (d *dependencyTest) checkStatus(t *testing.T, id ids.JobID, status wire.JobState) {
	t.Helper()
	for _, c := range []*Controller{d.leader, d.follower} {
		answer := c.service.Status(t.Context(), id)
		if s, _ := answer.Body.(wire.JobStatus); s.Status != status {
			t.Errorf("%s: %+v, want %s", id, answer, status)
		}
	}
}

// A submission with a dependency that was never accepted must be refused, but only if the absence of the
// dependency is certain. A job that was accepted before must be answered according to its record.
func TestSubmissionsWithDependencies(t *testing.T) {
	d := newDependencyTest(t)
	checkSubmission(t, d.leader, "job-1", 201, "queued")
	checkSubmission(t, d.follower, "job-2", 201, "queued", "job-1")
	checkSubmission(t, d.leader, "job-3", 201, "queued", "job-2", "job-1")
	checkSubmission(t, d.follower, "job-4", 422, "", "job-1", "job-none")
	checkSubmission(t, d.follower, "job-5", 422, "", "job-5")
	checkSubmission(t, d.leader, "job-3", 200, "queued", "job-none") // accepted before: the dependencies of this request are ignored
	checkSubmission(t, d.leader, "job-3", 200, "queued", "job-3")
	d.checkStatus(t, "job-5", "")

	d.store.StartOutage()
	checkSubmission(t, d.follower, "job-8", 503, "", "job-none") // during an outage it is unknown whether job-none was accepted
	d.store.EndOutage()
}

// A list of dependencies that is too long for the record must be refused. A shorter one must be stored
// completely.
func TestLongDependencyLists(t *testing.T) {
	d := newDependencyTest(t)
	var long []ids.JobID
	for i := range 400 {
		long = append(long, ids.JobID(fmt.Sprintf("job-l%d", i)))
		checkSubmission(t, d.leader, long[i], 201, "queued")
	}
	checkSubmission(t, d.leader, "job-6", 422, "", long...) // too long for the record
	checkSubmission(t, d.leader, "job-7", 201, "queued", long[:40]...)
	entry, _ := d.store.Entry("jobs/job-7")
	var record records.Job
	if err := wire.Decode(entry.Value, &record); err != nil || !slices.Equal(record.Spec.DependsOn, long[:40]) {
		t.Errorf("stored specification %v, %v", record.Spec, err)
	}
}

// A cancelled job can never satisfy its dependents. Every controller must report every job that depends
// on it as cancelled, including jobs that are submitted later, even before the leader has recorded their
// cancellations.
func TestCancellationCascadesToDependents(t *testing.T) {
	d := newDependencyTest(t)
	checkSubmission(t, d.leader, "job-1", 201, "queued")
	checkSubmission(t, d.follower, "job-2", 201, "queued", "job-1")
	checkSubmission(t, d.leader, "job-3", 201, "queued", "job-2", "job-1")
	checkSubmission(t, d.leader, "job-6", 201, "queued")
	checkSubmission(t, d.leader, "job-7", 201, "queued", "job-6")
	if answer := d.leader.service.Cancel(t.Context(), "job-1"); answer.Status != 200 {
		t.Fatalf("cancellation: %+v", answer)
	}
	d.checkStatus(t, "job-2", wire.JobCancelled)
	d.checkStatus(t, "job-3", wire.JobCancelled)
	checkSubmission(t, d.follower, "job-9", 201, wire.JobCancelled, "job-3")
	d.checkStatus(t, "job-9", wire.JobCancelled)
	checkSubmission(t, d.leader, "job-3", 200, wire.JobCancelled, "job-2")
	d.checkStatus(t, "job-7", "queued")

	// While a controller may have an older version, no new job with dependencies is accepted. Jobs
	// that were accepted before are still answered.
	closedGate := startFollower(t, d.store.Address(), d.leader, d.address)
	checkSubmission(t, closedGate, "job-10", 503, "", "job-7")
	checkSubmission(t, closedGate, "job-10", 422, "", "job-none")
	checkSubmission(t, closedGate, "job-3", 200, wire.JobCancelled, "job-2")
	checkSubmission(t, closedGate, "job-11", 201, "queued")
}
