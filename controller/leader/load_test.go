package leader

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// startStoreWithUnreadableRecords starts a key-value store in which three records cannot be decoded: the
// job records of job-1 and of job-4, whose tasks are placed, and the admission slice of job-3. It returns
// the address of the store.
func startStoreWithUnreadableRecords(t *testing.T) string {
	t.Helper()
	readable := records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}}
	placed := records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}}
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

// loadCore returns a core with the records of the dependencies' key-value store.
func loadCore(t *testing.T, dependencies Dependencies) *scheduler.Core {
	t.Helper()
	recordLoader := &loader{Dependencies: dependencies, term: testTerm(5)}
	if err := recordLoader.load(t.Context()); err != nil {
		t.Fatalf("load records: %v", err)
	}
	return recordLoader.core
}

// changedKeys returns the keys that the record changes of one step put or delete.
func changedKeys(core *scheduler.Core, now monotonic.Instant) (keys []string) {
	for _, change := range core.Step(now).RecordChanges {
		for _, operation := range change.Operations {
			keys = append(keys, operation.PutKey+operation.DeleteKey)
		}
	}
	return keys
}

// A single unreadable record must not end the term. It would end every later term too, and no job would
// be scheduled. The leader logs such records and loads the others.
func TestUnreadableRecordDoesNotEndTheTerm(t *testing.T) {
	dependencies := testDependencies(t, startStoreWithUnreadableRecords(t))
	var logged bytes.Buffer
	dependencies.Log = slog.New(slog.NewTextHandler(&logged, nil))
	core := loadCore(t, dependencies)
	if _, ok := core.Progress("job-2"); !ok {
		t.Error("the readable job-2 is not loaded")
	}
	for _, key := range []string{"jobs/job-1", "jobs/job-4", "admissions/job-3/00000"} {
		if !strings.Contains(logged.String(), "key="+key) {
			t.Errorf("unreadable record %s is not logged", key)
		}
	}
}

// The tasks of a job with an unreadable admission slice, as job-3, may already run on some machine. If the
// job were placed again, its tasks would run twice.
func TestJobWithUnreadableAdmissionIsNotPlaced(t *testing.T) {
	dependencies := testDependencies(t, startStoreWithUnreadableRecords(t))
	core := loadCore(t, dependencies)
	now := dependencies.Clock.Now()
	heartbeat := &wire.Heartbeat{Machine: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: ids.NewFencingToken(5, 0)}
	if !core.HeartbeatFromCall(now, heartbeat) {
		t.Fatal("the core rejected the heartbeat")
	}
	if written := changedKeys(core, now); !slices.Equal(written, []string{"admissions/job-2/00000"}) {
		t.Errorf("the step changed %v, want only the admission of job-2", written)
	}
}

// The admission slices of a job whose own record is unreadable are kept, because they name the machines
// of its tasks. They must not be deleted like the slices of a job that has ended.
func TestAdmissionsOfAnUnreadableJobAreKept(t *testing.T) {
	dependencies := testDependencies(t, startStoreWithUnreadableRecords(t))
	core := loadCore(t, dependencies)
	now := dependencies.Clock.Now()
	for range 20 {
		now = now.Add(time.Second)
		for _, key := range changedKeys(core, now) {
			if strings.Contains(key, "job-4") {
				t.Fatalf("the step changed %s", key)
			}
		}
	}
}

// refusingTransport refuses the first requests for pages of lists.
type refusingTransport struct {
	kv.Transport
	refusals int
}

func (r *refusingTransport) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if strings.HasPrefix(path, "/store?") && r.refusals > 0 {
		r.refusals--
		return http.StatusServiceUnavailable, nil, nil
	}
	return r.Transport.Do(ctx, method, path, body, timeout)
}

// A page that the key-value store does not return must be read again. If the term ended instead, and the next one
// began with the first page again, a long list might never be read.
func TestRecordsAreLoadedDespiteFailedReads(t *testing.T) {
	server := kvtest.NewServer(kvtest.NewStore())
	t.Cleanup(server.Close)
	server.Put(records.FleetKey, 1)
	server.Put(records.JobKey("job-1"), records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}})
	dependencies := testDependencies(t, server.Address())
	dependencies.Store = kv.New(&refusingTransport{Transport: httpclient.New(server.Address(), 4, 1<<20), refusals: 3}, 200)
	if _, ok := loadCore(t, dependencies).Progress("job-1"); !ok {
		t.Error("job-1 is not loaded")
	}
}
