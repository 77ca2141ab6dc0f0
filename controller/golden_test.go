package controller

import (
	"encoding/json"
	"net/http"
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

func goldenZones() ZonesResponse {
	return ZonesResponse{Enabled: true, Leader: "perch-0", Zones: []zonerecovery.Status{{Zone: "zone-a", Condition: zonerecovery.Outage,
		SinceMS: 1764640000006, Reason: "silent", Machines: 31, Reachable: 32, Outages: 33, Step: 34, Steps: 35, StartsInFlight: 36, StartLimit: 37,
		FetchesInFlight: 38, FetchLimit: 39, DisplacedJobs: 40, Restriction: "all new work", RestrictedUntilMS: 1764640000007,
		Override: zonerecovery.OverrideRelease, Recorded: true, StartP90MS: 4100, BaselineP90MS: 4200,
		Incidents: []zonerecovery.Incident{{BeganMS: 1764640000001, ServingSinceMS: 1764640000002, Outages: 3, OutageMS: 4004, RecoveryMS: 5005,
			Setbacks: 6, DisplacedTasks: 7, DisplacedJobs: 8, Failbacks: 9, ForcedFailbacks: 10, RestoredReplicas: 11, Machines: 12}}}}}
}

// The request and the answer of each operation between controllers keep their bytes.
func TestMessagesKeepTheirBytes(t *testing.T) {
	every := ping{From: "perch-1", Leader: "perch-0", Mesh: "10.0.0.1:8081", Incarnation: 1<<62 + 3, Revision: 412, StateOK: true,
		Workers: 231, Up: 90 * time.Second, Acked: 411, versions: versions{Format: formatNew, Seen: []ids.ControllerName{"perch-0", "perch-2"}, Durable: true}}
	old := every
	old.Up, old.Acked, old.versions = 0, 0, versions{}
	record := records.Job{Nonce: 98, Status: wire.JobDone, Tasks: 70, DoneMS: 1764640000456}
	golden.Check(t, "messages.json", golden.Codec{Encode: cbor.Marshal, Decode: peerrpc.Decode}, []golden.Case{
		{Name: "ping", Value: every},
		{Name: "ping of an older version", Value: old, Partial: true},
		{Name: "state request", Value: stateCall{Method: "POST", Path: "/commit", Body: []byte{1, 2}, TimeoutMS: 1000}},
		{Name: "state answer", Value: stateAnswer{Status: 200, Body: []byte{3}, NotSent: true, Unknown: true}},
		{Name: "state answer, not sent", Value: stateAnswer{NotSent: true}, Partial: true},
		{Name: "state answer, unknown", Value: stateAnswer{Unknown: true}, Partial: true},
		{Name: "progress request", Value: []ids.JobID{"job-1", "job-2"}},
		{Name: "progress answer", Value: []progress{{Done: 3, Running: 13}, {Done: 300, Running: 70000}}},
		{Name: "job notice", Value: newJobNotice("job-1", &record, 412)},
		{Name: "job notice answer", Value: true},
		{Name: "heartbeats request", Value: [][]byte{{1, 2, 3}, {4}}},
		{Name: "heartbeats answer", Value: []relayedAnswer{{OK: true, Orders: wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(412, 3), Commands: []wire.Command{
			{Verb: wire.VerbRun, Name: "job-1/3", Attempt: 2, GraceS: 5.5}}}}}},
		{Name: "heartbeats answer, refused", Value: []relayedAnswer{{}}, Partial: true},
		{Name: "zones request", Value: struct{}{}},
		{Name: "zones answer", Value: goldenZones()},
		{Name: "zone override request", Value: ZoneOverride{Zone: "zone-a", Kind: zonerecovery.OverrideHold, Reason: "power work", UntilMS: 1764640000007}},
	})
	golden.Check(t, "zones.json", golden.Codec{Encode: json.Marshal, Decode: json.Unmarshal}, []golden.Case{
		{Name: "zones answer as JSON", Value: goldenZones()},
	})
}

// The names of operations and the words of refusals stay: controllers of two versions
// talk to each other during an upgrade.
func TestOperationsKeepTheirNames(t *testing.T) {
	for want, got := range map[peerrpc.Operation]peerrpc.Operation{"ping": opPing, "state": opState, "progress": opProgress, "job": opJob,
		"reports": opReports, "zones": opZones, "zone-override": opZoneOverride} {
		if got != want {
			t.Errorf("operation %q, want %q", got, want)
		}
	}
	for want, got := range map[string]error{"not leading": errNotLeading, "unknown operation": errUnknownOperation,
		"zone_return.enabled is false in the operators' settings":   errZonesOff,
		"not recorded in time: look at the zones, and decide again": errNotRecorded} {
		if got.Error() != want {
			t.Errorf("refusal %q, want %q", got, want)
		}
	}
	if formatNew != 2 {
		t.Errorf("format %d, want 2", formatNew)
	}
}

// The records that are written as maps keep their bytes: those that say that every
// controller is new, and since which leader the fleet is known.
func TestFormatRecordKeepsItsBytes(t *testing.T) {
	state := newSmallState(t)
	n := state.started(t)
	if err := n.awaitUpgrade(t.Context()); err != nil {
		t.Fatal(err)
	}
	state.leads(t, n)
	until(t, "the fleet's record", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.keys["fleet"].Value != nil
	})
	state.mu.Lock()
	defer state.mu.Unlock()
	if got := string(state.keys["format"].Value); got != "\x81\xa1v\x02" {
		t.Errorf("format written as %x", got)
	}
	if got, want := string(state.keys["fleet"].Value), "\x81\xa5first"+string([]byte{byte(state.keys["leader"].Revision)}); got != want {
		t.Errorf("fleet written as %x, want %x", got, want)
	}
	var leader map[string]any
	if err := wire.Decode(state.keys["leader"].Value, &leader); err != nil || leader["n"] != "n-0" || leader["m"] != "127.0.0.1:2" || leader["i"] == nil || len(leader) != 3 {
		t.Errorf("leader lease %v, %v", leader, err)
	}
}

// The format's record is read at the key and with the words that it is written with.
func TestFormatIsReadWhereItIsWritten(t *testing.T) {
	rec := golden.Record(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": map[string]int{"v": 2}, "stamp": 5}))
	})
	n := testNode(t, testConfig(rec.Address))
	if err := n.readUpgrade(t.Context(), n.userState); err != nil || !n.upgrade.done() {
		t.Errorf("not read: %v", err)
	}
	if want := "GET /store/format \"\" -\n"; rec.Text() != want {
		t.Errorf("asked %q, want %q", rec.Text(), want)
	}
}
