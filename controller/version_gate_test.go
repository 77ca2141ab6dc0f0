package controller

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
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

// All controllers are upgraded only once each was heard itself, or by one that was.
func TestAllControllersAreUpgraded(t *testing.T) {
	fresh := func(seen ...ids.ControllerName) peerapi.Ping {
		return peerapi.Ping{Versions: peerapi.Versions{Format: peerapi.RecordFormat, Seen: seen}}
	}
	for _, c := range []struct {
		name          string
		first, second *peerapi.Ping
		all           bool
	}{
		{"none heard", nil, nil, false},
		{"one heard", new(fresh()), nil, false},
		{"both heard", new(fresh()), new(fresh()), true},
		{"one is old", new(fresh()), new(peerapi.Ping{From: "n-2"}), false},
		{"one heard by the other", new(fresh("n-0", "n-2")), nil, true},
		{"heard by one that is old again", new(peerapi.Ping{Versions: peerapi.Versions{Format: 1, Seen: []ids.ControllerName{"n-2"}}}), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			platform := testConfig("127.0.0.1:4")
			platform.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
			n := newTestController(t, platform)
			for i, ping := range []*peerapi.Ping{c.first, c.second} {
				if ping != nil {
					n.peers[i].observeVersions(fresh("n-1", "n-2").Versions)
					n.peers[i].observeVersions(ping.Versions)
				}
			}
			if all, durable := n.gate.allUpgraded(), n.gate.durable(); all != c.all || durable {
				t.Errorf("all upgraded: %v, durable: %v", all, durable)
			}
		})
	}
}

// That all controllers are upgraded is made durable: a controller that finds it so need hear no
// other.
func TestOpenGateIsDurable(t *testing.T) {
	peers := []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
	state := newSmallState(t)
	first, second := startController(t, "n-0", state.addr, peers...), startController(t, "n-0", state.addr, peers...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range peers {
		first.peers[i].observeVersions(peerapi.Versions{Format: peerapi.RecordFormat})
	}
	for _, c := range []*Controller{first, second} {
		if err := c.gate.run(ctx); err != nil || !c.gate.Open() {
			t.Fatalf("not durable: %v", err)
		}
	}
}

// A format record that cannot be read is reported, and ends no term.
func TestUnreadableFormatRecordIsReported(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": "nonsense", "stamp": 3}))
	}))
	t.Cleanup(store.Close)
	var logged bytes.Buffer
	c := newLoggingController(t, testConfig(strings.TrimPrefix(store.URL, "http://")), slog.New(slog.NewTextHandler(&logged, nil)))
	if err := c.gate.Load(t.Context(), c.userStore); err != nil || c.gate.Open() {
		t.Errorf("open: %v, %v", c.gate.Open(), err)
	}
	if !strings.Contains(logged.String(), "key=format") {
		t.Errorf("not reported: %s", logged.String())
	}
}
