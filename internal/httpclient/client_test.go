package httpclient

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/golden"
)

// closedAddress is an address that refuses connections because nothing listens on it.
const closedAddress = "127.0.0.1:1"

// Only a request that was certainly not sent may fail with ErrNotSent, because callers treat it as not
// executed. Every other failure must be ErrNoResponse.
func TestTransportErrorKinds(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	closesAfterRequest := golden.NewRecorder(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	hangs := golden.NewRecorder(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	largeResponse := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2000)) })
	for _, c := range []struct {
		name    string
		ctx     context.Context
		address string
		timeout time.Duration
		want    error
	}{
		{"refused connection", t.Context(), closedAddress, time.Minute, ErrNotSent},
		{"context canceled before the request", canceled, closesAfterRequest.Address, time.Minute, ErrNotSent},
		{"connection closed after the request", t.Context(), closesAfterRequest.Address, time.Minute, ErrNoResponse},
		{"timeout", t.Context(), hangs.Address, 50 * time.Millisecond, ErrNoResponse},
		{"response too large", t.Context(), largeResponse.Address, time.Minute, ErrNoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New(c.address, 1, 1000)
			t.Cleanup(client.Close)
			_, _, err := client.Do(c.ctx, http.MethodPost, "/commit", []byte{1}, c.timeout)
			if !errors.Is(err, c.want) || errors.Is(err, ErrNotSent) && errors.Is(err, ErrNoResponse) {
				t.Errorf("%v, want %v", err, c.want)
			}
			checkRequestError(t, err, RequestError{Method: http.MethodPost, Path: "/commit"})
		})
	}
}

// checkRequestError checks that err wraps a *RequestError with the method, path, status and message of
// want.
func checkRequestError(t *testing.T, err error, want RequestError) {
	t.Helper()
	var requestError *RequestError
	if !errors.As(err, &requestError) {
		t.Fatalf("%v does not wrap a *RequestError", err)
	}
	if requestError.Method != want.Method || requestError.Path != want.Path || requestError.Status != want.Status || requestError.Message != want.Message {
		t.Errorf("request error %+v, want %+v", *requestError, want)
	}
}

// A request fails with ErrNotSent if all connections are in use until connectionWaitTimeout expires.
func TestRequestWithoutFreeConnectionIsNotSent(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{})
	rec := golden.NewRecorder(t, func(http.ResponseWriter, *http.Request) { close(arrived); <-release })
	client := New(rec.Address, 1, 1000)
	first := make(chan error, 1)
	go func() {
		_, _, err := client.Do(t.Context(), http.MethodGet, "/first", nil, time.Minute)
		first <- err
	}()
	<-arrived
	if _, _, err := client.Do(t.Context(), http.MethodGet, "/second", nil, time.Minute); !errors.Is(err, ErrNotSent) {
		t.Errorf("%v, want %v", err, ErrNotSent)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// A request must fail at the context's deadline if that is earlier than the timeout.
func TestContextDeadlineBoundsRequest(t *testing.T) {
	hangs := golden.NewRecorder(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, _, err := New(hangs.Address, 1, 1000).Do(ctx, http.MethodGet, "/", nil, time.Minute)
	if took := time.Since(start); !errors.Is(err, ErrNoResponse) || took > 10*time.Second {
		t.Errorf("%v after %v", err, took)
	}
}
