package worker

import (
	"errors"
	"net/http"
	"reflect"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// The golden file holds the methods, paths and bodies of requests, which are part of the agents'
// protocol. A response is decoded to the same heartbeat even if the agent refused the commands.
func TestRequestsToWorkers(t *testing.T) {
	response := map[string]any{"host": "n-1", "endpoint": "10.0.0.9:9000", "frame": "g8", "hall": "zone-a", "loaner": true, "tenure": 6, "tick": 7,
		"baton": 8, "warningS": 25.5, "legs": []any{map[string]any{"leg": "job-1/3", "try": 2, "status": "ended", "cause": "done", "stored": true}}}
	spotNotice := 25.5
	want := wire.Heartbeat{Machine: "n-1", Endpoint: "10.0.0.9:9000", Type: "g8", Zone: "zone-a", Spot: true, Incarnation: 6, Sequence: 7, FencingToken: 8,
		SpotNoticeS: &spotNotice, Tasks: []wire.TaskStatus{{Name: "job-1/3", Attempt: 2, State: wire.TaskEnded, Cause: wire.CauseDone, Checkpointed: true}}}
	status := http.StatusOK
	rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(wire.Encode(response))
	})
	c := New()
	check := func(name string, got *wire.Heartbeat, err error) {
		t.Helper()
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	command := wire.Command{Verb: wire.VerbKill, Name: "job-1/3", Attempt: 4, GraceS: 5.5}
	batch := wire.CommandBatch{FencingToken: ids.NewFencingToken(412, 5), Incarnation: 6, Commands: []wire.Command{command}}
	got, err := c.SendCommands(t.Context(), rec.Address, batch, time.Second)
	check("commands", got, err)
	status = http.StatusConflict
	got, err = c.SendCommands(t.Context(), rec.Address, wire.CommandBatch{FencingToken: 9, Incarnation: 6}, time.Second)
	check("no commands, refused", got, err)
	status = http.StatusOK
	got, err = c.RequestHeartbeat(t.Context(), rec.Address, time.Second)
	check("heartbeat request", got, err)
	status = http.StatusInternalServerError
	if _, err := c.RequestHeartbeat(t.Context(), rec.Address, time.Second); !errors.Is(err, httpclient.ErrNoResponse) {
		t.Errorf("internal error: %v, want %v", err, httpclient.ErrNoResponse)
	}
	golden.CheckText(t, "requests.txt", rec.Text())
}
