package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// smallState is a stand-in for the state service, from its protocol: keys, guarded
// commits, lists and changes.
type smallState struct {
	mu    sync.Mutex
	epoch ids.Revision
	keys  map[string]kv.Entry
	log   []kv.Event
	down  bool
	lose  int // commits to come that are carried out and not answered
	addr  string
}

func newSmallState(t *testing.T) *smallState {
	t.Helper()
	s := &smallState{epoch: 1, keys: map[string]kv.Entry{}}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	s.addr = strings.TrimPrefix(srv.URL, "http://")
	return s
}

func (s *smallState) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *smallState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(503)
		return
	}
	prefix := r.URL.Query().Get("prefix")
	ans := map[string]any{"epoch": s.epoch}
	switch {
	case strings.HasPrefix(r.URL.Path, "/grants"): // leases here never run out
		ans["hold"] = 1
	case r.URL.Path == "/commit":
		var txn struct {
			Guards []kv.Precondition `msgpack:"guards"`
			Apply  []struct {
				Write string             `msgpack:"write"`
				Value msgpack.RawMessage `msgpack:"v"`
				Drop  string             `msgpack:"drop"`
			} `msgpack:"apply"`
		}
		if err := msgpack.NewDecoder(r.Body).Decode(&txn); err != nil {
			w.WriteHeader(400)
			return
		}
		for _, g := range txn.Guards {
			if s.keys[g.Key].Revision != g.Revision {
				w.WriteHeader(409)
				ans["failed"] = []string{g.Key}
				_, _ = w.Write(wire.Encode(ans))
				return
			}
		}
		s.epoch++
		ans["epoch"] = s.epoch
		for _, op := range txn.Apply {
			if op.Drop != "" {
				delete(s.keys, op.Drop)
				continue
			}
			s.keys[op.Write] = kv.Entry{Key: op.Write, Value: op.Value, Revision: s.epoch}
			s.log = append(s.log, kv.Event{PutKey: op.Write, Value: op.Value, Revision: s.epoch})
		}
		if s.lose > 0 {
			s.lose--
			panic(http.ErrAbortHandler)
		}
	case r.URL.Path == "/store":
		list := []any{}
		for key, e := range s.keys {
			if strings.HasPrefix(key, prefix) {
				list = append(list, map[string]any{"key": key, "v": e.Value, "stamp": e.Revision})
			}
		}
		ans["entries"] = list
	case r.URL.Path == "/changes":
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		list := []any{}
		for _, e := range s.log {
			if int(e.Revision) > since && strings.HasPrefix(e.PutKey, prefix) {
				list = append(list, map[string]any{"write": e.PutKey, "v": e.Value, "stamp": e.Revision})
			}
		}
		ans["events"] = list
	default:
		e, ok := s.keys[strings.TrimPrefix(r.URL.Path, "/store/")]
		if !ok {
			w.WriteHeader(404)
			break
		}
		ans["v"], ans["stamp"] = e.Value, e.Revision
	}
	_, _ = w.Write(wire.Encode(ans))
}

// started is a node of a deployment that can take submissions.
func (s *smallState) started(t *testing.T, seeds ...config.Peer) *Controller {
	t.Helper()
	cfg := testConfig(s.addr)
	cfg.Seeds = seeds
	cfg.Settings.KV.RPS, cfg.Settings.KV.WriteRPS, cfg.Settings.KV.ValueKB = 20000, 80, 2
	n := testNode(t, cfg)
	n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.intake.Run(ctx) })
	wg.Go(func() { _ = n.statusReads.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return n
}

// leads has a node lead, and be reached by the others at the address returned.
func (s *smallState) leads(t *testing.T, n *Controller) (mesh string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.election.Run(ctx) })
	mesh = meshOf(t, n)
	t.Cleanup(func() { cancel(); wg.Wait() })
	until(t, "somebody leads", func() bool { return n.term.Load() != nil })
	return mesh
}

// follow has a node know who leads.
func follow(n, leader *Controller) {
	n.cfg.HostName = "n-1"
	l, _ := leader.election.Leader()
	n.election.Observe(l)
}

// meshOf serves a node's peers, and returns where.
func meshOf(t *testing.T, n *Controller) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = peerrpc.Serve(ctx, ln, n.handle, n.log) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return ln.Addr().String()
}

