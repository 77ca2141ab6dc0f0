package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// No machines are provisioned for work that fits once tasks end within a boot time. But work
// that has waited for a boot time has seen others take that capacity: a backlog stayed for a
// minute while hardly any machine was provisioned.
func TestProvisionsForTasksThatWaitedABootTime(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	b.step()
	o = b.heartbeat("n-1", "a", o.FencingToken)
	var on []wire.TaskStatus
	for _, order := range o.Commands {
		on = append(on, wire.TaskStatus{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
	}
	b.heartbeat("n-1", "a", o.FencingToken, on...)
	b.submit("job-2", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for s := range 15 { // the type boots in 10 s
		b.now = b.now.Add(time.Second)
		b.heartbeat("n-1", "a", o.FencingToken, on...)
		if e := b.step(); len(e.Provision) > 0 {
			if s < 9 {
				t.Fatalf("provisioned after %d s, although capacity was about to become free", s+1)
			}
			return
		}
	}
	t.Fatal("no machine was provisioned for work that had waited for a boot")
}
