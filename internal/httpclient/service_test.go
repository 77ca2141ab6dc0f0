package httpclient

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/wire"
)

// fakeTransport is a Transport that returns the same result for every request.
type fakeTransport struct {
	status int
	body   []byte
	err    error
}

func (s fakeTransport) Do(context.Context, string, string, []byte, time.Duration) (int, []byte, error) {
	return s.status, s.body, s.err
}

var (
	errUnavailable   = errors.New("unavailable")
	errIndeterminate = errors.New("indeterminate")
	errRejected      = errors.New("rejected")
	errMalformed     = errors.New("malformed")
	errCondition     = errors.New("condition")
)

// newTestService returns a service that accepts status 200 and has one condition error, for status 400 with
// the message "special".
func newTestService(transport Transport) *Service {
	return NewService(transport, rate.NewLimiter(rate.Inf, 1), Protocol{
		AcceptedStatuses: []int{http.StatusOK},
		Unavailable:      errUnavailable, Indeterminate: errIndeterminate, Rejected: errRejected, Malformed: errMalformed,
		ConditionError: func(status int, message string) error {
			if status == http.StatusBadRequest && message == "special" {
				return errCondition
			}
			return nil
		},
	})
}

// An error must name the request, status and message, and wrap the kind that callers test for.
func TestErrorsNameTheRequest(t *testing.T) {
	message := func(text string) []byte { return wire.Encode(map[string]string{"error": text}) }
	notSent := &RequestError{Kind: ErrNotSent, Method: http.MethodGet, Path: "/x"}
	for _, c := range []struct {
		name      string
		transport fakeTransport
		kind      error
		want      RequestError
		text      string
	}{
		{"not sent", fakeTransport{err: notSent}, errUnavailable, RequestError{}, "unavailable: not sent: GET /x"},
		{"status", fakeTransport{status: 500}, errIndeterminate, RequestError{Status: 500}, "indeterminate: GET /x: status 500"},
		{"status and message", fakeTransport{status: 400, body: message("too large")}, errRejected,
			RequestError{Status: 400, Message: "too large"}, "rejected: GET /x: status 400: too large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := newTestService(c.transport).Do(t.Context(), Request{Method: http.MethodGet, Path: "/x"})
			if !errors.Is(err, c.kind) || err.Error() != c.text {
				t.Errorf("%v, want %q of kind %v", err, c.text, c.kind)
			}
			c.want.Method, c.want.Path = http.MethodGet, "/x"
			checkRequestError(t, err, c.want)
		})
	}
}

// A condition error is returned as it is, so that callers can compare it.
func TestConditionErrorIsNotWrapped(t *testing.T) {
	transport := fakeTransport{status: http.StatusBadRequest, body: wire.Encode(map[string]string{"error": "special"})}
	if _, err := newTestService(transport).Do(t.Context(), Request{}); err != errCondition {
		t.Errorf("%v, want %v without a wrapper", err, errCondition)
	}
}

func TestMalformedResponseErrorNamesTheRequest(t *testing.T) {
	transport := fakeTransport{status: http.StatusOK, body: []byte{0xc1}}
	response, err := newTestService(transport).Do(t.Context(), Request{Method: http.MethodGet, Path: "/x"})
	if err != nil {
		t.Fatal(err)
	}
	var out map[string]string
	err = response.Decode(&out)
	if !errors.Is(err, errMalformed) {
		t.Errorf("%v, want %v", err, errMalformed)
	}
	checkRequestError(t, err, RequestError{Method: http.MethodGet, Path: "/x", Status: http.StatusOK})
}

// Services that differ only in their transport must share one request budget. An unthrottled service must
// not use the budget.
func TestServicesShareRequestBudget(t *testing.T) {
	transport := fakeTransport{status: http.StatusOK}
	service := newTestService(transport)
	service.budget = rate.NewLimiter(rate.Every(time.Hour), 1)
	if _, err := service.Do(t.Context(), Request{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := service.WithTransport(transport).Do(ctx, Request{Method: http.MethodGet, Path: "/x"})
	if !errors.Is(err, errUnavailable) {
		t.Errorf("beyond the budget: %v", err)
	}
	checkRequestError(t, err, RequestError{Method: http.MethodGet, Path: "/x"})
	if _, err := service.Unthrottled().Do(ctx, Request{}); err != nil {
		t.Errorf("without a budget: %v", err)
	}
}
