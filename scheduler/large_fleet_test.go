package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

const (
	// largeFleet is about the number of machines that the service is run with, and
	// largeFleetTasks how many tasks are placed on them.
	largeFleet      = 4000
	largeFleetTasks = 16000
	largeFleetZones = 4
	largeFleetJobs  = 250
)

// largeFleetHarness is a core with 4,000 machines in four zones and 250 jobs of 64 tasks.
func largeFleetHarness(t *testing.T) *harness {
	zones := []ids.Zone{"a", "b", "c", "d"}
	enough := quota.Amount{CPUs: 4 * largeFleetTasks}
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: enough, Limit: enough, LendingLimit: enough}}},
		wire.MachineType{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: zones})
	opt := h.c.opt
	opt.MaxMachines, opt.SliceTasks, opt.MaxTxnOps = 0, 64, 24
	opt.MaxSkippedJobs, opt.MaxWorkerCalls = 2000, 64
	h.c = New(opt, h.c.cluster.Types())
	return h
}

func largeFleetHost(n int) ids.MachineID { return ids.MachineID(fmt.Sprintf("n-%06d", n)) }

func largeFleetZone(n int) ids.Zone { return ids.Zone(rune('a' + n%largeFleetZones)) }

// heartbeatAll has each machine report what runs on it, but for those in a zone that is cut.
func (h *harness) heartbeatAll(cut ids.Zone) {
	for n := range largeFleet {
		if largeFleetZone(n) == cut {
			continue
		}
		var tasks []wire.TaskStatus
		if m := h.c.cluster.Machine(largeFleetHost(n)); m != nil {
			for _, a := range m.Assignments() {
				if a.Delivery.Sent || a.Delivery.Inherited {
					tasks = append(tasks, wire.TaskStatus{Name: a.Ref().String(), Attempt: a.Attempt, State: wire.TaskRunning})
				}
			}
		}
		h.heartbeat(largeFleetHost(n), largeFleetZone(n), h.c.commands.fencingToken(h.c.cluster.EnsureMachine(largeFleetHost(n))), tasks...)
	}
}

// liveHeap is how much memory is in use once garbage is collected.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The core keeps up with 4,000 machines through heartbeats of all, a failover and a partitioned
// zone. Its work is asserted by what it examined, read and wrote, not by time.
func TestFourThousandMachines(t *testing.T) {
	t.Run("zones not watched", func(t *testing.T) { playLargeFleet(largeFleetHarness(t)) })
	t.Run("zones watched", func(t *testing.T) {
		h := largeFleetHarness(t)
		opt := h.c.opt
		opt.ZoneRecovery, opt.MaxValueBytes = simZonePolicy(), 4<<10
		h.c = New(opt, h.c.cluster.Types())
		playLargeFleet(h)
		h.checkZoneRecords()
	})
}

// playLargeFleet takes a core through heartbeats of all machines, a failover and a partitioned
// zone.
func playLargeFleet(h *harness) {
	t := h.t
	t.Helper()
	before := liveHeap()
	h.c.Begin(h.now)
	h.heartbeatAll("")
	for n := range largeFleetJobs {
		h.submit(ids.JobID(fmt.Sprintf("job-%06d", n)), wire.JobSpec{Tasks: largeFleetTasks / largeFleetJobs, CPUs: 2})
	}
	latest := map[string]records.AdmissionSlice{}
	h.placeAll(latest)
	placed := uint64(largeFleetTasks)
	// The first search of a job looks at all machines, each task at one a zone.
	if most := uint64(largeFleetJobs+16)*largeFleet*2 + placed*largeFleetZones; h.c.candidates.examined > most {
		t.Errorf("looked at machines %d times to place %d tasks, at most %d expected", h.c.candidates.examined, placed, most)
	}
	if len(latest) != largeFleetJobs {
		t.Errorf("%d records written, want one for each of %d jobs", len(latest), largeFleetJobs)
	}
	h.now = h.now.Add(time.Second)
	h.heartbeatAll("")
	perMachine := (liveHeap() - before) / largeFleet
	t.Logf("live heap: %d KB, %d bytes a machine with four tasks", perMachine*largeFleet/1024, perMachine)
	if perMachine > 12<<10 {
		t.Errorf("a machine takes %d bytes: too much for a node of 100 MB", perMachine)
	}
	h.failOverLargeFleet(latest)
	h.partitionZoneOfLargeFleet()
}

