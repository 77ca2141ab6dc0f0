package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// newRecordingHarness returns a harness whose core records terminations, and has it decide to terminate machines
// that sent a heartbeat.
func newRecordingHarness(t *testing.T, terminated ...ids.MachineID) *harness {
	t.Helper()
	h := newHarness(t, Options{RecordOptions: RecordOptions{RecordTerminations: true}})
	h.c.Begin(h.now)
	for _, machine := range terminated {
		h.heartbeat(machine, "a", 0)
		h.c.registry.terminateMachine(h.c.cluster.Machine(machine), terminateIdle)
	}
	return h
}

// stepUntilRecordChange steps the core until it changes a record with a prefix, and returns the change. The core
// must not decide to terminate any machine in the meantime.
func (h *harness) stepUntilRecordChange(prefix string) records.Change {
	h.t.Helper()
	for range 100 {
		h.now = h.now.Add(200 * time.Millisecond)
		decisions := h.c.Step(h.now)
		if len(decisions.Terminate)+len(decisions.TerminateCancelled) > 0 {
			h.t.Fatalf("terminates %v and %v before that is recorded", decisions.Terminate, decisions.TerminateCancelled)
		}
		for _, change := range decisions.RecordChanges {
			operation := change.Operations[0]
			if strings.HasPrefix(operation.PutKey+operation.DeleteKey, prefix) {
				return change
			}
		}
	}
	h.t.Fatalf("no record %s was changed", prefix)
	return records.Change{}
}

// commit commits a change and returns the decisions of the next step.
func (h *harness) commit(change records.Change) Decisions {
	h.c.CommitResult(h.now, records.CommitResult{Change: change, Revision: 2000})
	return h.c.Step(h.now)
}

// The cloud does not fence calls, and may carry them out late. If a machine were terminated without a record,
// the next leader could use it in the meantime, and its tasks would be killed.
func TestTerminationIsRecordedBeforeTheCloudIsCalled(t *testing.T) {
	h := newRecordingHarness(t, "n-1")
	change := h.stepUntilRecordChange(records.TerminationPrefix)
	if got := h.commit(change).Terminate; !slices.Equal(got, []ids.MachineID{"n-1"}) {
		t.Fatalf("terminates %v once that is recorded, want n-1", got)
	}
	h.c.MachinesTerminated(h.now, []ids.MachineID{"n-1"})
	deletion := h.stepUntilRecordChange(records.TerminationPrefix)
	if got, want := deletion.Operations[0].DeleteKey, change.Operations[0].PutKey; got != want || deletion.Preconditions[0].Revision != 2000 {
		t.Errorf("after the confirmation %+v is applied under %+v, want the deletion of %s at 2000", deletion.Operations, deletion.Preconditions, want)
	}
}

// On a large fleet, machines become idle all the time. If each were recorded by itself, the records would use the
// write rate that placements need.
func TestTerminationsAreRecordedTogether(t *testing.T) {
	h := newRecordingHarness(t)
	changes := 0
	for i := range 50 {
		machine := ids.MachineID(fmt.Sprintf("n-%d", i))
		h.heartbeat(machine, "a", 0)
		h.c.registry.terminateMachine(h.c.cluster.Machine(machine), terminateIdle)
		h.now = h.now.Add(200 * time.Millisecond)
		changes += len(h.step().RecordChanges)
	}
	if changes > 11 {
		t.Errorf("%d changes in 10 s, want one a second", changes)
	}
}

// A machine that an earlier leader has decided to terminate may be terminated at any time. A task that is
// placed there would be killed.
func TestMachineOfARecordedTerminationIsNotUsed(t *testing.T) {
	h := newRecordingHarness(t)
	h.c.LoadTermination(&records.Termination{Nonce: 5, Machines: []ids.MachineID{"n-1", "n-2"}}, 900)
	h.submit("job-1", wire.JobSpec{Tasks: 1})
	h.heartbeat("n-1", "a", 0)
	if got := h.step().Terminate; !slices.Equal(got, []ids.MachineID{"n-1", "n-2"}) {
		t.Errorf("terminates %v, want n-1 and n-2", got)
	}
	for range 10 {
		h.now = h.now.Add(time.Second)
		h.heartbeat("n-1", "a", 0)
		h.step()
	}
	if placed := len(h.c.cluster.Job("job-1").Active()); placed > 0 {
		t.Errorf("%d tasks placed", placed)
	}
}

