package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// A machine that runs very many short tasks must not report more than a heartbeat has space for, nor stop
// running tasks. A task stays in the heartbeats until its end is recorded and it is reaped, which takes
// longer than its run, so the ended tasks of one round and the running ones of the next would exceed the
// limit together.
func TestEndedTasksTakeSpaceInHeartbeats(t *testing.T) {
	const tasks, rounds = 2500, 200
	h := newHarness(t, Options{RecordOptions: RecordOptions{LazyWriteDelay: 5 * time.Second}})
	h.c.Begin(h.now)
	agents := newTestAgents(func(string, int) time.Duration { return 100 * time.Millisecond }, "n-1")
	agents.sendHeartbeats(h)
	h.submit("job-000001", wire.JobSpec{Class: "c", Tasks: tasks, CPUs: 0.001})
	most := 0
	for range rounds {
		h.now = h.now.Add(500 * time.Millisecond)
		h.step()
		agents.sendHeartbeats(h)
		most = max(most, len(agents.tasks["n-1"]))
		if heartbeat := (wire.Heartbeat{Machine: "n-1", Tasks: agents.tasks["n-1"]}); wire.ExceedsJSONSize(heartbeat, wire.MaxBodyBytes) {
			t.Fatalf("the machine reports %d tasks, which exceeds the size limit", len(heartbeat.Tasks))
		}
	}
	if j := h.c.cluster.Job("job-000001"); j != nil && j.Done() < tasks {
		t.Errorf("%d of %d tasks are done, %d at most were on the machine at once", j.Done(), tasks, most)
	}
	if half := wire.MaxHeartbeatTasksBytes / wire.MaxTaskStatusBytes("job-000001") / 2; most < half {
		t.Errorf("%d tasks at most were on the machine, want more than half of the space in use (%d)", most, half)
	}
}

// Responses to heartbeats, and direct calls, have the same size limit as other bodies, also with the longest
// task names.
func TestCommandsFitInABody(t *testing.T) {
	name := "job-"
	for len(name) < 120 { // the longest job ID
		name += "x"
	}
	response := wire.HeartbeatResponse{FencingToken: 1 << 63}
	for range maxCommands {
		response.Commands = append(response.Commands, wire.Command{Verb: wire.VerbKill, Name: name + "/99999", Attempt: 9_999_999_999, GraceS: 12345.678})
	}
	if wire.ExceedsJSONSize(response, wire.MaxBodyBytes) {
		t.Errorf("%d commands exceed the size limit", maxCommands)
	}
}
