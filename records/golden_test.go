package records

import (
	"fmt"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

var codec = golden.Codec{Encode: func(v any) ([]byte, error) { return wire.Encode(v), nil }, Decode: wire.Decode}

func goldenSpec(dependencies ...ids.JobID) *wire.JobSpec {
	return &wire.JobSpec{Class: "train", Team: "vision", Service: true, Gang: true, Priority: wire.High, Tasks: 70, CPUs: 8.5, GPUs: 1.5,
		MemoryGB: 64.5, Image: "img-07", ImageGB: 6.25, Types: []ids.MachineType{"g8"}, Zone: "zone-a", OneZone: true, Spread: true,
		Spot: true, EstimateS: 240.5, CheckpointEveryS: 30.5, CheckpointS: 4.5, DeadlineS: 900.5, DependsOn: dependencies}
}

// Controllers of different versions read each other's records, so the encoding of jobs and admission
// slices in the key-value store must not change.
func TestRecordEncodingIsStable(t *testing.T) {
	job := Job{Nonce: 1<<63 + 5, Status: wire.JobQueued, Tasks: 70, Spec: goldenSpec(), SubmittedMS: 1764640000123}
	dependent, cancelled, cancelledDependent := job, job, job
	dependent.Spec = goldenSpec("job-1", "job-2")
	cancelled.Status = wire.JobCancelled
	cancelledDependent.Status, cancelledDependent.Spec = wire.JobCancelled, dependent.Spec
	everyField := dependent
	everyField.DoneMS = 1764640000456
	golden.Check(t, "records.json", codec, []golden.Case{
		{Name: "job, every field", Value: everyField},
		{Name: "job queued", Value: job, Partial: true},
		{Name: "job queued with dependencies", Value: dependent, Partial: true},
		{Name: "job cancelled", Value: cancelled, Partial: true},
		{Name: "job cancelled with dependencies", Value: cancelledDependent, Partial: true},
		{Name: "job cancelled without description", Value: Job{Nonce: 7, Status: wire.JobCancelled, Tasks: 70}, Partial: true},
		{Name: "job done", Value: Job{Nonce: 8, Status: wire.JobDone, Tasks: 70, DoneMS: 1764640000456}, Partial: true},
		{Name: "job done by an older version", Value: Job{Nonce: 9, Status: wire.JobDone, Tasks: 70}, Partial: true},
		{Name: "admission slice", Value: AdmissionSlice{Nonce: 97, Machines: []ids.MachineID{"n-000231", "n-000007"}, Zones: []ids.Zone{"zone-a", "zone-b"},
			Tasks: []int{64, 2, 0, 65, 1, 1, 66, 300, -1}, Done: []int{67, 69}}},
		{Name: "admission slice, split, first part", Value: AdmissionSlice{Nonce: 98, Machines: []ids.MachineID{"n-000231"}, Zones: []ids.Zone{"zone-a"},
			Tasks: []int{64, 2, 0}, Done: []int{67}}},
		{Name: "admission slice, split, last part", Value: AdmissionSlice{Nonce: 98, Machines: []ids.MachineID{"n-000007"}, Zones: []ids.Zone{"zone-b"},
			Tasks: []int{65, 1, 0, 66, 300, -1}, Done: []int{69}}},
		{Name: "termination", Value: Termination{Nonce: 99, Machines: []ids.MachineID{"n-000231", "n-000007"}}},
		{Name: "term of a leader", Value: LeaderTerm{Revision: 412, SupersededMS: 1764640000456}},
		{Name: "term of the current leader", Value: LeaderTerm{Revision: 412}, Partial: true},
		{Name: "catalog part", Value: CatalogPart{Types: goldenTypes("g8")}},
	})
}

// Records are found only by their keys. If a key changed, existing records would no longer be found.
func TestKeysAreStable(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{name: "prefix of jobs", got: JobPrefix, want: "jobs/"},
		{name: "prefix of admission slices", got: AdmissionPrefix, want: "admissions/"},
		{name: "prefix of zones", got: ZonePrefix, want: "zones/"},
		{name: "prefix of leaders' terms", got: LeaderTermPrefix, want: "terms/"},
		{name: "term of a leader", got: LeaderTermKey("perch-1"), want: "terms/perch-1"},
		{name: "prefix of terminations", got: TerminationPrefix, want: "terminations/"},
		{name: "termination", got: TerminationKey(42), want: "terminations/00000000000000000042"},
		{name: "prefix of the catalog", got: CatalogPrefix, want: "catalog/"},
		{name: "part of the catalog", got: CatalogKey(42), want: "catalog/00042"},
		{name: "leader lease", got: LeaderKey, want: "leader"},
		{name: "fleet", got: FleetKey, want: "fleet"},
		{name: "format", got: FormatKey, want: "format"},
		{name: "job", got: JobKey("job-1"), want: "jobs/job-1"},
		{name: "admission slice", got: AdmissionKey("job-1", 42), want: "admissions/job-1/00042"},
		{name: "zone", got: ZoneKey("zone-a"), want: "zones/zone-a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("%q, want %q", c.got, c.want)
			}
		})
	}
}

// The store decodes the transactions that change records, so their encoding and the order of their
// preconditions and operations must not change.
func TestTransactionEncodingIsStable(t *testing.T) {
	versions := []SliceVersion{{Number: 2, Revision: 501}, {Number: 42}}
	slice := AdmissionSlice{Nonce: 97, Machines: []ids.MachineID{"n-000231"}, Zones: []ids.Zone{"zone-a"}, Tasks: []int{64, 2, 0}}
	writes := []SliceWrite{{SliceVersion: versions[0], Record: slice}, {SliceVersion: versions[1], Record: slice}}
	job := Job{Nonce: 5, Status: wire.JobQueued, Tasks: 70, Spec: goldenSpec("job-0"), SubmittedMS: 6, DoneMS: 7}
	var text strings.Builder
	for _, c := range []struct {
		name   string
		change Change
	}{
		{name: "admission slices", change: PutSlicesChange("job-1", 500, writes)},
		{name: "job done", change: CompleteJobChange("job-1", 500, job, versions)},
		{name: "admission slices dropped", change: DeleteSlicesChange("job-1", versions)},
		{name: "job submitted", change: CreateJobChange("job-1", job)},
		{name: "job cancelled", change: CancelJobChange("job-1", 500, 8, job, 8000)},
		{name: "job cancelled, too large", change: CancelJobChange("job-1", 500, 8, job, 200)},
		{name: "zone", change: PutZoneChange("zone-a", 500, &zonerecovery.Record{Nonce: 9, SinceMS: 10})},
		{name: "zone dropped", change: DeleteZoneChange("zone-a", 500)},
	} {
		text.WriteString(c.name + " " + hexEncode(kv.Txn{Preconditions: c.change.Preconditions, Operations: c.change.Operations}) + "\n")
	}
	golden.CheckText(t, "transactions.txt", text.String())
}

func hexEncode(v any) string { return fmt.Sprintf("%x", wire.Encode(v)) }
