package zonerecovery

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

func goldenIncident() Incident {
	return Incident{BeganMS: 1764640000001, ServingSinceMS: 1764640000002, Outages: 3, OutageMS: 4004, RecoveryMS: 5005, Setbacks: 6,
		DisplacedTasks: 7, DisplacedJobs: 8, Failbacks: 9, ForcedFailbacks: 10, RestoredReplicas: 11, Machines: 12}
}

// The encoding of a zone's record must not change: controllers of other versions read it from the
// key-value store.
func TestZoneRecordEncodingIsStable(t *testing.T) {
	codec := golden.Codec{Encode: func(v any) ([]byte, error) { return wire.Encode(v), nil }, Decode: wire.Decode}
	golden.Check(t, "records.json", codec, []golden.Case{
		{Name: "zone", Value: Record{Nonce: 1<<63 + 5, Condition: uint8(Recovering), SinceMS: 1764640000003, RecoveryBeganMS: 1764640000004,
			Step: 2, Outages: 3, OutageNumber: 4, MachinesBefore: 231, DisplacedJobs: []ids.JobID{"job-1", "job-2"}, JobCounters: []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10},
			OmittedJobs: 5, Incidents: []Incident{goldenIncident()}, Override: uint8(OverrideHold), OverrideReason: "power work",
			OverrideUntilMS: 1764640000005}},
		{Name: "zone that serves", Value: Record{Nonce: 9, SinceMS: 8}, Partial: true},
		{Name: "zone whose incident has just begun", Value: Record{Nonce: 9, Condition: uint8(Outage), SinceMS: 8,
			Incidents: []Incident{{BeganMS: 8, Outages: 1}}}, Partial: true},
	})
}

// The encodings of a zone's status, between controllers and as JSON, must not change.
func TestZoneStatusEncodingIsStable(t *testing.T) {
	cases := []golden.Case{{Name: "zone status", Value: Status{Zone: "zone-a", Condition: Outage, SinceMS: 1764640000006, Reason: "silent",
		Machines: 31, Reachable: 32, Outages: 33, Step: 34, Steps: 35, StartsInFlight: 36, StartLimit: 37, FetchesInFlight: 38, FetchLimit: 39, DisplacedJobs: 40,
		Restriction: "all new work", RestrictedUntilMS: 1764640000007, Override: OverrideRelease, Recorded: true, StartP90MS: 4100, BaselineP90MS: 4200,
		Incidents: []Incident{goldenIncident()}}}}
	golden.Check(t, "status-cbor.json", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, cases)
	golden.Check(t, "status-json.json", golden.Codec{Encode: json.Marshal, Decode: json.Unmarshal}, cases)
}

// The numbers of conditions and overrides are stored in records, so they must not change.
func TestRecordedEnumNumbersAreStable(t *testing.T) {
	if Serving != 0 || Suspect != 1 || Outage != 2 || Recovering != 3 {
		t.Error("the number of a condition has changed")
	}
	if OverrideNone != 0 || OverrideHold != 1 || OverrideRelease != 2 {
		t.Error("the number of an override has changed")
	}
}
