package scheduler

import (
	"fmt"
	"testing"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A machine that fails tasks of two jobs gets no more of them.
func TestUnhealthyMachineIsQuarantined(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	for n := range 2 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		b.submit(id, wire.JobSpec{Tasks: 1})
		b.step()
		o := b.heartbeat("n-1", "a", 0)
		run := commandsWith(o.Commands, wire.VerbRun)
		if len(run) != 1 {
			t.Fatalf("job %d: runs %v", n, run)
		}
		b.heartbeat("n-1", "a", o.FencingToken, wire.TaskStatus{Name: string(id) + "/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError})
		b.c.ObserveJob(b.now, id, &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job(id).Spec}, 900)
		b.step()
		b.heartbeat("n-1", "a", o.FencingToken)
	}
	b.submit("job-9", wire.JobSpec{Tasks: 1})
	b.step()
	if a := b.c.cluster.Job("job-9").Task(0).Assignment(); a != nil {
		t.Fatalf("placed on %s, which fails everything", a.Machine.ID)
	}
}

// A silent machine whose lease has expired runs nothing any more, but often comes back sooner
// than another one boots: it hung, or was partitioned.
func TestSilentMachineIsKeptForAWhile(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	start := b.now
	for ; b.now < start.Add(3*simAgentLease); b.now = b.now.Add(time.Second) {
		if e := b.step(); len(e.Terminate) > 0 {
			if silent := b.now.Sub(start); silent < silentLeases*simAgentLease {
				t.Errorf("terminated after %v", silent)
			}
			return
		}
	}
	t.Error("never terminated")
}

// A partitioned zone is detected by its silence within seconds, and machines for its services
// are provisioned before their leases expire. When all zones are silent at once, or the leader
// itself was paused, it is not the zone.
func TestPartitionedZoneIsDetectedSoon(t *testing.T) {
	for _, c := range []struct {
		name       string
		silent     []ids.Zone
		pause      time.Duration
		provisions bool
	}{
		{"a zone is partitioned", []ids.Zone{"a"}, 0, true},
		{"no zone is heard", []ids.Zone{"a", "b"}, 0, false},
		{"the leader was paused", nil, 8 * time.Second, false},
		{"no fault", nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 999}, Limit: quota.Amount{CPUs: 999}}}})
			b.c.Begin(b.now)
			zones := newFullZones(b)
			zones.silent = c.silent
			provisioned := zones.step(10, 0) + zones.step(1, c.pause) + zones.step(69, 0)
			if (provisioned > 0) != c.provisions {
				t.Errorf("provisioned %d machines", provisioned)
			}
		})
	}
}

// fullZones are two zones of thirty machines each, all taken by the replicas of a service.
type fullZones struct {
	*harness
	began    monotonic.Instant
	machines map[ids.Zone][]ids.MachineID
	silent   []ids.Zone
	ticks    int
}

func newFullZones(b *harness) *fullZones {
	z := &fullZones{harness: b, began: b.now, machines: map[ids.Zone][]ids.MachineID{}}
	for n := range 60 {
		zone := []ids.Zone{"a", "b"}[n%2]
		z.machines[zone] = append(z.machines[zone], ids.MachineID(fmt.Sprintf("n-%02d", n)))
		b.heartbeat(z.machines[zone][n/2], zone, 0)
	}
	b.submit("job-1", wire.JobSpec{Tasks: 60, Service: true, CPUs: 8})
	b.step()
	return z
}

// step plays some ticks, in each of which one machine of each zone that is not silent sends
// a heartbeat, and returns the number of machines that were provisioned. The leader's process
// is paused for a time in each. After a pause it has read the heartbeats of zone b alone.
func (z *fullZones) step(ticks int, pause time.Duration) int {
	provisioned := 0
	for range ticks {
		z.now = z.now.Add(100*time.Millisecond + pause)
		for zone, machines := range z.machines {
			if !slices.Contains(z.silent, zone) {
				z.heartbeat(machines[z.ticks%len(machines)], zone, 0)
			}
		}
		z.ticks++
		if pause > 0 {
			z.c.health.zoneStates["a"].lastHeard = z.began
		}
		for _, r := range z.harness.step().Provision {
			provisioned += r.Count
		}
	}
	return provisioned
}

// A machine on which tasks take much longer than their siblings elsewhere is taken last, and
// after more of them not at all.
func TestSlowMachinesAreTakenLast(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 640}, Limit: quota.Amount{CPUs: 640}}}})
	b.c.Begin(b.now)
	for round := range 8 {
		slow := newSlowMachineRound(b, ids.JobID(fmt.Sprintf("job-%d", round)))
		if b.c.cluster.Machine("n-3").Health.SlowStreak >= slowStreakLimit {
			if tasks := len(slow.tasks["n-3"]); tasks > 0 {
				t.Fatalf("round %d: the slow machine was quarantined and got %d tasks", round, tasks)
			}
			return
		}
		slow.play()
	}
	t.Fatalf("the slow machine was never quarantined: slowness %v", b.c.cluster.Machine("n-3").Health.Slowness)
}

// slowMachineRound is a job on three machines of which n-3 takes three times as long.
type slowMachineRound struct {
	*harness
	machines []ids.MachineID
	token    ids.FencingToken
	tasks    map[ids.MachineID][]wire.TaskStatus
}

