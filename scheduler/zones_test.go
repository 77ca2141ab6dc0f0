package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// The fewer machines a zone has, the longer the random gaps between its heartbeats are, and the
// later it counts as partitioned. If no heartbeat of any zone arrives, the cause is more likely the
// network of this controller, and the zone does not count as partitioned.
func TestZonePartitioned(t *testing.T) {
	for _, c := range []struct {
		name               string
		machines           int
		sinceZoneHeartbeat time.Duration
		sinceAnyHeartbeat  time.Duration
		partitioned        bool
	}{
		{"many machines, a gap that occurs by chance", 100, 2 * time.Second, 0, false},
		{"many machines, a longer gap", 100, 3 * time.Second, 0, true},
		{"few machines, the same gap", 5, 3 * time.Second, 0, false},
		{"few machines, a longer gap", 5, 9 * time.Second, 0, true},
		{"too few machines to detect a partition", 3, time.Minute, 0, false},
		{"no machine sends heartbeats", 100, 9 * time.Second, 9 * time.Second, false},
		{"partitioned for longer than the maximum", 100, maxPartitionDuration, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := monotonic.Instant(time.Hour)
			testClock := clock.New(0)
			testClock.Set(now)
			o := newPartitionDetector(nil, testClock, testHealthSettings)
			o.lastHeartbeatAt = now.Add(-c.sinceAnyHeartbeat)
			o.zoneStates["a"] = &zoneState{lastHeartbeatAt: now.Add(-c.sinceZoneHeartbeat), machinesUp: c.machines}
			if got := o.zonePartitioned("a"); got != c.partitioned {
				t.Errorf("partitioned: %v", got)
			}
			testClock.Advance(now) // the first step after a long pause
			if o.zonePartitioned("a") {
				t.Error("a pause of this process counts as missed heartbeats")
			}
		})
	}
}

// A partitioned zone must be detected by its missed heartbeats within seconds, so that machines for
// its services are provisioned before the leases of its machines expire. A zone must not count as
// partitioned if the heartbeats of all zones stop or if the leader was paused.
func TestPartitionedZoneIsDetectedBeforeLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		name        string
		partitioned []ids.Zone
		pause       time.Duration
		provisions  bool
	}{
		{"a zone is partitioned", []ids.Zone{"a"}, 0, true},
		{"no zone sends heartbeats", []ids.Zone{"a", "b"}, 0, false},
		{"the leader was paused", nil, 8 * time.Second, false},
		{"no fault", nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 999}, Limit: quota.Amount{CPUs: 999}}}})
			h.c.Begin(h.now)
			z := newFullZones(h)
			z.partitioned = c.partitioned
			provisioned := z.step(10, 0) + z.step(1, c.pause) + z.step(69, 0)
			if (provisioned > 0) != c.provisions {
				t.Errorf("provisioned %d machines", provisioned)
			}
		})
	}
}

// fullZones drives two zones of thirty machines each, which are fully used by the replicas of a
// service.
type fullZones struct {
	*harness
	began       monotonic.Instant
	machines    map[ids.Zone][]ids.MachineID
	partitioned []ids.Zone
	ticks       int
}

func newFullZones(h *harness) *fullZones {
	z := &fullZones{harness: h, began: h.now, machines: map[ids.Zone][]ids.MachineID{}}
	for n := range 60 {
		zone := []ids.Zone{"a", "b"}[n%2]
		z.machines[zone] = append(z.machines[zone], ids.MachineID(fmt.Sprintf("n-%02d", n)))
		h.heartbeat(z.machines[zone][n/2], zone, 0)
	}
	h.submit("job-1", wire.JobSpec{Tasks: 60, Service: true, CPUs: 8})
	h.step()
	return z
}

// step runs ticks and returns the number of machines that were provisioned. In each tick, the
// leader's process is paused for the given time, and one machine of each zone that is not
// partitioned sends a heartbeat. After a pause, the leader has read the heartbeats of zone b only.
func (z *fullZones) step(ticks int, pause time.Duration) int {
	provisioned := 0
	for range ticks {
		z.now = z.now.Add(100*time.Millisecond + pause)
		for zone, machines := range z.machines {
			if !slices.Contains(z.partitioned, zone) {
				z.heartbeat(machines[z.ticks%len(machines)], zone, 0)
			}
		}
		z.ticks++
		if pause > 0 {
			z.c.health.zoneStates["a"].lastHeartbeatAt = z.began
		}
		for _, r := range z.harness.step().Provision {
			provisioned += r.Count
		}
	}
	return provisioned
}

