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

var records = golden.Codec{Encode: func(v any) ([]byte, error) { return wire.Encode(v), nil }, Decode: wire.Decode}

func goldenSpec(dependencies ...ids.JobID) *wire.JobSpec {
	return &wire.JobSpec{Class: "train", Team: "vision", Service: true, Gang: true, Priority: wire.High, Tasks: 70, CPUs: 8.5, GPUs: 1.5,
		MemoryGB: 64.5, Image: "img-07", ImageGB: 6.25, Types: []ids.MachineType{"g8"}, Zone: "zone-a", OneZone: true, Spread: true,
		Spot: true, EstimateS: 240.5, CheckpointEveryS: 30.5, CheckpointS: 4.5, DeadlineS: 900.5, DependsOn: dependencies}
}

// Jobs and admission slices keep their bytes in the key-value store.
func TestRecordsKeepTheirBytes(t *testing.T) {
	job := Job{Nonce: 1<<63 + 5, Status: wire.JobQueued, Tasks: 70, Spec: goldenSpec(), SubmittedMS: 1764640000123}
	dependent, cancelled, cancelledDependent := job, job, job
	dependent.Spec = goldenSpec("job-1", "job-2")
	cancelled.Status = wire.JobCancelled
	cancelledDependent.Status, cancelledDependent.Spec = wire.JobCancelled, dependent.Spec
	every := dependent
	every.DoneMS = 1764640000456
	golden.Check(t, "records.json", records, []golden.Case{
		{Name: "job, every field", Value: every},
		{Name: "job queued", Value: job, Partial: true},
		{Name: "job queued with dependencies", Value: dependent, Partial: true},
		{Name: "job cancelled", Value: cancelled, Partial: true},
		{Name: "job cancelled with dependencies", Value: cancelledDependent, Partial: true},
		{Name: "job cancelled without description", Value: Job{Nonce: 7, Status: wire.JobCancelled, Tasks: 70}, Partial: true},
		{Name: "job done", Value: Job{Nonce: 8, Status: wire.JobDone, Tasks: 70, DoneMS: 1764640000456}, Partial: true},
		{Name: "job done by an older version", Value: Job{Nonce: 9, Status: wire.JobDone, Tasks: 70}, Partial: true},
		{Name: "admission slice", Value: AdmissionSlice{Nonce: 97, Hosts: []ids.MachineID{"n-000231", "n-000007"}, Zones: []ids.Zone{"zone-a", "zone-b"},
			Tasks: []int{64, 2, 0, 65, 1, 1, 66, 300, -1}, Done: []int{67, 69}}},
		{Name: "admission slice, split, first part", Value: AdmissionSlice{Nonce: 98, Hosts: []ids.MachineID{"n-000231"}, Zones: []ids.Zone{"zone-a"},
			Tasks: []int{64, 2, 0}, Done: []int{67}}},
		{Name: "admission slice, split, last part", Value: AdmissionSlice{Nonce: 98, Hosts: []ids.MachineID{"n-000007"}, Zones: []ids.Zone{"zone-b"},
			Tasks: []int{65, 1, 0, 66, 300, -1}, Done: []int{69}}},
	})
}

// Keys stay: records are found by nothing else.
func TestKeysStay(t *testing.T) {
	for name, c := range map[string]struct{ got, want string }{
		"prefix of jobs":             {JobPrefix, "jobs/"},
		"prefix of admission slices": {AdmissionPrefix, "admissions/"},
		"prefix of zones":            {ZonePrefix, "zones/"},
		"leader lease":               {LeaderKey, "leader"},
		"fleet":                      {FleetKey, "fleet"},
		"format":                     {FormatKey, "format"},
		"job":                        {JobKey("job-1"), "jobs/job-1"},
		"admission slice":            {AdmissionKey("job-1", 42), "admissions/job-1/00042"},
		"zone":                       {ZoneKey("zone-a"), "zones/zone-a"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", name, c.got, c.want)
		}
	}
	if id, n, ok := ParseAdmissionKey("admissions/job-1/00042"); id != "job-1" || n != 42 || !ok {
		t.Errorf("admission slice's key read as %s %d %v", id, n, ok)
	}
}

// Transactions that change records keep their bytes, guards and operations in order.
func TestTransactionsKeepTheirBytes(t *testing.T) {
	at := []SliceVersion{{Number: 2, Revision: 501}, {Number: 42}}
	slice := AdmissionSlice{Nonce: 97, Hosts: []ids.MachineID{"n-000231"}, Zones: []ids.Zone{"zone-a"}, Tasks: []int{64, 2, 0}}
	job := Job{Nonce: 5, Status: wire.JobQueued, Tasks: 70, Spec: goldenSpec("job-0"), SubmittedMS: 6, DoneMS: 7}
	var text strings.Builder
	for _, c := range []struct {
		name   string
		change Change
	}{
		{"admission slices", PutSlicesChange("job-1", 500, at, []AdmissionSlice{slice, slice})},
		{"job done", CompleteJobChange("job-1", 500, job, at)},
		{"admission slices dropped", DeleteSlicesChange("job-1", at)},
		{"job submitted", CreateJobChange("job-1", job)},
		{"job cancelled", CancelJobChange("job-1", 500, 8, job, 8000)},
		{"job cancelled, too large", CancelJobChange("job-1", 500, 8, job, 200)},
		{"zone", PutZoneChange("zone-a", 500, &zonerecovery.Record{Nonce: 9, SinceMS: 10})},
		{"zone dropped", DeleteZoneChange("zone-a", 500)},
	} {
		text.WriteString(c.name + " " + hexOf(kv.Txn{Preconditions: c.change.Preconditions, Operations: c.change.Operations}) + "\n")
	}
	golden.Text(t, "transactions.txt", text.String())
}

func hexOf(v any) string { return fmt.Sprintf("%x", wire.Encode(v)) }
