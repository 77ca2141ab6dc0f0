package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

func testConfig(state string) *config.Platform {
	p := &config.Platform{HostName: "n-0", APIAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"}
	p.External.KV, p.External.Cloud = state, "127.0.0.1:3"
	p.Settings.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 16}}
	p.Settings.Resources.CPUShare = 1
	p.Settings.KV.RPS, p.Settings.KV.TxnOps, p.Settings.Cloud.RPS = 200, 8, 4
	return p
}

func testNode(t *testing.T, cfg *config.Platform) *Controller {
	t.Helper()
	op, err := config.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	return New(cfg, op, slog.New(slog.DiscardHandler))
}

// After a restart a node's workers would stay where they went, all of them on
// one node at last. They are sent back, one at a time, and no more than needed.
func TestWorkersSpreadOverNodes(t *testing.T) {
	at := func(s float64) monotonic.Instant { return monotonic.Instant(time.Hour).Add(monotonic.Seconds(s)) }
	names := []ids.ControllerName{"n-0", "n-1", "n-2"}
	have := map[ids.ControllerName]int{"n-0": 900, "n-1": 0, "n-2": 0}
	weight := map[ids.ControllerName]float64{"n-0": leaderWeight, "n-1": 1, "n-2": 1}
	var crowds [3]connectionBalancer
	moves := 0
	for step := range 4000 {
		before := moves
		for i, name := range names {
			var others []nodeLoad
			for _, o := range names {
				if o != name {
					others = append(others, nodeLoad{o, have[o], weight[o]})
				}
			}
			if to, ok := crowds[i].chooseTarget(nodeLoad{name, have[name], weight[name]}, others, at(float64(step)*0.05)); ok {
				have[name]--
				have[to]++
				moves++
			}
		}
		if moves > before+len(names) {
			t.Fatal("a whole crowd was moved at once")
		}
	}
	if have["n-0"] > 250 || have["n-1"] < 300 || have["n-2"] < 300 || moves > 700 {
		t.Fatalf("after %d moves: %v", moves, have)
	}
	if _, ok := crowds[0].chooseTarget(nodeLoad{"n-0", 900, 1}, nil, at(1000)); ok {
		t.Error("moved although nobody else follows the leader")
	}
}

func TestWhatCanNeverRun(t *testing.T) {
	n := testNode(t, testConfig("127.0.0.1:4"))
	types := []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}}
	base := wire.JobSpec{Team: "red", Tasks: 3, CPUs: 8, MemoryGB: 1}
	for name, c := range map[string]struct {
		change func(*wire.JobSpec)
		can    bool
	}{
		"an array may wait for its limit": {func(*wire.JobSpec) {}, true},
		"a service needs all at once":     {func(s *wire.JobSpec) { s.Service = true }, false},
		"so does a gang":                  {func(s *wire.JobSpec) { s.Gang = true }, false},
		"a service that fits":             {func(s *wire.JobSpec) { s.Service, s.Tasks = true, 2 }, true},
		"unknown team":                    {func(s *wire.JobSpec) { s.Team = "green" }, false},
		"too large for any type":          {func(s *wire.JobSpec) { s.CPUs = 9 }, false},
		"too much memory":                 {func(s *wire.JobSpec) { s.MemoryGB = 17 }, false},
		"no such type":                    {func(s *wire.JobSpec) { s.Types = []ids.MachineType{"x"} }, false},
		"no such zone":                    {func(s *wire.JobSpec) { s.Zone = "z" }, false},
		"no gpus for anybody":             {func(s *wire.JobSpec) { s.GPUs = 1 }, false},
	} {
		s := base
		c.change(&s)
		if got := n.canRun(&s, types); got != c.can {
			t.Errorf("%s: %v, want %v", name, got, c.can)
		}
	}
}

// store is a stand-in for the state service that knows one job and can refuse.
func store(t *testing.T) (addr string, refuse *atomic.Bool) {
	t.Helper()
	refuse = new(atomic.Bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case refuse.Load():
			w.WriteHeader(503)
		case r.URL.Path == "/store":
			rec := map[string]any{"s": "withdrawn", "n": 3, "p": map[string]any{"n": 3}}
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9, "entries": []any{map[string]any{"key": "jobs/job-1", "v": rec, "stamp": 7}}}))
		case r.URL.Path == "/changes":
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9}))
		default:
			w.WriteHeader(404)
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9}))
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), refuse
}

// badRecords is a stand-in that lists records that make no sense: of job-1 and of
// job-4, whose tasks are placed, of where tasks of job-3 are, and of the format.
func badRecords(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body any = map[string]any{"epoch": 9, "entries": []any{}}
		switch {
		case r.URL.Path == "/store/format":
			body = map[string]any{"v": "nonsense", "stamp": 3}
		case r.URL.Path == "/store/fleet":
			body = map[string]any{"v": 1, "stamp": 2}
		case r.URL.Query().Get("prefix") == "jobs/":
			good := records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}}
			body = map[string]any{"epoch": 9, "entries": []any{
				map[string]any{"key": "jobs/job-1", "v": "nonsense", "stamp": 7},
				map[string]any{"key": "jobs/job-2", "v": good, "stamp": 8}, map[string]any{"key": "jobs/job-3", "v": good, "stamp": 8},
				map[string]any{"key": "jobs/job-4", "v": "nonsense", "stamp": 8}}}
		case r.URL.Query().Get("prefix") == "admissions/":
			placed := records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}}
			body = map[string]any{"epoch": 9, "entries": []any{map[string]any{"key": "admissions/job-3/00000", "v": "nonsense", "stamp": 7},
				map[string]any{"key": "admissions/job-4/00000", "v": placed, "stamp": 7}}}
		}
		_, _ = w.Write(wire.Encode(body))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func testTerm(revision ids.Revision) *election.Term { return &election.Term{Revision: revision} }