// The machines of a partitioned zone must not be terminated when their leases expire, and no machine
// may be provisioned in the zone. New machines there could not send heartbeats either, and would
// count as booting capacity, so that none would be provisioned in other zones. The zone must be
// used again after maxPartitionDuration.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	const partitionSeconds, retrySeconds = 170, 70
	p := newPartitionScenario(t)
	requested, terminated := p.run(partitionSeconds)
	if len(terminated) > 0 {
		t.Fatalf("terminated %v in the partition", terminated)
	}
	if requested["a"] == 0 || requested["b"] != 0 {
		t.Errorf("requested machines while zone b was partitioned: %v", requested)
	}
	if requested, _ = p.run(retrySeconds); requested["b"] == 0 {
		t.Errorf("no machine was requested in zone b after the maximum duration of a partition: %v", requested)
	}
}

// partitionScenario is a scenario in which zone b sends no heartbeat after the first ones, while
// jobs need more machines than there are. The cloud has no capacity.
type partitionScenario struct {
	*harness
	agents  *testAgents // of zone a
	seconds int
}

func newPartitionScenario(t *testing.T) *partitionScenario {
	t.Helper()
	p := &partitionScenario{harness: newHarness(t, Options{})}
	p.c.Begin(p.now)
	runsIndefinitely := func(string, int) time.Duration { return 0 }
	p.agents = newTestAgents(runsIndefinitely, "n-a0", "n-a1", "n-a2", "n-a3", "n-a4")
	p.agents.sendHeartbeats(p.harness)
	for n := range 5 {
		p.heartbeat(ids.MachineID(fmt.Sprintf("n-b%d", n)), "b", ids.NewFencingToken(5, 0))
	}
	return p
}

// run runs the scenario for some seconds and returns the number of machines that were requested in
// each zone, and the machines that were terminated.
func (p *partitionScenario) run(seconds int) (requested map[ids.Zone]int, terminated []ids.MachineID) {
	requested = map[ids.Zone]int{}
	for end := p.seconds + seconds; p.seconds < end; p.seconds++ {
		p.now = p.now.Add(time.Second)
		if p.seconds%3 == 0 {
			p.agents.sendHeartbeats(p.harness)
		}
		if p.seconds == 20 || p.seconds == 200 {
			p.submit(ids.JobID(fmt.Sprintf("job-%d", p.seconds)), wire.JobSpec{Tasks: 30, CPUs: 2, EstimateS: 1000})
		}
		decisions := p.step()
		terminated = append(terminated, decisions.Terminate...)
		for _, r := range decisions.Provision {
			requested[r.Zone] += r.Count
			p.c.ProvisioningRefused(p.now, r)
		}
	}
	return requested, terminated
}

// When a partition of a zone that lasted for longer than two leases ends, the first heartbeat from
// the zone ends the detected partition. The other machines must not be terminated for their missed
// heartbeats before they have had time to send one.
func TestMachinesAreNotTerminatedWhenAPartitionEnds(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	machines := map[ids.Zone][]ids.MachineID{"a": {"a-1", "a-2", "a-3", "a-4"}, "b": {"b-1", "b-2", "b-3", "b-4", "b-5"}}
	sendHeartbeats := func(zone ids.Zone) {
		for _, id := range machines[zone] {
			h.heartbeat(id, zone, 0)
		}
	}
	sendHeartbeats("b")
	for start := h.now; h.now < start.Add(missedHeartbeatLeases*simAgentLease+10*time.Second); h.now = h.now.Add(500 * time.Millisecond) {
		sendHeartbeats("a")
		if decisions := h.step(); len(decisions.Terminate) > 0 {
			t.Fatalf("terminated %v in the partition", decisions.Terminate)
		}
	}
	h.heartbeat("b-1", "b", 0)
	for start := h.now; h.now < start.Add(simHeartbeatInterval); h.now = h.now.Add(200 * time.Millisecond) {
		sendHeartbeats("a")
		if decisions := h.step(); len(decisions.Terminate) > 0 {
			t.Fatalf("terminated %v before they could send a heartbeat", decisions.Terminate)
		}
	}
	terminated := 0
	for start := h.now; h.now < start.Add(4*simHeartbeatInterval); h.now = h.now.Add(200 * time.Millisecond) {
		sendHeartbeats("a")
		h.heartbeat("b-1", "b", 0)
		terminated += len(h.step().Terminate)
	}
	if terminated != 4 {
		t.Errorf("%d machines without heartbeats were terminated, want 4", terminated)
	}
}
