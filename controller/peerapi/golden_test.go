package peerapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

func goldenZonesResponse() ZonesResponse {
	return ZonesResponse{Enabled: true, Leader: "perch-0", Zones: []zonerecovery.Status{{Zone: "zone-a", Condition: zonerecovery.Outage,
		SinceMS: 1764640000006, Reason: "silent", Machines: 31, Reachable: 32, Outages: 33, Step: 34, Steps: 35, StartsInFlight: 36, StartLimit: 37,
		FetchesInFlight: 38, FetchLimit: 39, DisplacedJobs: 40, Restriction: "all new work", RestrictedUntilMS: 1764640000007,
		Override: zonerecovery.OverrideRelease, Recorded: true, StartP90MS: 4100, BaselineP90MS: 4200,
		Incidents: []zonerecovery.Incident{{BeganMS: 1764640000001, ServingSinceMS: 1764640000002, Outages: 3, OutageMS: 4004, RecoveryMS: 5005,
			Setbacks: 6, DisplacedTasks: 7, DisplacedJobs: 8, Failbacks: 9, ForcedFailbacks: 10, RestoredReplicas: 11, Machines: 12}}}}}
}

// The encodings of the requests and answers between controllers must not change.
func TestMessageEncodingIsStable(t *testing.T) {
	every := Ping{From: "perch-1", Leader: "perch-0", LeaderPeerAddress: "10.0.0.1:8081", Incarnation: 1<<62 + 3, Revision: 412, StoreReachable: true,
		Workers: 231, Uptime: 90 * time.Second, AcknowledgedRevision: 411, Versions: Versions{Format: RecordFormat, Upgraded: []ids.ControllerName{"perch-0", "perch-2"}, Durable: true}}
	old := every
	old.Uptime, old.AcknowledgedRevision, old.Versions = 0, 0, Versions{}
	record := records.Job{Nonce: 98, Status: wire.JobDone, Tasks: 70, DoneMS: 1764640000456}
	golden.Check(t, "messages.json", golden.Codec{Encode: cbor.Marshal, Decode: peerrpc.Decode}, []golden.Case{
		{Name: "ping", Value: every},
		{Name: "ping of an older version", Value: old, Partial: true},
		{Name: "state request", Value: StoreCall{Method: "POST", Path: "/commit", Body: []byte{1, 2}, TimeoutMS: 1000}},
		{Name: "state answer", Value: StoreResponse{Status: 200, Body: []byte{3}, NotSent: true, Indeterminate: true}},
		{Name: "state answer, not sent", Value: StoreResponse{NotSent: true}, Partial: true},
		{Name: "state answer, unknown", Value: StoreResponse{Indeterminate: true}, Partial: true},
		{Name: "progress request", Value: []ids.JobID{"job-1", "job-2"}},
		{Name: "progress answer", Value: []JobProgress{{Done: 3, Running: 13}, {Done: 300, Running: 70000}}},
		{Name: "job notice", Value: NewJobNotice("job-1", &record, 412)},
		{Name: "job notice answer", Value: true},
		{Name: "heartbeats request", Value: [][]byte{{1, 2, 3}, {4}}},
		{Name: "heartbeats answer", Value: []HeartbeatAnswer{{OK: true, Response: wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(412, 3), Commands: []wire.Command{
			{Verb: wire.VerbRun, Name: "job-1/3", Attempt: 2, GraceS: 5.5}}}}}},
		{Name: "heartbeats answer, refused", Value: []HeartbeatAnswer{{}}, Partial: true},
		{Name: "zones request", Value: struct{}{}},
		{Name: "zones answer", Value: goldenZonesResponse()},
		{Name: "zone override request", Value: ZoneOverride{Zone: "zone-a", Kind: zonerecovery.OverrideHold, Reason: "power work", UntilMS: 1764640000007}},
	})
	golden.Check(t, "zones.json", golden.Codec{Encode: json.Marshal, Decode: json.Unmarshal}, []golden.Case{
		{Name: "zones answer as JSON", Value: goldenZonesResponse()},
	})
}

// The names of operations and the texts of refusals must not change, since controllers of two versions
// communicate with each other during an upgrade.
func TestOperationNamesAreStable(t *testing.T) {
	for want, got := range map[peerrpc.Operation]peerrpc.Operation{"ping": OpPing, "state": OpStore, "progress": OpProgress, "job": OpJob,
		"reports": OpHeartbeats, "zones": OpZones, "zone-override": OpZoneOverride} {
		if got != want {
			t.Errorf("operation %q, want %q", got, want)
		}
	}
	for want, got := range map[string]error{"not leading": ErrNotLeading, "unknown operation": ErrUnknownOperation,
		"zone_return.enabled is false in the operators' settings":   ErrZoneRecoveryDisabled,
		"not recorded in time: look at the zones, and decide again": ErrOverrideNotRecorded} {
		if got.Error() != want {
			t.Errorf("refusal %q, want %q", got, want)
		}
	}
	if RecordFormat != 2 {
		t.Errorf("record format %d, want 2", RecordFormat)
	}
}
