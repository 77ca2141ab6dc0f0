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
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	b.step()
	o = b.heartbeat("n-1", "a", o.FencingToken)
	var running []wire.TaskStatus
	for _, command := range o.Commands {
		running = append(running, wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
	}
	b.heartbeat("n-1", "a", o.FencingToken, running...)
	b.submit("job-2", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for elapsedS := range 15 { // the machine type boots in 10 s
		b.now = b.now.Add(time.Second)
		b.heartbeat("n-1", "a", o.FencingToken, running...)
		if decisions := b.step(); len(decisions.Provision) > 0 {
			if elapsedS < 9 {
				t.Fatalf("provisioned after %d s, although capacity was about to become free", elapsedS+1)
			}
			return
		}
	}
	t.Fatal("no machine was provisioned for tasks that had waited for a boot time")
}
