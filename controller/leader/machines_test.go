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

// The cloud does not fence calls: a call that waited for the request budget while its leader was
// replaced or paused is not sent.
func TestCallsOfAnEndedTermAreNotMade(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
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
