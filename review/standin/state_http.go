package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// reply writes an answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body)) // fails only if the caller has gone
}

// parse decodes the body of a request. If that fails, it answers 400 and returns false.
func parse(w http.ResponseWriter, r *http.Request, body any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = wire.Decode(raw, body)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
	}
	return err == nil
}

// handler returns the state service's HTTP interface.
func (s *State) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /commit", s.commit)
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/touch", s.touch)
	mux.HandleFunc("DELETE /grants/{id}", s.revoke)
	mux.HandleFunc("GET /changes", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.requests.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(answerDelay())
		mux.ServeHTTP(w, r)
	})
}

func (s *State) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, found := s.entries[r.PathValue("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]uint64{"epoch": s.epoch})
		return
	}
	reply(w, http.StatusOK, entry)
}

// The limits of one page of a list.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items, err := strconv.Atoi(query.Get("page"))
	if err != nil || items > maxPageItems {
		reply(w, http.StatusBadRequest, map[string]string{"error": "page"})
		return
	}
	s.mu.Lock()
	s.expire()
	entries, more := s.page(query.Get("prefix"), query.Get("since"), items)
	epoch := s.epoch
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasNext": more, "epoch": epoch})
}

// page returns the entries of one page, and whether another one follows.
func (s *State) page(prefix, since string, items int) (entries []stateEntry, more bool) {
	first, _ := slices.BinarySearch(s.keys, max(prefix, since))
	size := 0
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key == since {
			continue
		}
		entry := s.entries[key]
		if size += entry.size; len(entries) == items || size > maxPageBytes {
			return entries, true
		}
		entries = append(entries, entry)
	}
	return entries, false
}

// transaction is the body of a transaction.
type transaction struct {
	Guards []stateGuard     `msgpack:"guards"`
	Apply  []stateOperation `msgpack:"apply"`
}

// The protocol's limits of a transaction.
const (
	maxTransactionBytes = 64 << 10
	guardsPerOperation  = 4
)

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if !parse(w, r, &body) {
		return
	}
	if problem := s.transactionProblem(&body); problem != "" {
		reply(w, http.StatusBadRequest, map[string]string{"error": problem})
		return
	}
	if !s.writes.AllowN(time.Now(), len(body.Apply)) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, operation := range body.Apply {
		if operation.Hold != 0 && s.grants[operation.Hold] == nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	if failed := s.failedGuards(body.Guards); len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	s.apply(body.Apply)
	reply(w, http.StatusOK, map[string]uint64{"epoch": s.epoch})
}

// transactionProblem returns the limit that a transaction exceeds, or "". It also sets the sizes of the
// values.
func (s *State) transactionProblem(body *transaction) string {
	if len(body.Apply) > s.limits.TxnOps || len(body.Guards) > guardsPerOperation*s.limits.TxnOps {
		return "too many operations"
	}
	total := 0
	for i := range body.Apply {
		operation := &body.Apply[i]
		if operation.Write == "" {
			continue
		}
		var err error
		if operation.size, err = wire.JSONSize(operation.Value); err != nil || float64(operation.size) > s.limits.ValueKB*bytesPerKB {
			return "value too large"
		}
		total += operation.size
	}
	if total > maxTransactionBytes {
		return "transaction too large"
	}
	return ""
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `msgpack:"ttlMs"`
	}
	if !parse(w, r, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastGrant++
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	s.grants[s.lastGrant] = &stateGrant{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]uint64{"hold": s.lastGrant})
}

func (s *State) touch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	grant := s.grants[grantID(r)]
	if grant == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	grant.ends = time.Now().Add(grant.ttl)
	reply(w, http.StatusOK, map[string]uint64{})
}

func (s *State) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endGrant(grantID(r))
	reply(w, http.StatusOK, map[string]uint64{})
}

// grantID returns the lease in the path of a request. No lease has the number 0.
func grantID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// expiryInterval is how often a waiting watch looks for leases that have ended.
const expiryInterval = 50 * time.Millisecond

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, errSince := strconv.ParseUint(query.Get("since"), 10, 64)
	hold, errHold := strconv.ParseInt(query.Get("holdMs"), 10, 64)
	if errSince != nil || errHold != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "since or holdMs"})
		return
	}
	deadline := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for !s.answerWatch(w, query.Get("prefix"), since, deadline) {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(expiryInterval, max(time.Until(deadline), time.Millisecond))):
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch answers a watch if there are changes, if its deadline has passed, or if since is too old.
func (s *State) answerWatch(w http.ResponseWriter, prefix string, since uint64, deadline time.Time) (answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if since < s.dropped {
		w.WriteHeader(http.StatusGone)
		return true
	}
	found := s.changesSince(prefix, since)
	if len(found) == 0 && time.Now().Before(deadline) {
		return false
	}
	reply(w, http.StatusOK, map[string]any{"epoch": s.epoch, "events": found})
	return true
}
