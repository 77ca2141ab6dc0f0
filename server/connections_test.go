package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// startServer starts a server that runs until the test ends, and returns its address.
func startServer(t *testing.T, service Service, limits Limits) string {
	t.Helper()
	address, stop := serveApp(t, newApp(service, limits))
	t.Cleanup(stop)
	return address
}

// serveApp serves an application on loopback until stop is called.
func serveApp(t *testing.T, app *fiber.App) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, app, listener) }()
	return listener.Addr().String(), func() {
		cancel()
		<-served
	}
}

// newClient returns a client with its own connections, which are closed when the test ends.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// sendHeartbeat sends the heartbeat of a worker. The client keeps the connection unless the server
// closes it.
func sendHeartbeat(t *testing.T, client *http.Client, address string, worker int) {
	t.Helper()
	body := wire.Encode(wire.Heartbeat{Machine: ids.MachineID(fmt.Sprintf("n-%d", worker)), Incarnation: 1})
	response, err := client.Post("http://"+address+"/hello", contentType, bytes.NewReader(body))
	if err != nil {
		t.Fatalf("worker %d: %v", worker, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusMisdirectedRequest {
		t.Fatalf("worker %d: status %d", worker, response.StatusCode)
	}
	// The client keeps a connection only after it has read the whole response.
	_, _ = io.Copy(io.Discard, response.Body)
}

// checkHealth sends a health check over a new connection and requires that it succeeds.
func checkHealth(t *testing.T, address string) {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get("http://" + address + "/up")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("health check: status %d", response.StatusCode)
	}
}

// There may be more workers than sockets. If the server kept the connections of all workers open,
// others could not send their heartbeats, and health checks would get no socket. A connection that
// the server closes counts against MaxConnections until its goroutine has ended, which may be after
// the client has read the response and opened its next connection. With 100 connections, of which
// workers keep 70, a request is rejected only while 30 such goroutines haven't ended. With 10, three
// are enough, and that happens on a busy machine.
func TestMoreWorkersThanSockets(t *testing.T) {
	address := startServer(t, &fakeService{healthy: true}, Limits{MaxConnections: 100, IdleTimeout: time.Minute})
	workers := make([]*http.Client, 300)
	for i := range workers {
		workers[i] = newClient(t)
	}
	for range 3 {
		for i, worker := range workers {
			sendHeartbeat(t, worker, address, i)
		}
		checkHealth(t, address)
	}
}

// A body above the limit is rejected by its Content-Length. A server that waits for the body
// never responds here, because only the header is sent.
func TestTooLargeBodyIsRejectedBeforeReading(t *testing.T) {
	address := startServer(t, &fakeService{}, Limits{MaxConnections: 10, IdleTimeout: time.Minute})
	if status := postTooLargeHeader(t, address, "/api/jobs"); status != http.StatusBadRequest {
		t.Errorf("status %d", status)
	}
}

// A machine whose heartbeats are refused loses all its tasks, so the log must say why.
func TestTooLargeHeartbeatIsLogged(t *testing.T) {
	var lines bytes.Buffer
	app := New(&fakeService{}, Limits{MaxConnections: 10, IdleTimeout: time.Minute}, slog.New(slog.NewTextHandler(&lines, nil)))
	address, stop := serveApp(t, app)
	status := postTooLargeHeader(t, address, heartbeatPath)
	stop()
	if got := lines.String(); status != http.StatusBadRequest || !strings.Contains(got, "level=WARN") || !strings.Contains(got, "heartbeat rejected") {
		t.Errorf("status %d, log %q", status, got)
	}
}

// postTooLargeHeader sends the header of a request whose body is above the limit, and returns the status of
// the response.
func postTooLargeHeader(t *testing.T, address, path string) int {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: n\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", path, wire.MaxBodyBytes+1)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}
