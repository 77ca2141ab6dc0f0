package peerapi

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// readProductionBytes returns records and messages by name, as encoded by the version that
// deploy/service.toml names.
func readProductionBytes(t *testing.T) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var text map[string]string
	if err := json.Unmarshal(raw, &text); err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for name, encoded := range text {
		if out[name], err = hex.DecodeString(encoded); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// productionSpec is the specification of the jobs in testdata/production.json.
func productionSpec() *wire.JobSpec {
	return &wire.JobSpec{Class: "train", Team: "vision", Priority: wire.High, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, Types: []ids.MachineType{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointEveryS: 30, CheckpointS: 4, DeadlineS: 900}
}

// checkProductionBytes checks that bytes that the version in production has written are decoded to the
// value, and that the value is encoded to the same bytes.
func checkProductionBytes(t *testing.T, written []byte, want any, decode func([]byte, any) error, encode func(any) ([]byte, error)) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := decode(written, got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
		t.Errorf("read %+v, %v, want %+v", got.Elem(), err, want)
	}
	if raw, err := encode(want); err != nil || string(raw) != string(written) {
		t.Errorf("written as %x, %v, production writes %x", raw, err, written)
	}
}

// Every record of the version in production must have the same meaning in this version. Until the version
// gate opens, this version must write the same bytes.
func TestProductionRecordsAreReadAndWritten(t *testing.T) {
	queued := records.Job{Nonce: 1<<63 + 5, Status: wire.JobQueued, Tasks: 70, Spec: productionSpec(), SubmittedMS: 1764640000123}
	cancelled := queued
	cancelled.Nonce, cancelled.Status = 99, wire.JobCancelled
	old := readProductionBytes(t)
	encode := func(v any) ([]byte, error) { return wire.Encode(v), nil }
	for name, want := range map[string]any{
		"job queued":    queued,
		"job withdrawn": cancelled,
		"job done":      records.Job{Nonce: 98, Status: wire.JobDone, Tasks: 70},
		"slice": records.AdmissionSlice{Nonce: 97, Machines: []ids.MachineID{"n-000231", "n-000007"}, Zones: []ids.Zone{"a", "b"},
			Tasks: []int{64, 2, 0, 65, 1, 1, 66, 3, -1}, Done: []int{67, 69}},
		"leader": election.Identity{Name: "perch-0", PeerAddress: "10.0.0.1:8081", Incarnation: 1<<62 + 3},
	} {
		t.Run(name, func(t *testing.T) { checkProductionBytes(t, old[name], want, wire.Decode, encode) })
	}
}

// Every message of the version in production must have the same meaning in this version, which must write
// the same bytes.
func TestProductionMessagesAreReadAndWritten(t *testing.T) {
	old := readProductionBytes(t)
	for name, want := range map[string]any{
		"ping":         Ping{From: "perch-1", Leader: "perch-0", LeaderPeerAddress: "10.0.0.1:8081", Incarnation: 1<<62 + 3, Revision: 412, StoreReachable: true, Workers: 231},
		"state call":   StoreCall{"POST", "/commit", []byte{1, 2}, 1000},
		"state answer": StoreResponse{200, []byte{3}, false, true},
		"announcement": JobNotice{"job-1", old["job queued"], 412},
		"report answer": []HeartbeatAnswer{{true, wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(412, 3), Commands: []wire.Command{
			{Verb: "run", Name: "job-1/3", Attempt: 2}, {Verb: "kill", Name: "job-2/1", Attempt: 1, GraceS: 5.5}}}}},
		"progress": []JobProgress{{3, 13}},
	} {
		t.Run(name, func(t *testing.T) { checkProductionBytes(t, old[name], want, peerrpc.Decode, cbor.Marshal) })
	}
}

// productionJob and productionJobSpec are the structs into which the version in production decodes a
// job's record.
type productionJob struct {
	Nonce       uint64             `msgpack:"w"`
	Status      string             `msgpack:"s"`
	Tasks       int                `msgpack:"n"`
	Spec        *productionJobSpec `msgpack:"p,omitempty"`
	SubmittedMS int64              `msgpack:"t,omitempty"`
}

type productionJobSpec struct {
	Class           string   `msgpack:"c"`
	Team            string   `msgpack:"g"`
	Service         bool     `msgpack:"s,omitempty"`
	Gang            bool     `msgpack:"gg,omitempty"`
	Priority        int      `msgpack:"p"`
	Tasks           int      `msgpack:"n"`
	CPUs            float64  `msgpack:"u"`
	GPUs            float64  `msgpack:"a,omitempty"`
	MemoryGB        float64  `msgpack:"m"`
	Image           string   `msgpack:"i"`
	ImageGB         float64  `msgpack:"ig"`
	Types           []string `msgpack:"t,omitempty"`
	Zone            string   `msgpack:"z,omitempty"`
	OneZone         bool     `msgpack:"oz,omitempty"`
	Spread          bool     `msgpack:"sp,omitempty"`
	Spot            bool     `msgpack:"l,omitempty"`
	EstimateS       float64  `msgpack:"e,omitempty"`
	CheckpointEvery float64  `msgpack:"ce,omitempty"`
	CheckpointS     float64  `msgpack:"cs,omitempty"`
	DeadlineS       float64  `msgpack:"d,omitempty"`
}

// Controllers of the version in production must decode the fields that they know from the records of this
// version, and ignore the fields that are new.
func TestProductionVersionReadsRecords(t *testing.T) {
	const tooSmall = 150
	spec := productionJobSpec{Class: "train", Team: "vision", Priority: 2, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointEvery: 30, CheckpointS: 4, DeadlineS: 900}
	short := productionJobSpec{Team: "vision", Priority: 2, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, OneZone: true, Spot: true}
	job := records.Job{Nonce: 4, Status: wire.JobQueued, Tasks: 70, Spec: productionSpec(), SubmittedMS: 5}
	shortened := records.CancelJobChange("job-1", 7, 6, job, tooSmall).Operations[0].Value
	for _, c := range []struct {
		name    string
		written any
		want    productionJob
	}{
		{"done, with the time", records.CompleteJobChange("job-1", 7, records.Job{Nonce: 6, Tasks: 70, DoneMS: 1764640000123}, nil).Operations[0].Value,
			productionJob{Nonce: 6, Status: "done", Tasks: 70}},
		{"cancelled", records.CancelJobChange("job-1", 7, 6, job, 2000).Operations[0].Value,
			productionJob{Nonce: 6, Status: "withdrawn", Tasks: 70, Spec: &spec, SubmittedMS: 5}},
		{"cancelled, and too large", shortened, productionJob{Nonce: 6, Status: "withdrawn", Tasks: 70, Spec: &short, SubmittedMS: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got productionJob
			if err := wire.Decode(wire.Encode(c.written), &got); err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("read as %+v %+v, %v", got, got.Spec, err)
			}
		})
	}
	if wire.ExceedsJSONSize(shortened, tooSmall) {
		t.Error("the shortened record is still too large")
	}
}
