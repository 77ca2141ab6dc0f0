package scheduler

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// idleFor has machine n-1 send heartbeats without tasks for d. It returns the machines that were
// terminated in the meantime.
func (h *harness) idleFor(d time.Duration) (terminated []ids.MachineID) {
	h.t.Helper()
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(time.Second) {
		h.heartbeat("n-1", "a", 0)
		terminated = append(terminated, h.step().Terminate...)
	}
	return terminated
}

// An idle machine must be terminated after its timeout but not earlier, so that it neither costs
// money for long nor is missing soon after. Headroom extends the timeout, and quarantine shortens it.
func TestIdleMachinesAreTerminated(t *testing.T) {
	for _, c := range []struct {
		name       string
		settings   scaleInSettings
		class      string // of a cancelled job, for whose class headroom may be needed
		quarantine bool
		terminated bool
	}{
		{name: "after the timeout", settings: scaleInSettings{idleTimeout: 10 * time.Second, headroomIdleTimeout: time.Hour, spotIdleFactor: 1}, class: "c", terminated: true},
		{name: "not before the timeout", settings: scaleInSettings{idleTimeout: time.Hour, headroomIdleTimeout: time.Hour, spotIdleFactor: 1}, class: "c"},
		{name: "not while headroom needs them", settings: scaleInSettings{idleTimeout: 10 * time.Second, headroomIdleTimeout: time.Hour, spotIdleFactor: 1}, class: "hasty"},
		{name: "soon while quarantined", settings: scaleInSettings{idleTimeout: time.Hour, headroomIdleTimeout: time.Hour, spotIdleFactor: 1}, class: "c", quarantine: true, terminated: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
			h.c.autoscaler.scaleIn.settings = c.settings
			h.c.Begin(h.now)
			h.submit("job-1", wire.JobSpec{Class: c.class, Tasks: 1})
			h.c.autoscaler.classes.update()
			h.c.lifecycle.endJob(h.c.cluster.Job("job-1"), wire.JobCancelled)
			h.heartbeat("n-1", "a", 0)
			if c.quarantine {
				h.c.cluster.Machine("n-1").Health.QuarantinedUntil = h.now.Add(time.Hour)
			}
			if got := slices.Contains(h.idleFor(20*time.Second), "n-1"); got != c.terminated {
				t.Errorf("terminated: %v, want %v", got, c.terminated)
			}
		})
	}
}