// placeAll steps until all tasks are placed, and keeps the newest record of each slice.
func (h *harness) placeAll(latest map[string]records.AdmissionSlice) {
	h.t.Helper()
	for range 10 {
		h.now = h.now.Add(time.Second)
		for _, change := range h.step().RecordChanges {
			for _, op := range change.Operations {
				if record, ok := op.Value.(records.AdmissionSlice); ok {
					latest[op.PutKey] = record
				}
			}
		}
	}
	for id, j := range h.c.cluster.Jobs() {
		if len(j.Pending()) > 0 {
			h.t.Fatalf("%s has %d tasks to place", id, len(j.Pending()))
		}
	}
}

// failOverLargeFleet has a new leader read the records and get a heartbeat of each machine.
func (h *harness) failOverLargeFleet(latest map[string]records.AdmissionSlice) {
	h.t.Helper()
	previous := h.c
	opt := previous.opt
	opt.Revision, opt.PreviousLeader = opt.Revision+1, true
	h.c = New(opt, previous.cluster.Types())
	for id, j := range previous.cluster.Jobs() {
		h.c.LoadJob(id, &records.Job{Status: wire.JobQueued, Tasks: len(j.Tasks()), Spec: j.Spec}, j.Records.Revision)
	}
	for key, record := range latest {
		id, number, _ := records.ParseAdmissionKey(key)
		if err := h.c.LoadSlice(id, number, &record, 2000); err != nil {
			h.t.Fatal(err)
		}
	}
	h.c.Begin(h.now)
	h.heartbeatAll("")
	e := h.step()
	if len(e.RecordChanges) > 0 || len(e.Terminate) > 0 || len(e.Provision) > 0 {
		h.t.Errorf("a failover without other events wrote %d changes, terminated %d machines and made %d requests for machines", len(e.RecordChanges), len(e.Terminate), len(e.Provision))
	}
	for _, m := range h.c.cluster.Machines() {
		if !h.c.health.usable(m) {
			h.t.Fatalf("%s is not usable after its report", m.ID)
		}
	}
}

// partitionZoneOfLargeFleet cuts a quarter of the machines off until their leases are over, and
// sees that work and returns stay in proportion.
func (h *harness) partitionZoneOfLargeFleet() {
	h.t.Helper()
	examined, calls := h.c.candidates.examined, 0
	h.c.ObserveConnectivity(zonerecovery.Connectivity{LeaseConfirmed: true})
	const step, steps = time.Second, 36
	for range steps {
		h.now = h.now.Add(step)
		h.heartbeatAll("d")
		e := h.step()
		h.countZoneRecords(e)
		calls = max(calls, len(e.SendCommands)+len(e.RequestHeartbeats))
		if len(e.Terminate) > 0 {
			h.t.Fatalf("terminated %d machines of a partitioned zone", len(e.Terminate))
		}
	}
	if !h.c.health.zonePartitioned("d") {
		h.t.Error("the partition of the zone was not detected")
	}
	if calls > h.c.opt.MaxWorkerCalls {
		h.t.Errorf("%d calls in a step", calls)
	}
	waiting := 0
	for _, j := range h.c.cluster.Jobs() {
		waiting += len(j.Pending())
	}
	if want := largeFleetTasks / largeFleetZones; waiting != want {
		h.t.Errorf("%d tasks wait after a quarter of the machines lost their leases, want %d", waiting, want)
	}
	// All other machines are full. Alike jobs that found no room are not tried again in a
	// round, by admission or by preemption.
	if looked, most := h.c.candidates.examined-examined, uint64(steps*8*largeFleet); looked > most {
		h.t.Errorf("looked at machines %d times, at most %d expected", looked, most)
	}
}

// countZoneRecords counts the records of zones that were written, and checks their size.
func (h *harness) countZoneRecords(e Decisions) {
	h.t.Helper()
	for _, change := range e.RecordChanges {
		for _, op := range change.Operations {
			if record, ok := op.Value.(*zonerecovery.Record); ok {
				h.zoneWrites++
				if wire.ExceedsJSONSize(record, h.c.opt.MaxValueBytes) {
					h.t.Errorf("a zone's record with %d jobs is too large", len(record.DisplacedJobs))
				}
			}
		}
	}
}

// checkZoneRecords sees that a zone which took 4,000 tasks of 250 jobs with it was recorded
// in a few writes.
func (h *harness) checkZoneRecords() {
	h.t.Helper()
	if c := h.c.zones.manager.Condition("d"); c != zonerecovery.Outage {
		h.t.Errorf("the zone is %s", c)
	}
	if got := h.c.zones.manager.Stats().DisplacedTasks; got != largeFleetTasks/largeFleetZones {
		h.t.Errorf("%d tasks displaced", got)
	}
	if h.zoneWrites < 1 || h.zoneWrites > 4 {
		h.t.Errorf("%d records of zones written", h.zoneWrites)
	}
}
