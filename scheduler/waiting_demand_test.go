package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// No machines are provisioned for tasks that will fit once other tasks end within a boot time. If tasks
// have already waited for a boot time, other tasks have taken that capacity, so machines must be
// provisioned. Otherwise a backlog may remain for a minute while hardly any machine is
// provisioned.
func TestProvisionsForTasksThatWaitedABootTime(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	o := h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	h.step()
	o = h.heartbeat("n-1", "a", o.FencingToken)
	var running []wire.TaskStatus
	for _, command := range o.Commands {
		running = append(running, wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
	}
	h.heartbeat("n-1", "a", o.FencingToken, running...)
	h.submit("job-2", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for elapsedS := range 15 { // the machine type boots in 10 s
		h.now = h.now.Add(time.Second)
		h.heartbeat("n-1", "a", o.FencingToken, running...)
		if decisions := h.step(); len(decisions.Provision) > 0 {
			if elapsedS < 9 {
				t.Fatalf("provisioned after %d s, although capacity was about to become free", elapsedS+1)
			}
			return
		}
	}
	t.Fatal("no machine was provisioned for tasks that had waited for a boot time")
}
