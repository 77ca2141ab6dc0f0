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

// Recorder is an HTTP server on loopback that records its requests.
type Recorder struct {
	// Address is host:port of the server.
	Address string

	mu   sync.Mutex
	text strings.Builder
}

// NewRecorder starts a server that ends with the test. It records each request as one line
// (method, path with query, content type and the hexadecimal body, or - without a body),
// and then calls the handler.
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

// add records one request.
func (rec *Recorder) add(r *http.Request, body []byte) {
	text := hex.EncodeToString(body)
	if text == "" {
		text = "-"
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(&rec.text, "%s %s %q %s\n", r.Method, r.RequestURI, r.Header.Get("Content-Type"), text)
}

// Text returns the lines of all requests so far.
func (rec *Recorder) Text() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.text.String()
}
