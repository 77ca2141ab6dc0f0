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
		"an array may wait for its limit": {func(*wire.JobSpec) {}, true},
		"a service needs all at once":     {func(s *wire.JobSpec) { s.Service = true }, false},
		"so does a gang":                  {func(s *wire.JobSpec) { s.Gang = true }, false},
		"a service that fits":             {func(s *wire.JobSpec) { s.Service, s.Tasks = true, 2 }, true},
		"unknown team":                    {func(s *wire.JobSpec) { s.Team = "green" }, false},
		"too large for any type":          {func(s *wire.JobSpec) { s.CPUs = 9 }, false},
		"too much memory":                 {func(s *wire.JobSpec) { s.MemoryGB = 17 }, false},
		"no such type":                    {func(s *wire.JobSpec) { s.Types = []ids.MachineType{"x"} }, false},
		"no such zone":                    {func(s *wire.JobSpec) { s.Zone = "z" }, false},
		"no gpus at all":                  {func(s *wire.JobSpec) { s.GPUs = 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			spec := base
			row.change(&spec)
			if got := c.service.canRun(&spec, types); got != row.can {
				t.Errorf("%v, want %v", got, row.can)
			}
		})
	}
}

// dependencyTest is two controllers over one store, of which the first leads. The version gate
// is open at both.
type dependencyTest struct {
	store   *kvtest.Server
	address string // of the leader
	a, b    *Controller
}

func newDependencyTest(t *testing.T) *dependencyTest {
	t.Helper()
	store := newTestStore(t)
	d := &dependencyTest{store: store, a: startController(t, "n-0", store.Address())}
	d.address = startLeading(t, d.a)
	d.b = startFollower(t, d.store.Address(), d.a, d.address)
	d.a.gate.open.Store(true)
	d.b.gate.open.Store(true)
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
	for _, c := range []*Controller{d.a, d.b} {
		answer := c.service.Status(t.Context(), id)
		if s, _ := answer.Body.(wire.JobStatus); s.Status != status {
			t.Errorf("%s: %+v, want %s", id, answer, status)
		}
	}
}

// A submission with dependencies that were never accepted is refused, but only when that is
// known, and one that was accepted before is answered from its record.
func TestSubmissionsWithDependencies(t *testing.T) {
	d := newDependencyTest(t)
	checkSubmission(t, d.a, "job-1", 201, "queued")
	checkSubmission(t, d.b, "job-2", 201, "queued", "job-1")
	checkSubmission(t, d.a, "job-3", 201, "queued", "job-2", "job-1")
	checkSubmission(t, d.b, "job-4", 422, "", "job-1", "job-none")
	checkSubmission(t, d.b, "job-5", 422, "", "job-5")
	checkSubmission(t, d.a, "job-3", 200, "queued", "job-none") // accepted before: the dependencies of this request do not count
	checkSubmission(t, d.a, "job-3", 200, "queued", "job-3")
	d.checkStatus(t, "job-5", "")

	d.store.StartOutage()
	checkSubmission(t, d.b, "job-8", 503, "", "job-none") // unknown is not never accepted
	d.store.EndOutage()
}

// A list of dependencies is stored whole, or refused.
func TestLongDependencyLists(t *testing.T) {
	d := newDependencyTest(t)
	var long []ids.JobID
	for i := range 400 {
		long = append(long, ids.JobID(fmt.Sprintf("job-l%d", i)))
		checkSubmission(t, d.a, long[i], 201, "queued")
	}
	checkSubmission(t, d.a, "job-6", 422, "", long...) // cannot be stored whole
	checkSubmission(t, d.a, "job-7", 201, "queued", long[:40]...)
	entry, _ := d.store.Entry("jobs/job-7")
	var record records.Job
	if err := wire.Decode(entry.Value, &record); err != nil || !slices.Equal(record.Spec.DependsOn, long[:40]) {
		t.Errorf("stored %v, %v", record.Spec, err)
	}
}

// A cancellation takes along every job that depends on the cancelled one, at any controller and
// whenever it came, whether or not the leader has written so.
func TestCancellationCascadesToDependents(t *testing.T) {
	d := newDependencyTest(t)
	checkSubmission(t, d.a, "job-1", 201, "queued")
	checkSubmission(t, d.b, "job-2", 201, "queued", "job-1")
	checkSubmission(t, d.a, "job-3", 201, "queued", "job-2", "job-1")
	checkSubmission(t, d.a, "job-6", 201, "queued")
	checkSubmission(t, d.a, "job-7", 201, "queued", "job-6")
	if answer := d.a.service.Cancel(t.Context(), "job-1"); answer.Status != 200 {
		t.Fatalf("cancellation: %+v", answer)
	}
	d.checkStatus(t, "job-2", wire.JobCancelled)
	d.checkStatus(t, "job-3", wire.JobCancelled)
	checkSubmission(t, d.b, "job-9", 201, wire.JobCancelled, "job-3")
	d.checkStatus(t, "job-9", wire.JobCancelled)
	checkSubmission(t, d.a, "job-3", 200, wire.JobCancelled, "job-2")
	d.checkStatus(t, "job-7", "queued")

	// While some controller may be old, no new job with dependencies is accepted, and what
	// was accepted is still answered.
	old := startFollower(t, d.store.Address(), d.a, d.address)
	checkSubmission(t, old, "job-10", 503, "", "job-7")
	checkSubmission(t, old, "job-10", 422, "", "job-none")
	checkSubmission(t, old, "job-3", 200, wire.JobCancelled, "job-2")
	checkSubmission(t, old, "job-11", 201, "queued")
}