// A node that the state service refuses alone reads through a peer; without
// one it says at once that it does not know.
func TestReadsThroughAPeerWhenRefusedAlone(t *testing.T) {
	goodAddr, _ := store(t)
	badAddr, refuse := store(t)
	refuse.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	other := testNode(t, testConfig(goodAddr))

	cfg := testConfig(badAddr)
	cfg.Seeds = []config.Peer{{Name: "n-1", Address: meshOf(t, other)}}
	n := testNode(t, cfg)
	answering := make(chan error, 1)
	go func() { answering <- n.statusReads.run(ctx) }()
	defer func() { cancel(); <-answering }()
	if a := n.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Fatalf("refused, and no peer known to be better: %+v", a)
	}
	n.health.failures.Store(2)
	n.peers[0].stateOK.Store(true)
	n.peers[0].lastHeard.Store(int64(n.clock.Now()))
	if a := n.Status(ctx, "job-2"); a.Status != 404 {
		t.Errorf("an unknown job: %+v", a)
	}
	// The cancellation is told only since a leader is known to have taken it in.
	if a := n.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("a withdrawal that no leader may know of: %+v", a)
	}
	n.observePing(ping{Acked: 7})
	a := n.Status(ctx, "job-1")
	if s, ok := a.Body.(wire.JobStatus); a.Status != 200 || !ok || s.Status != wire.JobCancelled {
		t.Fatalf("through the peer: %+v", a)
	}
	// What is over stays over, whoever can be reached.
	n.peers[0].stateOK.Store(false)
	if a := n.Status(ctx, "job-1"); a.Status != 200 {
		t.Errorf("a job known to be over: %+v", a)
	}
}

func TestAnswersThatNeverCameAreUnknown(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := ln.Accept()
		if err == nil {
			buf := make([]byte, 1)
			_, _ = c.Read(buf)
			c.Close() // after the request has arrived
		}
	}()
	if _, _, err := httpclient.New(ln.Addr().String(), 1, 1000).Do(t.Context(), "POST", "/commit", []byte{1}, time.Minute); !errors.Is(err, httpclient.ErrNoResponse) {
		t.Errorf("a request that arrived and was not answered: %v", err)
	}
	ln.Close()
	if _, _, err := httpclient.New(ln.Addr().String(), 1, 1000).Do(t.Context(), "POST", "/commit", []byte{1}, time.Minute); !errors.Is(err, httpclient.ErrNotSent) {
		t.Errorf("a refused connection: %v", err)
	}
}

// fullOnce is a listener of a process that is out of sockets at first.
type fullOnce struct {
	net.Listener
	left int
}

func (l *fullOnce) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A node that is out of sockets goes on once it has some again.
func TestAcceptsAgainOnceThereAreSockets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := retryListener{&fullOnce{ln, 2}, slog.New(slog.DiscardHandler)}
	go func() {
		if c, err := net.Dial("tcp4", ln.Addr().String()); err == nil {
			c.Close()
		}
	}()
	c, err := p.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	ln.Close()
	if _, err := p.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}

// The cloud fences nobody: a call that waited for its turn while its leader was
// replaced, or was paused, is not made any more.
func TestCallsOfAnEndedTermAreNotMade(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { calls.Add(1) }))
	defer srv.Close()
	may := new(atomic.Bool)
	may.Store(true)
	c := cloud.New(strings.TrimPrefix(srv.URL, "http://"), 1).AuthorizedBy(may.Load)
	if err := c.Terminate(t.Context(), []ids.MachineID{"n-1"}); err != nil || calls.Load() != 1 {
		t.Fatalf("%d calls, %v", calls.Load(), err)
	}
	time.AfterFunc(50*time.Millisecond, func() { may.Store(false) }) // while the next waits for the budget
	if err := c.Terminate(t.Context(), []ids.MachineID{"n-1"}); err == nil || calls.Load() != 1 {
		t.Errorf("%d calls, %v", calls.Load(), err)
	}
}

// The core is told that everybody follows only when every other controller has
// said so: one that has not may be an earlier leader that goes on answering.
func TestAllPeersMustFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig("127.0.0.1:4")
		cfg.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
		n := testNode(t, cfg)
		tm := newTerm(n, testTerm(7))
		ctx, cancel := context.WithCancel(t.Context())
		tm.ctx = ctx
		done := make(chan error, 1)
		go func() { done <- tm.awaitPeers() }()
		for _, step := range []struct {
			first, second uint64
			told          int
		}{{0, 0, 0}, {9, 0, 0}, {9, 6, 0}, {9, 7, 1}} {
			n.peers[0].leaderRevision.Store(step.first)
			n.peers[1].leaderRevision.Store(step.second)
			time.Sleep(time.Second)
			if told := len(tm.events); told != step.told {
				t.Errorf("%+v: told %d times", step, told)
			}
		}
		cancel()
		<-done
	})
}
