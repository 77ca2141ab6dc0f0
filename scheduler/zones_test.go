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

// The fewer machines a zone has, the longer it may be silent by chance. While no machine is
// heard at all, it is rather the network of this controller.
func TestZonePartitioned(t *testing.T) {
	for _, c := range []struct {
		name        string
		machines    int
		silent      time.Duration
		othersHeard time.Duration // ago
		partitioned bool
	}{
		{"many machines, a moment", 100, 2 * time.Second, 0, false},
		{"many machines, longer than by chance", 100, 3 * time.Second, 0, true},
		{"a few machines, the same time", 5, 3 * time.Second, 0, false},
		{"a few machines, longer", 5, 9 * time.Second, 0, true},
		{"too few to tell", 3, time.Minute, 0, false},
		{"no machine is heard", 100, 9 * time.Second, 9 * time.Second, false},
		{"for so long that the zone is tried again", 100, maxPartitionDuration, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := monotonic.Instant(time.Hour)
			testClock := clock.New(0)
			testClock.Set(now)
			o := newPartitionDetector(nil, testClock, testHealthSettings)
			o.lastHeartbeatAt = now.Add(-c.othersHeard)
			o.zoneStates["a"] = &zoneState{lastHeartbeatAt: now.Add(-c.silent), machinesUp: c.machines}
			if got := o.zonePartitioned("a"); got != c.partitioned {
				t.Errorf("partitioned %v", got)
			}
			testClock.Advance(now) // the first step after a long pause
			if o.zonePartitioned("a") {
				t.Error("a pause of this process counts as silence")
			}
		})
	}
}

// A partitioned zone is detected by its silence within seconds, and machines for its services
// are provisioned before their leases expire. When all zones are silent at once, or the leader
// itself was paused, it is not the zone.
func TestPartitionedZoneIsDetectedBeforeLeaseExpiry(t *testing.T) {
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
			z.c.health.zoneStates["a"].lastHeartbeatAt = z.began
		}
		for _, r := range z.harness.step().Provision {
			provisioned += r.Count
		}
	}
	return provisioned
}

// A zone was partitioned: its machines were terminated after their leases and provisioned
// again in the same zone, where they could not send heartbeats either, and counted as booting.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	const partitionSeconds, retrySeconds = 170, 70 // seconds
	d := newPartitionScenario(t)
	requested, terminated := d.run(partitionSeconds)
	if len(terminated) > 0 {
		t.Fatalf("terminated %v in the partition", terminated)
	}
	if requested["a"] == 0 || requested["b"] != 0 {
		t.Errorf("requested while zone b was partitioned: %v", requested)
	}
	if requested, _ = d.run(retrySeconds); requested["b"] == 0 {
		t.Errorf("zone b was never tried again: %v", requested)
	}
}

// partitionScenario is a day on which zone b sends no heartbeat after the first ones, while jobs
// need more machines than there are. The cloud has no capacity.
type partitionScenario struct {
	*harness
	agents  *testAgents // of zone a
	seconds int
}

func newPartitionScenario(t *testing.T) *partitionScenario {
	t.Helper()
	d := &partitionScenario{harness: newHarness(t, Options{})}
	d.c.Begin(d.now)
	runsIndefinitely := func(string, int) time.Duration { return 0 }
	d.agents = newTestAgents(runsIndefinitely, "n-a0", "n-a1", "n-a2", "n-a3", "n-a4")
	d.agents.heartbeats(d.harness)
	for n := range 5 {
		d.heartbeat(ids.MachineID(fmt.Sprintf("n-b%d", n)), "b", ids.NewFencingToken(5, 0))
	}
	return d
}

// run plays some seconds and returns the machines that were requested and terminated.
func (d *partitionScenario) run(seconds int) (requested map[ids.Zone]int, terminated []ids.MachineID) {
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
			d.c.ProvisioningRefused(d.now, r)
		}
	}
	return requested, terminated
}

// The machines of a zone that was partitioned for longer than two leases are not terminated for
// their silence at the moment at which the first of them is heard again.
func TestMachinesAreNotTerminatedWhenAPartitionEnds(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	machines := map[ids.Zone][]ids.MachineID{"a": {"a-1", "a-2", "a-3", "a-4"}, "b": {"b-1", "b-2", "b-3", "b-4", "b-5"}}
	sendHeartbeats := func(zone ids.Zone) {
		for _, id := range machines[zone] {
			b.heartbeat(id, zone, 0)
		}
	}
	sendHeartbeats("b")
	for start := b.now; b.now < start.Add(silentLeases*simAgentLease+10*time.Second); b.now = b.now.Add(500 * time.Millisecond) {
		sendHeartbeats("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("terminated %v in the partition", e.Terminate)
		}
	}
	b.heartbeat("b-1", "b", 0)
	for start := b.now; b.now < start.Add(simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		sendHeartbeats("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("terminated %v before they could send a heartbeat", e.Terminate)
		}
	}
	terminated := 0
	for start := b.now; b.now < start.Add(4*simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		sendHeartbeats("a")
		b.heartbeat("b-1", "b", 0)
		terminated += len(b.step().Terminate)
	}
	if terminated != 4 {
		t.Errorf("%d machines terminated that stayed silent, want 4", terminated)
	}
}