// newSlowMachineRound submits the job and has it placed.
func newSlowMachineRound(b *harness, id ids.JobID) *slowMachineRound {
	r := &slowMachineRound{harness: b, machines: []ids.MachineID{"n-1", "n-2", "n-3"}, token: ids.NewFencingToken(5, 0),
		tasks: map[ids.MachineID][]wire.TaskStatus{}}
	r.heartbeats()
	b.submit(id, wire.JobSpec{Tasks: 12})
	b.step()
	for i, task := range b.c.cluster.Job(id).Tasks() {
		if a := task.Assignment(); a != nil {
			status := wire.TaskStatus{Name: fmt.Sprintf("%s/%d", id, i), Attempt: task.Attempt(), State: wire.TaskRunning}
			r.tasks[a.Machine.ID] = append(r.tasks[a.Machine.ID], status)
		}
	}
	return r
}

// play has the tasks start and end.
func (r *slowMachineRound) play() {
	for _, machine := range r.machines {
		r.heartbeat(machine, "a", r.token)
		r.heartbeat(machine, "a", r.token, r.tasks[machine]...)
	}
	r.runFor(10 * time.Second)
	r.end("n-1")
	r.end("n-2")
	r.runFor(20 * time.Second)
	r.end("n-3")
	r.step()
}

// heartbeats has each machine send a heartbeat.
func (r *slowMachineRound) heartbeats() {
	for _, machine := range r.machines {
		r.heartbeat(machine, "a", r.token, r.tasks[machine]...)
	}
}

// runFor has the tasks run for a time, in steps: a pause of the leader would not count.
func (r *slowMachineRound) runFor(d time.Duration) {
	for until := r.now.Add(d); r.now < until; {
		r.now = r.now.Add(500 * time.Millisecond)
		r.heartbeats()
		r.step()
	}
}

// end ends the tasks of a machine.
func (r *slowMachineRound) end(machine ids.MachineID) {
	tasks := r.tasks[machine]
	for i := range tasks {
		tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseDone
	}
	r.heartbeat(machine, "a", r.token, tasks...)
}

// A zone was partitioned: its machines were terminated after their leases and provisioned
// again in the same zone, where they could not send heartbeats either, and counted as booting.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	const avoided, retried = 170, 70 // seconds
	d := newPartitionDay(t)
	requested, terminated := d.play(avoided)
	if len(terminated) > 0 {
		t.Fatalf("terminated %v in the partition", terminated)
	}
	if requested["a"] == 0 || requested["b"] != 0 {
		t.Errorf("requested while zone b was partitioned: %v", requested)
	}
	if requested, _ = d.play(retried); requested["b"] == 0 {
		t.Errorf("zone b was never tried again: %v", requested)
	}
}

// partitionDay is a day on which zone b sends no heartbeat after the first ones, while jobs
// need more machines than there are. The cloud has no capacity.
type partitionDay struct {
	*harness
	agents  *testAgents // of zone a
	seconds int
}

func newPartitionDay(t *testing.T) *partitionDay {
	t.Helper()
	d := &partitionDay{harness: newHarness(t, Options{})}
	d.c.Begin(d.now)
	forEver := func(string, int) time.Duration { return 0 }
	d.agents = newTestAgents(forEver, "n-a0", "n-a1", "n-a2", "n-a3", "n-a4")
	d.agents.heartbeats(d.harness)
	for n := range 5 {
		d.heartbeat(ids.MachineID(fmt.Sprintf("n-b%d", n)), "b", ids.NewFencingToken(5, 0))
	}
	return d
}

// play plays some seconds and returns the machines that were requested and terminated.
func (d *partitionDay) play(seconds int) (requested map[ids.Zone]int, terminated []ids.MachineID) {
	requested = map[ids.Zone]int{}
	for end := d.seconds + seconds; d.seconds < end; d.seconds++ {
		d.now = d.now.Add(time.Second)
		if d.seconds%3 == 0 {
			d.agents.heartbeats(d.harness)
		}
		if d.seconds == 20 || d.seconds == 200 {
			d.submit(ids.JobID(fmt.Sprintf("job-%d", d.seconds)), wire.JobSpec{Tasks: 30, CPUs: 2, EstimateS: 1000})
		}
		decisions := d.step()
		terminated = append(terminated, decisions.Terminate...)
		for _, r := range decisions.Provision {
			requested[r.Zone] += r.Count
			d.c.ProvisionResult(d.now, r, nil, false)
		}
	}
	return requested, terminated
}

// The machines of a zone that was partitioned for longer than two leases are not terminated for
// their silence at the moment at which the first of them is heard again.
func TestMachinesOfARecoveringZoneHaveTimeForHeartbeats(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	hosts := map[ids.Zone][]ids.MachineID{"a": {"a-1", "a-2", "a-3", "a-4"}, "b": {"b-1", "b-2", "b-3", "b-4", "b-5"}}
	tell := func(zone ids.Zone) {
		for _, host := range hosts[zone] {
			b.heartbeat(host, zone, 0)
		}
	}
	tell("b")
	for start := b.now; b.now < start.Add(silentLeases*simAgentLease+10*time.Second); b.now = b.now.Add(500 * time.Millisecond) {
		tell("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("terminated %v in the partition", e.Terminate)
		}
	}
	b.heartbeat("b-1", "b", 0)
	for start := b.now; b.now < start.Add(simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		tell("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("terminated %v before they could send a heartbeat", e.Terminate)
		}
	}
	terminated := 0
	for start := b.now; b.now < start.Add(4*simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		tell("a")
		b.heartbeat("b-1", "b", 0)
		terminated += len(b.step().Terminate)
	}
	if terminated != 4 {
		t.Errorf("%d machines terminated that stayed silent, want 4", terminated)
	}
}
