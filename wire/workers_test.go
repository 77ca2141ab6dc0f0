package wire

import (
	"errors"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

func TestParseHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name  string
		body  []byte
		valid bool
	}{
		{"valid", Encode(Heartbeat{Machine: "n-1", Incarnation: 6}), true},
		{"without machine", Encode(Heartbeat{Incarnation: 6}), false},
		{"without incarnation", Encode(Heartbeat{Machine: "n-1"}), false},
		{"not a map", Encode(7), false},
		{"empty", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat, err := ParseHeartbeat(c.body)
			if c.valid && (err != nil || heartbeat.Machine != "n-1" || heartbeat.Incarnation != 6) {
				t.Errorf("got %+v, %v, want a heartbeat of n-1 in incarnation 6", heartbeat, err)
			}
			if !c.valid && (heartbeat != nil || !errors.Is(err, ErrMalformedBody)) {
				t.Errorf("got %+v, %v, want %v", heartbeat, err, ErrMalformedBody)
			}
		})
	}
}

// A heartbeat with as many tasks as MaxTaskStatusBytes allows must not exceed the limit for bodies, whatever
// the states of the tasks. Otherwise every controller refuses it, and the machine loses all its tasks.
func TestHeartbeatsWithinTheirSpaceFitInABody(t *testing.T) {
	longest := ids.JobID("job-" + strings.Repeat("x", maxJobIDLength-len("job-")))
	states := []TaskState{TaskFetching, TaskRunning, TaskCheckpointing, TaskEnded}
	causes := []ExitCause{"", CauseDone, CauseStopped, CauseError, CauseFull, CauseInUse, CauseNoSuch}
	for _, job := range []ids.JobID{"job-1", "job-000412", longest} {
		for _, state := range states {
			for _, cause := range causes {
				checkFullHeartbeat(t, job, TaskStatus{Attempt: 9_999_999_999, State: state, Cause: cause})
			}
		}
	}
}

// checkFullHeartbeat checks the size of a heartbeat with as many tasks of a job as it has space for.
func checkFullHeartbeat(t *testing.T, job ids.JobID, status TaskStatus) {
	t.Helper()
	heartbeat := Heartbeat{Machine: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1 << 63, Sequence: 1 << 63, FencingToken: 1 << 63}
	for index := range MaxHeartbeatTasksBytes / MaxTaskStatusBytes(job) {
		status.Name = ids.TaskRef{Job: job, Index: maxTasks - 1 - index}.String()
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	raw := Encode(heartbeat)
	size, err := JSONSize(raw)
	if err != nil || size > MaxBodyBytes || len(raw) > MaxBodyBytes {
		t.Errorf("%d tasks of a job with an ID of %d bytes, %s %q: %d bytes of JSON, %d of MessagePack, %v", len(heartbeat.Tasks), len(job), status.State, status.Cause, size, len(raw), err)
	}
}
