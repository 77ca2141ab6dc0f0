package kvtest

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// Server serves a Store over HTTP on loopback. Several servers of one store can refuse the requests of
// their callers independently.
type Server struct {
	*Store
	http *httptest.Server

	mu            sync.Mutex
	refused       bool
	refusedPrefix string
}

// NewServer starts a server for the store. Close stops it.
func NewServer(store *Store) *Server {
	server := &Server{Store: store}
	server.http = httptest.NewServer(server.refuseOrServe(newHandler(store)))
	return server
}

// refuseOrServe returns a handler that refuses a request if refuses reports true, and otherwise passes it to
// next.
func (s *Server) refuseOrServe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses(r.URL.Path) {
			respondError(w, kv.ErrUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuses reports whether requests for the path are refused.
func (s *Server) refuses(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused && strings.HasPrefix(path, s.refusedPrefix)
}

// RefuseRequests makes requests to this server fail as unavailable if their paths have the prefix. The
// prefix "/" matches all requests. Open watches stay open.
func (s *Server) RefuseRequests(pathPrefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused, s.refusedPrefix = true, pathPrefix
}

// AcceptRequests makes this server accept all requests again.
func (s *Server) AcceptRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = false
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return strings.TrimPrefix(s.http.URL, "http://") }

// Close closes the server and its open connections.
func (s *Server) Close() {
	s.http.CloseClientConnections()
	s.http.Close()
}

// handler implements the store's HTTP protocol.
type handler struct{ store *Store }

// newHandler returns a handler that serves the store. For a lost response, it closes the connection
// without a response.
func newHandler(store *Store) http.Handler {
	h := handler{store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", h.get)
	mux.HandleFunc("GET /store", h.list)
	mux.HandleFunc("POST /commit", h.commit)
	mux.HandleFunc("POST /grants", h.grantLease)
	mux.HandleFunc("POST /grants/{id}/touch", h.renewLease)
	mux.HandleFunc("DELETE /grants/{id}", h.revokeLease)
	mux.HandleFunc("GET /changes", h.watch)
	return mux
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `msgpack:"error"`
}

// respond writes a response with the status and the encoded body.
func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body)) // fails only if the client has disconnected
}

// respondError writes the response that represents an error of the store.
func respondError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, kv.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, kv.ErrLeaseExpired), errors.Is(err, kv.ErrRejected):
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
	case errors.Is(err, kv.ErrMalformedResponse):
		respond(w, http.StatusOK, "not a response of the protocol")
	default:
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

// decodeBody decodes the body of the request.
func decodeBody(r *http.Request, body any) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return wire.Decode(raw, body)
}

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	entry, found, err := h.store.Get(r.Context(), r.PathValue("key"))
	switch {
	case err != nil:
		respondError(w, err)
	case !found:
		respond(w, http.StatusNotFound, struct{}{})
	default:
		respond(w, http.StatusOK, entry)
	}
}

func (h handler) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil {
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	page, err := h.store.page(query.Get("prefix"), query.Get("since"), size)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, http.StatusOK, page)
}

// txnBody is a received kv.Txn whose values are not decoded.
type txnBody struct {
	Preconditions []kv.Precondition `msgpack:"guards"`
	Operations    []operationBody   `msgpack:"apply"`
}

// operationBody is a received kv.Operation whose value is not decoded.
type operationBody struct {
	PutKey    string             `msgpack:"write"`
	Value     msgpack.RawMessage `msgpack:"v"`
	Lease     ids.LeaseID        `msgpack:"hold"`
	DeleteKey string             `msgpack:"drop"`
}

// txn converts the body to a kv.Txn.
func (b txnBody) txn() kv.Txn {
	txn := kv.Txn{Preconditions: b.Preconditions}
	for _, operation := range b.Operations {
		txn.Operations = append(txn.Operations, kv.Operation{
			PutKey: operation.PutKey, Value: operation.Value, Lease: operation.Lease, DeleteKey: operation.DeleteKey})
	}
	return txn
}

// commitResponse is the response to a commit request.
type commitResponse struct {
	Revision   ids.Revision `msgpack:"epoch"`
	FailedKeys []string     `msgpack:"failed,omitempty"`
}

func (h handler) commit(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := decodeBody(r, &body); err != nil {
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	result, err := h.store.Commit(r.Context(), body.txn())
	if err != nil {
		respondError(w, err)
		return
	}
	status := http.StatusOK
	if !result.Applied {
		status = http.StatusConflict
	}
	respond(w, status, commitResponse{result.Revision, result.FailedKeys})
}

// leaseID returns the lease ID in the request path. If the path has no valid ID, it returns 0, which is not
// the ID of any lease.
func leaseID(r *http.Request) ids.LeaseID {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return ids.LeaseID(id)
}

func (h handler) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `msgpack:"ttlMs"`
	}
	if err := decodeBody(r, &body); err != nil {
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	id, err := h.store.GrantLease(r.Context(), time.Duration(body.TTLMillis)*time.Millisecond)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, http.StatusOK, map[string]ids.LeaseID{"hold": id})
}

func (h handler) renewLease(w http.ResponseWriter, r *http.Request) {
	err := h.store.RenewLease(r.Context(), leaseID(r))
	switch {
	case errors.Is(err, kv.ErrLeaseExpired):
		respond(w, http.StatusNotFound, struct{}{})
	case err != nil:
		respondError(w, err)
	default:
		respond(w, http.StatusOK, struct{}{})
	}
}

func (h handler) revokeLease(w http.ResponseWriter, r *http.Request) {
	if err := h.store.RevokeLease(r.Context(), leaseID(r)); err != nil {
		respondError(w, err)
		return
	}
	respond(w, http.StatusOK, struct{}{})
}

// watchResponse is the response to a watch request.
type watchResponse struct {
	Revision ids.Revision `msgpack:"epoch"`
	Events   []kv.Event   `msgpack:"events"`
}

func (h handler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	maxWaitMillis, err := strconv.ParseInt(query.Get("holdMs"), 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	maxWait := time.Duration(maxWaitMillis) * time.Millisecond
	revision, events, err := h.store.Watch(r.Context(), query.Get("prefix"), ids.Revision(since), maxWait)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, http.StatusOK, watchResponse{revision, events})
}
