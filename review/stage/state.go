package main

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/wire"
)

// retainedChanges is the number of changes that the state service keeps.
const retainedChanges = 10_000

// stateService is the project's stand-in of the state service behind the rates of the settings: above them
// requests get 429.
type stateService struct {
	server           *kvtest.Server
	front            *http.Server
	address          string
	requests, writes *rate.Limiter
}

func newStateService(limits config.Limits) (*stateService, error) {
	store := kvtest.NewStore()
	store.SetRetention(retainedChanges)
	s := &stateService{
		server:   kvtest.NewServer(store),
		requests: rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS)),
		writes:   rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS)),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.server.Address()})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // a controller that is ended gives its requests up
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 200}
	s.front = &http.Server{Handler: s.limit(proxy)}
	go func() { _ = s.front.Serve(listener) }() // ends when close closes the server
	return s, nil
}

// limit passes requests to next within the rates.
func (s *stateService) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.requests.Allow() || !s.allowsWrites(r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// allowsWrites reports whether the puts and deletes of a transaction are within the rate. It returns true for
// other requests.
func (s *stateService) allowsWrites(r *http.Request) bool {
	if r.URL.Path != "/commit" {
		return true
	}
	raw, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(raw))
	var body struct {
		Apply []msgpack.RawMessage `msgpack:"apply"`
	}
	if err != nil || wire.Decode(raw, &body) != nil {
		return true // the state service refuses it
	}
	return s.writes.AllowN(timeNow(), len(body.Apply))
}

func (s *stateService) close() {
	_ = s.front.Close()
	s.server.Close()
}
