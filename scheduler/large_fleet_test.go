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
	// largeFleet is about the number of machines in production. largeFleetTasks is the number of
	// tasks that are placed on them.
	largeFleet      = 4000
	largeFleetTasks = 16000
	largeFleetZones = 4
	largeFleetJobs  = 250
)

// largeFleetHarness returns a harness whose core has the settings for 4,000 machines in four zones and
// 250 jobs of 64 tasks.
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

func largeFleetMachine(n int) ids.MachineID { return ids.MachineID(fmt.Sprintf("n-%06d", n)) }

func largeFleetZone(n int) ids.Zone { return ids.Zone(rune('a' + n%largeFleetZones)) }

// heartbeatAll sends a heartbeat of each machine with the tasks that run on it, except for machines in
// the partitioned zone, if there is one.
func (h *harness) heartbeatAll(partitioned ids.Zone) {
	for n := range largeFleet {
		if largeFleetZone(n) == partitioned {
			continue
		}
		var tasks []wire.TaskStatus
		if m := h.c.cluster.Machine(largeFleetMachine(n)); m != nil {
			for _, a := range m.Assignments() {
				if a.Delivery.Sent || a.Delivery.Inherited {
					tasks = append(tasks, wire.TaskStatus{Name: a.Ref().String(), Attempt: a.Attempt, State: wire.TaskRunning})
				}
			}
		}
		h.heartbeat(largeFleetMachine(n), largeFleetZone(n), h.c.commands.fencingToken(h.c.cluster.EnsureMachine(largeFleetMachine(n))), tasks...)
	}
}

// liveHeap returns the bytes in use on the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The core must handle 4,000 machines through heartbeats of all machines, a failover and a partitioned
// zone. Its work is measured by what it examines, reads and writes, not by time.
func TestFourThousandMachines(t *testing.T) {
	t.Run("without zone recovery", func(t *testing.T) { simulateLargeFleet(largeFleetHarness(t)) })
	t.Run("with zone recovery", func(t *testing.T) {
		h := largeFleetHarness(t)
		opt := h.c.opt
		opt.ZoneRecovery, opt.MaxValueBytes = simZonePolicy(), 4<<10
		h.c = New(opt, h.c.cluster.Types())
		simulateLargeFleet(h)
		h.checkZoneRecords()
	})
}

// simulateLargeFleet simulates heartbeats of all machines, a failover and a partitioned zone.
func simulateLargeFleet(h *harness) {
	t := h.t
	t.Helper()
	before := liveHeap()
	h.c.Begin(h.now)
	h.heartbeatAll("")
	for n := range largeFleetJobs {
		h.submit(ids.JobID(fmt.Sprintf("job-%06d", n)), wire.JobSpec{Tasks: largeFleetTasks / largeFleetJobs, CPUs: 2})
	}
	newestRecords := map[string]records.AdmissionSlice{}
	h.placeAll(newestRecords)
	placed := uint64(largeFleetTasks)
	// The first search of a job examines all machines, the search for each task one per zone.
	if maxExamined := uint64(largeFleetJobs+16)*largeFleet*2 + placed*largeFleetZones; h.c.candidates.examined > maxExamined {
		t.Errorf("%d machines were examined to place %d tasks, want at most %d", h.c.candidates.examined, placed, maxExamined)
	}
	if len(newestRecords) != largeFleetJobs {
		t.Errorf("%d records written, want one for each of %d jobs", len(newestRecords), largeFleetJobs)
	}
	h.now = h.now.Add(time.Second)
	h.heartbeatAll("")
	perMachine := (liveHeap() - before) / largeFleet
	t.Logf("live heap: %d KB, %d bytes per machine with four tasks", perMachine*largeFleet/1024, perMachine)
	if perMachine > 12<<10 {
		t.Errorf("a machine takes %d bytes, which is too much for a controller with 100 MB", perMachine)
	}
	h.failOverLargeFleet(newestRecords)
	h.partitionLargeFleetZone()
}

// placeAll runs steps until all tasks are placed, and stores the newest record of each slice.
func (h *harness) placeAll(newestRecords map[string]records.AdmissionSlice) {
	h.t.Helper()
	for range 10 {
		h.now = h.now.Add(time.Second)
		for _, change := range h.step().RecordChanges {
			for _, op := range change.Operations {
				if record, ok := op.Value.(records.AdmissionSlice); ok {
					newestRecords[op.PutKey] = record
				}
			}
		}
	}
	for id, j := range h.c.cluster.Jobs() {
		if len(j.Pending()) > 0 {
			h.t.Fatalf("%s has %d pending tasks", id, len(j.Pending()))
		}
	}
}

