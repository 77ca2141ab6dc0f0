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

// Recorder is an HTTP server on loopback that records the requests it receives.
type Recorder struct {
	// Address is the host:port on which the server listens.
	Address string

	mu   sync.Mutex
	text strings.Builder
}

// NewRecorder starts a server that is closed at the end of the test. The server records each request as
// one line and then calls the handler. A line holds the method, the path with the query, the content
// type, and the body in hexadecimal, or "-" if there is none.
func NewRecorder(t *testing.T, handler http.HandlerFunc) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		recorder.add(r, body)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	recorder.Address = strings.TrimPrefix(server.URL, "http://")
	return recorder
}

// add records a request.
func (rec *Recorder) add(r *http.Request, body []byte) {
	text := hex.EncodeToString(body)
	if text == "" {
		text = "-"
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(&rec.text, "%s %s %q %s\n", r.Method, r.RequestURI, r.Header.Get("Content-Type"), text)
}

// Text returns the lines of all requests received so far.
func (rec *Recorder) Text() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.text.String()
}
