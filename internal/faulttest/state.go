// Package faulttest holds stand-ins for what surrounds the controllers (state service, cloud,
// workers in zones, users) on loopback, and starts real controller processes against them.
// Tests of whole failures use it. Only what such a test needs of each protocol is here.
package faulttest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// StateService is a stand-in for the state service: keys under leases, guarded
// transactions and watches.
type StateService struct {
	server *httptest.Server

	mu      sync.Mutex
	epoch   ids.Revision
	entries map[string]stateEntry
	changes []stateChange
	leases  map[ids.LeaseID]*stateLease
	nextID  ids.LeaseID
	changed chan struct{}
	away    bool
}

type stateEntry struct {
	Key      string             `msgpack:"key"`
	Value    msgpack.RawMessage `msgpack:"v"`
	Revision ids.Revision       `msgpack:"stamp"`
	Lease    ids.LeaseID        `msgpack:"hold,omitempty"`
}

type stateChange struct {
	Write    string             `msgpack:"write,omitempty"`
	Drop     string             `msgpack:"drop,omitempty"`
	Value    msgpack.RawMessage `msgpack:"v,omitempty"`
	Revision ids.Revision       `msgpack:"stamp"`
}

type stateLease struct {
	ttl time.Duration
	end time.Time
}

// NewStateService starts a state service on loopback.
func NewStateService() *StateService {
	s := &StateService{entries: map[string]stateEntry{}, leases: map[ids.LeaseID]*stateLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /commit", s.commit)
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/touch", s.touch)
	mux.HandleFunc("DELETE /grants/{id}", s.revoke)
	mux.HandleFunc("GET /changes", s.watch)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Address is where the service listens.
func (s *StateService) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the service.
func (s *StateService) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetAway has the service refuse all requests, or serve again. Leases then have their full
// time again.
func (s *StateService) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	for _, lease := range s.leases {
		lease.end = time.Now().Add(lease.ttl)
	}
}

func (s *StateService) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// reply writes an answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body))
}

// read decodes a request's body; it answers 400 itself.
func read[T any](w http.ResponseWriter, r *http.Request) (body T, ok bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err == nil {
		err = wire.Decode(raw, &body)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
	}
	return body, err == nil
}

// sweep ends the leases whose time is over; it is called under the lock.
func (s *StateService) sweep() {
	for id, lease := range s.leases {
		if time.Now().After(lease.end) {
			s.endLease(id)
		}
	}
}

// endLease removes the keys of a lease.
func (s *StateService) endLease(id ids.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			s.epoch++
			s.apply(key, nil, 0, true)
		}
	}
}

// apply changes one key at the present epoch.
func (s *StateService) apply(key string, value msgpack.RawMessage, lease ids.LeaseID, drop bool) {
	change := stateChange{Write: key, Value: value, Revision: s.epoch}
	if drop {
		delete(s.entries, key)
		change = stateChange{Drop: key, Revision: s.epoch}
	} else {
		s.entries[key] = stateEntry{Key: key, Value: value, Revision: s.epoch, Lease: lease}
	}
	s.changes = append(s.changes, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StateService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	if e, ok := s.entries[r.PathValue("key")]; ok {
		reply(w, http.StatusOK, e)
		return
	}
	reply(w, http.StatusNotFound, map[string]ids.Revision{"epoch": s.epoch})
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	query := r.URL.Query()
	page, _ := strconv.Atoi(query.Get("page"))
	var found []stateEntry
	for key, e := range s.entries {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("since") {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b stateEntry) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > page
	if more {
		found = found[:page]
	}
	reply(w, http.StatusOK, map[string]any{"entries": found, "hasNext": more, "epoch": s.epoch})
}

func (s *StateService) commit(w http.ResponseWriter, r *http.Request) {
	txn, ok := read[struct {
		Guards []struct {
			Key      string       `msgpack:"key"`
			Revision ids.Revision `msgpack:"stamp"`
		} `msgpack:"guards"`
		Apply []struct {
			Write string             `msgpack:"write"`
			Value msgpack.RawMessage `msgpack:"v"`
			Lease ids.LeaseID        `msgpack:"hold"`
			Drop  string             `msgpack:"drop"`
		} `msgpack:"apply"`
	}](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	failed := []string{}
	for _, g := range txn.Guards {
		if s.entries[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	for _, op := range txn.Apply {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	if len(txn.Apply) > 0 {
		s.epoch++
	}
	for _, op := range txn.Apply {
		if op.Write != "" {
			s.apply(op.Write, op.Value, op.Lease, false)
		} else {
			s.apply(op.Drop, nil, 0, true)
		}
	}
	reply(w, http.StatusOK, map[string]ids.Revision{"epoch": s.epoch})
}

func (s *StateService) grant(w http.ResponseWriter, r *http.Request) {
	body, ok := read[struct {
		TTL int64 `msgpack:"ttlMs"`
	}](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextID] = &stateLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]ids.LeaseID{"hold": s.nextID})
}

// leaseOf finds the lease that a path names.
func (s *StateService) leaseOf(r *http.Request) (ids.LeaseID, *stateLease) {
	n, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return ids.LeaseID(n), s.leases[ids.LeaseID(n)]
}

func (s *StateService) touch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	_, lease := s.leaseOf(r)
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]ids.Revision{"epoch": s.epoch})
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]ids.Revision{"epoch": s.epoch})
}

func (s *StateService) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, lease := s.leaseOf(r); lease != nil {
		s.endLease(id)
	}
	reply(w, http.StatusOK, map[string]ids.Revision{"epoch": s.epoch})
}

func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("holdMs"))
	deadline := time.After(time.Duration(hold) * time.Millisecond)
	// Leases end without a request, too.
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		events, epoch, changed := s.eventsSince(query.Get("prefix"), ids.Revision(since))
		if len(events) > 0 || hold == 0 {
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "events": events})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-deadline:
			hold = 0
		}
	}
}

// eventsSince lists the changes under a prefix after a revision.
func (s *StateService) eventsSince(prefix string, since ids.Revision) ([]stateChange, ids.Revision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	events := []stateChange{}
	first, _ := slices.BinarySearchFunc(s.changes, since+1, func(c stateChange, at ids.Revision) int {
		return int(int64(c.Revision) - int64(at))
	})
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.Write+c.Drop, prefix) {
			events = append(events, c)
		}
	}
	return events, s.epoch, s.changed
}