// A record that the key-value store rejects for its size must be split. If it were only sent again, no machine
// would ever be terminated.
func TestRejectedTerminationIsSplit(t *testing.T) {
	h := newRecordingHarness(t, "n-1", "n-2")
	change := h.stepUntilRecordChange(records.TerminationPrefix)
	if machines := recordedMachines(change); len(machines) != 2 {
		t.Fatalf("%v recorded together, want both machines", machines)
	}
	h.c.CommitResult(h.now, records.CommitResult{Change: change, Err: records.ErrRejected})
	var recorded []ids.MachineID
	for _, part := range h.c.Step(h.now).RecordChanges {
		machines := recordedMachines(part)
		if len(machines) != 1 {
			t.Errorf("%v recorded together after a rejection", machines)
		}
		recorded = append(recorded, machines...)
	}
	if want := []ids.MachineID{"n-1", "n-2"}; !slices.Equal(recorded, want) {
		t.Errorf("recorded %v, want %v", recorded, want)
	}
}

// recordedMachines returns the machines in a change that records a termination.
func recordedMachines(change records.Change) []ids.MachineID {
	return change.Operations[0].Value.(records.Termination).Machines
}

// A previous leader without the key-value store terminates a machine for a task of a cancelled job, without a
// record. A later leader must not place a task there until the previous one cannot call the cloud any more.
func TestMachineWithACancelledTaskIsNotUsedWhilePreviousLeadersMayTerminateIt(t *testing.T) {
	var options Options
	options.PreviousLeader, options.PreviousLeaderGrace, options.PreviousLeaderGraceWithoutReplicas = true, 60*time.Second, 20*time.Second
	h := newHarness(t, options)
	h.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	h.c.Begin(h.now)
	inherited := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	token := h.heartbeat("n-1", "a", 0, inherited).FencingToken
	h.heartbeat("n-1", "a", token, inherited)
	spec := *h.c.cluster.Job("job-1").Spec
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 500)
	inherited.State, inherited.Cause = wire.TaskEnded, wire.CauseStopped
	h.heartbeat("n-1", "a", token, inherited)
	h.submit("job-2", spec)
	began := h.now
	for len(h.c.cluster.Job("job-2").Active()) == 0 {
		if h.now > began.Add(2*time.Minute) {
			t.Fatal("the machine is never used again")
		}
		h.now = h.now.Add(time.Second)
		h.heartbeat("n-1", "a", token)
		h.step()
	}
	if waited := h.now.Sub(began); waited < 60*time.Second+terminationCallTimeout {
		t.Errorf("a task was placed after %v, before the grace and a call of the previous leader have ended", waited)
	}
}

// A leader that is cut off learns of a cancellation that was made after a later leader was elected. The later leader may
// have placed tasks on the machine of the cancelled job before the cancellation, so the earlier one must not
// terminate it. A cancellation that it knew while it held its lease was read by the later leader before it placed
// anything: that machine must be terminated in time, also in an outage of the store.
func TestCancellationsLearnedWithoutTheLeaseTerminateNothing(t *testing.T) {
	for _, c := range []struct {
		name           string
		leaseAfterward bool
	}{
		{"learned while the lease was held", true},
		{"learned when a later leader could not be ruled out", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			token, running := h.runTask()
			h.c.ObserveLease(h.now)
			h.now = h.now.Add(time.Second)
			spec := h.c.cluster.Job("job-1").Spec
			h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: spec}, 900)
			if c.leaseAfterward {
				h.c.ObserveLease(h.now)
			}
			terminated := false
			for until := h.now.Add(simCancelDeadline); h.now < until && !terminated; h.now = h.now.Add(time.Second) {
				h.heartbeat("n-1", "a", token, running) // the agent does not receive the kill command
				terminated = len(h.c.Step(h.now).TerminateCancelled) > 0
			}
			if terminated != c.leaseAfterward {
				t.Errorf("terminated: %v", terminated)
			}
		})
	}
}
