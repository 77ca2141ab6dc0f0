package leader

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/ids"
)

// The cloud does not fence calls. A call may wait for the client's rate limit while the leader is
// replaced or its process is paused. Such a call must not be sent.
func TestCloudCallsAreNotSentAfterTermEnds(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	authorized := new(atomic.Bool)
	authorized.Store(true)
	c := cloud.New(strings.TrimPrefix(srv.URL, "http://"), 1).AuthorizedBy(authorized.Load)
	if err := c.Terminate(t.Context(), []ids.MachineID{"n-1"}); err != nil || calls.Load() != 1 {
		t.Fatalf("authorized call: %d calls received, %v", calls.Load(), err)
	}
	time.AfterFunc(50*time.Millisecond, func() { authorized.Store(false) }) // while the next call waits for the rate limit
	if err := c.Terminate(t.Context(), []ids.MachineID{"n-1"}); err == nil || calls.Load() != 1 {
		t.Errorf("call after the end of the authorization: %d calls received, %v", calls.Load(), err)
	}
}
