package leader

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// unreadableRecords starts a key-value store with records that cannot be read: of job-1, of
// job-4, whose tasks are placed, and of where tasks of job-3 are.
func unreadableRecords(t *testing.T) string {
	t.Helper()
	readable := records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}}
	placed := records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}}
	server := kvtest.NewServer(kvtest.NewStore())
	t.Cleanup(server.Close)
	server.Put(records.FleetKey, 1)
	server.Put(records.JobKey("job-1"), "nonsense")
	server.Put(records.JobKey("job-2"), readable)
	server.Put(records.JobKey("job-3"), readable)
	server.Put(records.JobKey("job-4"), "nonsense")
	server.Put(records.AdmissionKey("job-3", 0), "nonsense")
	server.Put(records.AdmissionKey("job-4", 0), placed)
	return server.Address()
}

// loadCore loads the records of a store at an address.
func loadCore(t *testing.T, dependencies Dependencies) *scheduler.Core {
	t.Helper()
	load := &loader{Dependencies: dependencies, term: testTerm(5)}
	if err := load.load(t.Context()); err != nil {
		t.Fatalf("loading: %v", err)
	}
	return load.core
}

// operations are the operations of a step's changes of records.
func operations(core *scheduler.Core, now monotonic.Instant) (keys []string) {
	for _, change := range core.Step(now).RecordChanges {
		for _, operation := range change.Operations {
			keys = append(keys, operation.PutKey+operation.DeleteKey)
		}
	}
	return keys
}

// A leader that ended its term for an unreadable record would end every later one too, and all
// jobs would be forgotten with it.
func TestUnreadableRecordDoesNotEndTheTerm(t *testing.T) {
	dependencies := testDependencies(t, unreadableRecords(t))
	var logged bytes.Buffer
	dependencies.Log = slog.New(slog.NewTextHandler(&logged, nil))
	core := loadCore(t, dependencies)
	if _, ok := core.Progress("job-2"); !ok {
		t.Error("the job beside it was lost")
	}
	for _, key := range []string{"jobs/job-1", "jobs/job-4", "admissions/job-3/00000"} {
		if !strings.Contains(logged.String(), "key="+key) {
			t.Errorf("%s is not reported", key)
		}
	}
}

// A job is not started elsewhere while it is not known where its tasks run, as those of job-3.
func TestJobWithUnreadableAdmissionIsNotPlaced(t *testing.T) {
	dependencies := testDependencies(t, unreadableRecords(t))
	core := loadCore(t, dependencies)
	now := dependencies.Clock.Now()
	heartbeat := &wire.Heartbeat{Machine: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: ids.NewFencingToken(5, 0)}
	if !core.HeartbeatFromCall(now, heartbeat) {
		t.Fatal("heartbeat refused")
	}
	if written := operations(core, now); !slices.Equal(written, []string{"admissions/job-2/00000"}) {
		t.Errorf("placed %v", written)
	}
}

// What is recorded of where a job's tasks are outlives a specification of the job that cannot be
// read: it is not dropped like what is left of a finished job.
func TestAdmissionsOfAnUnreadableJobAreKept(t *testing.T) {
	dependencies := testDependencies(t, unreadableRecords(t))
	core := loadCore(t, dependencies)
	now := dependencies.Clock.Now()
	for range 20 {
		now = now.Add(time.Second)
		for _, key := range operations(core, now) {
			if strings.Contains(key, "job-4") {
				t.Fatalf("changed %s", key)
			}
		}
	}
}
