package golden

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Recorder is a service that notes what it is asked.
type Recorder struct {
	// Address is where it is reached.
	Address string

	mu   sync.Mutex
	text strings.Builder
}

// Record serves, and notes each request as one line: method, path with query, type and
// bytes of the body, - if there is none.
func Record(t *testing.T, answer http.HandlerFunc) *Recorder {
	t.Helper()
	rec := &Recorder{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		text := hex.EncodeToString(body)
		if text == "" {
			text = "-"
		}
		rec.mu.Lock()
		fmt.Fprintf(&rec.text, "%s %s %q %s\n", r.Method, r.RequestURI, r.Header.Get("Content-Type"), text)
		rec.mu.Unlock()
		answer(w, r)
	}))
	t.Cleanup(srv.Close)
	rec.Address = strings.TrimPrefix(srv.URL, "http://")
	return rec
}

// Text is the requests so far.
func (rec *Recorder) Text() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.text.String()
}
