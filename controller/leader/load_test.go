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

// testRevision is the revision of the leader key in a store of startLedStore.
const testRevision = 5

// startLedStore starts a key-value store in which another controller has led before, and in which the leader key is
// at testRevision.
func startLedStore(t *testing.T) *kvtest.Server {
	t.Helper()
	server := kvtest.NewServer(kvtest.NewStore())
	t.Cleanup(server.Close)
	server.Put(records.FleetKey, 1)
	server.AdvanceRevision(testRevision - 2)
	server.Put(records.LeaderKey, 1)
	return server
}

// startStoreWithUnreadableRecords starts a key-value store in which three records cannot be decoded: the
// job records of job-1 and of job-4, whose tasks are placed, and the admission slice of job-3. It returns
// the address of the store.
func startStoreWithUnreadableRecords(t *testing.T) string {
	t.Helper()
	readable := records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}}
	placed := records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}}
	server := startLedStore(t)
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
	recordLoader := &loader{Dependencies: dependencies, term: testTerm(testRevision)}
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
	server := startLedStore(t)
	server.Put(records.JobKey("job-1"), records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}})
	dependencies := testDependencies(t, server.Address())
	dependencies.Store = kv.New(&refusingTransport{Transport: httpclient.New(server.Address(), 4, 1<<20), refusals: 3}, 200)
	if _, ok := loadCore(t, dependencies).Progress("job-1"); !ok {
		t.Error("job-1 is not loaded")
	}
}

// Each leader must learn for how long earlier leaders may still act from their own last terms. If these counted from
// the start of its own term, and terms are short, no cancellation would ever be acknowledged.
func TestSupersededTermsOutliveTheNextTerm(t *testing.T) {
	server := startLedStore(t)
	minuteAgo := time.Now().Add(-time.Minute).UnixMilli()
	server.Put(records.LeaderTermKey("n-1"), records.LeaderTerm{Revision: 2, SupersededMS: minuteAgo})
	server.Put(records.LeaderTermKey("n-2"), records.LeaderTerm{Revision: 3})
	server.Put(records.LeaderTermKey("n-0"), records.LeaderTerm{Revision: 4, SupersededMS: minuteAgo})
	dependencies := testDependencies(t, server.Address())
	dependencies.VersionGate = &testVersionGate{open: true}
	recordLoader := &loader{Dependencies: dependencies, term: testTerm(testRevision)}
	options := scheduler.Options{WallClockMS: time.Now().UnixMilli()}
	if err := recordLoader.beginTerm(t.Context(), &options); err != nil {
		t.Fatal(err)
	}
	if !options.AllPreviousLeadersKnown || len(options.PreviousLeaders) != 2 {
		t.Errorf("known: %v, leaders: %v, want n-1 and n-2", options.AllPreviousLeadersKnown, options.PreviousLeaders)
	}
	if since := options.PreviousLeaders["n-1"]; since < 50*time.Second || since > time.Minute {
		t.Errorf("n-1 is superseded for %v, want a minute less the margins", since)
	}
	if since := options.PreviousLeaders["n-2"]; since != 0 {
		t.Errorf("n-2, which led until now, is superseded for %v", since)
	}
	var last records.LeaderTerm
	if entry, found := server.Entry(records.LeaderTermKey("n-2")); !found || wire.Decode(entry.Value, &last) != nil || last.SupersededMS == 0 {
		t.Errorf("the record of n-2 is %+v, want one that says when it was superseded", last)
	}
}

// A term must not end because the response to its first change is lost: the change is repeated, and finds its own
// record.
func TestTermBeginsDespiteALostResponse(t *testing.T) {
	server := startLedStore(t)
	server.Put(records.LeaderTermKey("n-2"), records.LeaderTerm{Revision: 3})
	dependencies := testDependencies(t, server.Address())
	server.LoseResponses(1)
	recordLoader := &loader{Dependencies: dependencies, term: testTerm(testRevision)}
	options := scheduler.Options{WallClockMS: time.Now().UnixMilli()}
	if err := recordLoader.beginTerm(t.Context(), &options); err != nil {
		t.Fatal(err)
	}
	if _, known := options.PreviousLeaders["n-2"]; !known {
		t.Errorf("previous leaders %v, want n-2", options.PreviousLeaders)
	}
}