func waiting(needs ...ids.JobID) *wire.JobSpec {
	return &wire.JobSpec{Class: "c", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", DependsOn: needs}
}

// Submissions that name others, at two nodes. What is refused as never accepted is
// refused only when that is known, a retry of what was accepted is answered from
// its record, and a cancellation takes along whatever needs the job, at any node and
// whenever it came, whether or not the leader has written so.
func TestSubmissionsThatWait(t *testing.T) {
	state := newSmallState(t)
	a := state.started(t)
	seed := config.Peer{Name: "n-0", Address: state.leads(t, a)}
	b := state.started(t, seed)
	follow(b, a)
	a.upgrade.durable.Store(true)
	b.upgrade.durable.Store(true)
	submit := func(n *Controller, id ids.JobID, code int, status wire.JobState, needs ...ids.JobID) {
		t.Helper()
		ans := n.Submit(t.Context(), id, waiting(needs...))
		if s, _ := ans.Body.(wire.JobStatus); ans.Status != code || s.Status != status || code == 503 && ans.RetryAfter == 0 {
			t.Errorf("%s after %v: %+v, want %d %s", id, needs, ans, code, status)
		}
	}
	says := func(id ids.JobID, status wire.JobState) {
		t.Helper()
		for _, n := range []*Controller{a, b} {
			ans := n.Status(t.Context(), id)
			if s, _ := ans.Body.(wire.JobStatus); s.Status != status {
				t.Errorf("%s: %+v, want %s", id, ans, status)
			}
		}
	}
	submit(a, "job-1", 201, "queued")
	submit(b, "job-2", 201, "queued", "job-1")
	submit(a, "job-3", 201, "queued", "job-2", "job-1")
	submit(b, "job-4", 422, "", "job-1", "job-none")
	submit(b, "job-5", 422, "", "job-5")
	submit(a, "job-3", 200, "queued", "job-none") // accepted before, whatever it names now
	submit(a, "job-3", 200, "queued", "job-3")
	says("job-5", "")

	var long []ids.JobID
	for i := range 400 {
		long = append(long, ids.JobID(fmt.Sprintf("job-l%d", i)))
		submit(a, long[i], 201, "queued")
	}
	submit(a, "job-6", 422, "", long...) // cannot be kept whole
	submit(a, "job-7", 201, "queued", long[:40]...)
	var rec records.Job
	if err := wire.Decode(state.keys["jobs/job-7"].Value, &rec); err != nil || !slices.Equal(rec.Spec.DependsOn, long[:40]) {
		t.Errorf("kept %v, %v", rec.Spec, err)
	}

	state.outage(true)
	submit(b, "job-8", 503, "", "job-none") // unknown is not never accepted
	state.outage(false)
	if ans := a.Cancel(t.Context(), "job-1"); ans.Status != 200 {
		t.Fatalf("withdrawal: %+v", ans)
	}
	says("job-2", wire.JobCancelled)
	says("job-3", wire.JobCancelled)
	submit(b, "job-9", 201, wire.JobCancelled, "job-3")
	says("job-9", wire.JobCancelled)
	submit(a, "job-3", 200, wire.JobCancelled, "job-2")
	says("job-7", "queued")

	// While some controller may be old, nothing that names others is taken, and
	// what was is still answered.
	old := state.started(t, seed)
	follow(old, a)
	submit(old, "job-10", 503, "", "job-7")
	submit(old, "job-10", 422, "", "job-none")
	submit(old, "job-3", 200, wire.JobCancelled, "job-2")
	submit(old, "job-11", 201, "queued")
}

// All controllers are new only once each was heard itself, or by one that was; it
// is then made durable, and a node that finds it so need hear nobody.
func TestAllControllersAreNew(t *testing.T) {
	peers := []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
	fresh := func(seen ...ids.ControllerName) ping { return ping{versions: versions{Format: formatNew, Seen: seen}} }
	for _, c := range []struct {
		name          string
		first, second *ping
		all           bool
	}{
		{"nobody heard", nil, nil, false},
		{"one heard", new(fresh()), nil, false},
		{"both heard", new(fresh()), new(fresh()), true},
		{"one is old", new(fresh()), new(ping{From: "n-2"}), false},
		{"one heard by the other", new(fresh("n-0", "n-2")), nil, true},
		{"heard by one that is old again", new(ping{versions: versions{Format: 1, Seen: []ids.ControllerName{"n-2"}}}), nil, false},
	} {
		cfg := testConfig("127.0.0.1:4")
		cfg.Seeds = peers
		n := testNode(t, cfg)
		for i, p := range []*ping{c.first, c.second} {
			if p != nil {
				n.peers[i].observeVersion(fresh("n-1", "n-2"))
				n.peers[i].observeVersion(*p)
			}
		}
		if all, durable := n.allControllersNew(); all != c.all || durable {
			t.Errorf("%s: all new: %v, durable: %v", c.name, all, durable)
		}
	}

	state := newSmallState(t)
	first, second := state.started(t, peers...), state.started(t, peers...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range peers {
		first.peers[i].observeVersion(fresh())
	}
	for _, n := range []*Controller{first, second} {
		if err := n.awaitUpgrade(ctx); err != nil || !n.upgrade.done() {
			t.Fatalf("not durable: %v", err)
		}
	}
}

// production holds bytes as the version named in deploy/service.toml writes them.
func production(t *testing.T) map[string][]byte {
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
	for name, h := range text {
		if out[name], err = hex.DecodeString(h); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func prodSpec() *wire.JobSpec {
	return &wire.JobSpec{Class: "train", Team: "vision", Priority: wire.High, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, Types: []ids.MachineType{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointEveryS: 30, CheckpointS: 4, DeadlineS: 900}
}

// Every record and frame of the version in production means the same here.
func TestReadsWhatProductionWrote(t *testing.T) {
	queued := records.Job{Nonce: 1<<63 + 5, Status: wire.JobQueued, Tasks: 70, Spec: prodSpec(), SubmittedMS: 1764640000123}
	withdrawn := queued
	withdrawn.Nonce, withdrawn.Status = 99, wire.JobCancelled
	old := production(t)
	for name, want := range map[string]any{
		"job queued":    queued,
		"job withdrawn": withdrawn,
		"job done":      records.Job{Nonce: 98, Status: wire.JobDone, Tasks: 70},
		"slice": records.AdmissionSlice{Nonce: 97, Hosts: []ids.MachineID{"n-000231", "n-000007"}, Zones: []ids.Zone{"a", "b"},
			Tasks: []int{64, 2, 0, 65, 1, 1, 66, 3, -1}, Done: []int{67, 69}},
		"leader":       election.Identity{Name: "perch-0", MeshAddress: "10.0.0.1:8081", Incarnation: 1<<62 + 3},
		"ping":         ping{From: "perch-1", Leader: "perch-0", Mesh: "10.0.0.1:8081", Incarnation: 1<<62 + 3, Revision: 412, StateOK: true, Workers: 231},
		"state call":   stateCall{"POST", "/commit", []byte{1, 2}, 1000},
		"state answer": stateAnswer{200, []byte{3}, false, true},
		"announcement": jobNotice{"job-1", old["job queued"], 412},
		"report answer": []relayedAnswer{{true, wire.HeartbeatResponse{FencingToken: ids.NewFencingToken(412, 3), Commands: []wire.Command{
			{Verb: "run", Name: "job-1/3", Attempt: 2}, {Verb: "kill", Name: "job-2/1", Attempt: 1, GraceS: 5.5}}}}},
		"progress": []progress{{3, 13}},
	} {
		got := reflect.New(reflect.TypeOf(want))
		decode, encode := wire.Decode, func(v any) ([]byte, error) { return wire.Encode(v), nil }
		switch name {
		case "ping", "state call", "state answer", "announcement", "report answer", "progress":
			decode, encode = peerrpc.Decode, cbor.Marshal
		}
		if err := decode(old[name], got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: read %+v, %v, want %+v", name, got.Elem(), err, want)
		}
		// Until the upgrade is over the same is written byte by byte.
		if raw, err := encode(want); err != nil || string(raw) != string(old[name]) {
			t.Errorf("%s: written as %x, %v, production writes %x", name, raw, err, old[name])
		}
	}
}

// oldJob, oldSpec and oldPing are the structs of the version in production, as a
// stand-in for it, and so is how it reads a job.
type oldJob struct {
	Nonce       uint64   `msgpack:"w"`
	Status      string   `msgpack:"s"`
	Tasks       int      `msgpack:"n"`
	Spec        *oldSpec `msgpack:"p,omitempty"`
	SubmittedMS int64    `msgpack:"t,omitempty"`
}

type oldSpec struct {
	Class     string   `msgpack:"c"`
	Team      string   `msgpack:"g"`
	Service   bool     `msgpack:"s,omitempty"`
	Gang      bool     `msgpack:"gg,omitempty"`
	Priority  int      `msgpack:"p"`
	Tasks     int      `msgpack:"n"`
	CPUs      float64  `msgpack:"u"`
	GPUs      float64  `msgpack:"a,omitempty"`
	MemoryGB  float64  `msgpack:"m"`
	Image     string   `msgpack:"i"`
	ImageGB   float64  `msgpack:"ig"`
	Types     []string `msgpack:"t,omitempty"`
	Zone      string   `msgpack:"z,omitempty"`
	OneZone   bool     `msgpack:"oz,omitempty"`
	Spread    bool     `msgpack:"sp,omitempty"`
	Spot      bool     `msgpack:"l,omitempty"`
	EstimateS float64  `msgpack:"e,omitempty"`
	SaveEvery float64  `msgpack:"ce,omitempty"`
	SaveS     float64  `msgpack:"cs,omitempty"`
	DeadlineS float64  `msgpack:"d,omitempty"`
}

type oldPing struct {
	From    string `cbor:"1,keyasint"`
	Leader  string `cbor:"2,keyasint"`
	Mesh    string `cbor:"3,keyasint"`
	Inc     uint64 `cbor:"4,keyasint"`
	Stamp   uint64 `cbor:"5,keyasint"`
	StateOK bool   `cbor:"6,keyasint"`
	Workers int    `cbor:"7,keyasint"`
}

// What is written while old controllers serve is read by them as it was meant, what
// is new in it passed over.
func TestProductionReadsWhatIsWritten(t *testing.T) {
	spec := oldSpec{Class: "train", Team: "vision", Priority: 2, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, SaveEvery: 30, SaveS: 4, DeadlineS: 900}
	short := oldSpec{Team: "vision", Priority: 2, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, OneZone: true, Spot: true}
	rec := records.Job{Nonce: 4, Status: wire.JobQueued, Tasks: 70, Spec: prodSpec(), SubmittedMS: 5}
	for _, c := range []struct {
		name    string
		written any
		want    oldJob
	}{
		{"done, with the time", records.CompleteJobChange("job-1", 7, records.Job{Nonce: 6, Tasks: 70, DoneMS: 1764640000123}, nil).Operations[0].Value,
			oldJob{Nonce: 6, Status: "done", Tasks: 70}},
		{"withdrawn", records.CancelJobChange("job-1", 7, 6, rec, 2000).Operations[0].Value,
			oldJob{Nonce: 6, Status: "withdrawn", Tasks: 70, Spec: &spec, SubmittedMS: 5}},
		{"withdrawn, and too large", records.CancelJobChange("job-1", 7, 6, rec, 150).Operations[0].Value,
			oldJob{Nonce: 6, Status: "withdrawn", Tasks: 70, Spec: &short, SubmittedMS: 5}},
	} {
		var got oldJob
		if err := wire.Decode(wire.Encode(c.written), &got); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: read as %+v %+v, %v", c.name, got, got.Spec, err)
		}
		if c.name == "withdrawn, and too large" && wire.ExceedsJSONSize(c.written, 150) {
			t.Errorf("%s: it still is", c.name)
		}
	}
	n := testNode(t, testConfig("127.0.0.1:4"))
	raw, err := cbor.Marshal(n.ping())
	if err != nil {
		t.Fatal(err)
	}
	var got oldPing
	if err := cbor.Unmarshal(raw, &got); err != nil || got != (oldPing{From: "n-0", StateOK: true}) {
		t.Errorf("a ping is read as %+v, %v", got, err)
	}
	var full ping
	if err := peerrpc.Decode(raw, &full); err != nil || full.Format != formatNew {
		t.Errorf("and by its own kind as %+v, %v", full, err)
	}
}