// failOverLargeFleet has a new leader load the records and receive a heartbeat of each machine.
func (h *harness) failOverLargeFleet(newestRecords map[string]records.AdmissionSlice) {
	h.t.Helper()
	previous := h.c
	opt := previous.opt
	opt.Revision, opt.PreviousLeader = opt.Revision+1, true
	h.c = New(opt, previous.cluster.Types())
	for id, j := range previous.cluster.Jobs() {
		h.c.LoadJob(id, &records.Job{Status: wire.JobQueued, Tasks: len(j.Tasks()), Spec: j.Spec}, j.Records.Revision)
	}
	for key, record := range newestRecords {
		id, slice, _ := records.ParseAdmissionKey(key)
		if err := h.c.LoadSlice(id, slice, &record, 2000); err != nil {
			h.t.Fatal(err)
		}
	}
	h.c.Begin(h.now)
	h.heartbeatAll("")
	decisions := h.step()
	if len(decisions.RecordChanges) > 0 || len(decisions.Terminate) > 0 || len(decisions.Provision) > 0 {
		h.t.Errorf("a failover without other events wrote %d changes, terminated %d machines and made %d requests for machines", len(decisions.RecordChanges), len(decisions.Terminate), len(decisions.Provision))
	}
	for _, m := range h.c.cluster.Machines() {
		if !h.c.health.usable(m) {
			h.t.Fatalf("%s is not usable after its heartbeat", m.ID)
		}
	}
}

// partitionLargeFleetZone partitions a zone, a quarter of the machines, until their leases have expired.
// It checks that calls and examined machines are limited, and that no machine is terminated.
func (h *harness) partitionLargeFleetZone() {
	h.t.Helper()
	examinedBefore, maxCalls := h.c.candidates.examined, 0
	h.c.ObserveConnectivity(zonerecovery.Connectivity{LeaseConfirmed: true})
	const step, steps = time.Second, 36
	for range steps {
		h.now = h.now.Add(step)
		h.heartbeatAll("d")
		decisions := h.step()
		h.countZoneRecords(decisions)
		maxCalls = max(maxCalls, len(decisions.SendCommands)+len(decisions.RequestHeartbeats))
		if len(decisions.Terminate) > 0 {
			h.t.Fatalf("terminated %d machines of a partitioned zone", len(decisions.Terminate))
		}
	}
	if !h.c.health.zonePartitioned("d") {
		h.t.Error("the partition of the zone was not detected")
	}
	if maxCalls > h.c.opt.MaxWorkerCalls {
		h.t.Errorf("%d calls in one step, want at most MaxWorkerCalls", maxCalls)
	}
	waiting := 0
	for _, j := range h.c.cluster.Jobs() {
		waiting += len(j.Pending())
	}
	if want := largeFleetTasks / largeFleetZones; waiting != want {
		h.t.Errorf("%d tasks are pending after lease expiry on a quarter of the machines, want %d", waiting, want)
	}
	// All other machines are full. Once a job finds no free resources, neither admission nor
	// preemption tries similar jobs again in the same round.
	if examined, maxExamined := h.c.candidates.examined-examinedBefore, uint64(steps*8*largeFleet); examined > maxExamined {
		h.t.Errorf("%d machines were examined, want at most %d", examined, maxExamined)
	}
}

// countZoneRecords counts the zone records that a step writes, and checks their size.
func (h *harness) countZoneRecords(decisions Decisions) {
	h.t.Helper()
	for _, change := range decisions.RecordChanges {
		for _, op := range change.Operations {
			if record, ok := op.Value.(*zonerecovery.Record); ok {
				h.zoneWrites++
				if wire.ExceedsJSONSize(record, h.c.opt.MaxValueBytes) {
					h.t.Errorf("a zone record with %d jobs exceeds MaxValueBytes", len(record.DisplacedJobs))
				}
			}
		}
	}
}

// checkZoneRecords checks that the outage of a zone with 4,000 tasks of 250 jobs is recorded in a few
// writes.
func (h *harness) checkZoneRecords() {
	h.t.Helper()
	if c := h.c.zones.manager.Condition("d"); c != zonerecovery.Outage {
		h.t.Errorf("the zone is %s", c)
	}
	if got := h.c.zones.manager.Stats().DisplacedTasks; got != largeFleetTasks/largeFleetZones {
		h.t.Errorf("%d tasks displaced", got)
	}
	if h.zoneWrites < 1 || h.zoneWrites > 4 {
		h.t.Errorf("%d zone records written, want 1 to 4", h.zoneWrites)
	}
}
