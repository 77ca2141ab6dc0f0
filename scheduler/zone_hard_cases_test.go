package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// A zone that flaps three times is held down longer each time, and no job comes back to it
// more than once.
func TestFlappingZoneIsHeldDownLonger(t *testing.T) {
	m := calmZones(t, 2, 4)
	m.fillZones()
	m.submitJob(zoneArray(300)) // waits for every place
	m.run(30 * second)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	var held []time.Duration
	for range 3 {
		m.partitionZone("b", 45*second)
		m.await("b", zonerecovery.Outage, 30*second)
		m.run(m.zones.partitionedUntil["b"].Sub(m.now))
		back := m.now
		m.await("b", zonerecovery.Recovering, 60*second)
		held = append(held, m.now.Sub(back))
		m.await("b", zonerecovery.Serving, 60*second)
		m.run(30 * second)
	}
	if held[1] < 2*held[0] || held[2] < 2*held[1] {
		t.Errorf("held down for %v", held)
	}
	if held[2] > m.opt.ZoneRecovery.MaxHoldDown+5*second {
		t.Errorf("held down for %v, more than the longest", held[2])
	}
	if got := m.statusOf("b").Outages; got != 3 {
		t.Errorf("%d flaps counted", got)
	}
	if m.zones.displaced == 0 || m.zones.bounceCount == 0 {
		t.Errorf("%d tasks displaced, %d jobs came back: the day shows nothing", m.zones.displaced, m.zones.bounceCount)
	}
	m.endOfDay()
}

// A zone with another outage in the middle of a step begins its next recovery with the probe,
// after a longer hold-down.
func TestZoneOutageDuringItsRecovery(t *testing.T) {
	m := calmZones(t, 4, 4)
	m.fillZones()
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Recovering, 90*second)
	m.jobs(6, array)
	for m.statusOf("b").Step < 1 {
		m.run(100 * time.Millisecond)
	}
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Outage, 30*second)
	m.await("b", zonerecovery.Recovering, 90*second)
	if st := m.statusOf("b"); st.Step != 0 || st.Outages != 2 {
		t.Errorf("the second recovery began at step %d with %d flaps", st.Step, st.Outages)
	}
	m.endOfDay()
}

// Most machines of a zone stay partitioned: it serves with those that come back, and the others
// do not make it suspect.
func TestSomeMachinesOfAZoneComeBack(t *testing.T) {
	m := calmZones(t, 5, 4)
	m.fillZones()
	m.partitionZone("b", 35*second)
	kept := 0
	for _, h := range m.sortedMachineIDs() {
		if w := m.workers[h]; w.zone == "b" {
			if kept++; kept%3 != 0 {
				w.partitionedUntil = m.in(20 * time.Minute)
			}
		}
	}
	m.await("b", zonerecovery.Outage, 30*second)
	m.await("b", zonerecovery.Recovering, 60*second)
	m.await("b", zonerecovery.Serving, 60*second)
	m.run(60 * second)
	if c := m.condition("b"); c != zonerecovery.Serving {
		t.Errorf("the zone is %s: %v", c, m.zones.conditions["b"])
	}
	m.endOfDay()
}

// returnPhase is a point of a zone's recovery.
type returnPhase int

const (
	phaseOutage   returnPhase = iota - 2
	phaseHoldDown             // after the partition, before the recovery
	phaseProbe                // step 0 of the recovery; later phases are later steps
)

func (p returnPhase) String() string {
	switch p {
	case phaseOutage:
		return "in the outage"
	case phaseHoldDown:
		return "in the hold-down"
	default:
		return fmt.Sprintf("at step %d", int(p))
	}
}

// awaitPhase has zone b lost, and runs until it is in a phase that is recorded.
func (m *scenario) awaitPhase(phase returnPhase) {
	m.t.Helper()
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Outage, 30*second)
	if phase >= phaseHoldDown {
		m.run(m.zones.partitionedUntil["b"].Sub(m.now) + time.Second)
	}
	if phase >= phaseProbe {
		m.await("b", zonerecovery.Recovering, 60*second)
		for m.condition("b") == zonerecovery.Recovering && m.statusOf("b").Step < int(phase) {
			m.run(100 * time.Millisecond)
		}
	}
	m.run(300 * time.Millisecond)
}

// leaderChanges are the ways in which a leader may end or go on.
var leaderChanges = []struct {
	name   string
	inject func(m *scenario)
}{
	{"failover", func(m *scenario) { m.failOver() }},
	{"two failovers", func(m *scenario) { m.failOver(); m.run(300 * time.Millisecond); m.failOver() }},
	{"the leader is paused", func(m *scenario) { m.pause(2500 * time.Millisecond) }},
	{"the leader is paused for longer than its lease", func(m *scenario) { m.pause(8 * second) }},
	{"the previous leader stays active in the zone", func(m *scenario) {
		m.failOverWithPreviousLeaderActive()
		m.isolatedZone, m.isolatedZoneUntil = "b", m.in(20*second)
	}},
}

// Whatever happens to the leader, and in each phase: the flaps, the step and the displaced
// jobs are kept, and nothing is allowed that the previous leader did not allow.
func TestNextLeaderContinuesTheRecovery(t *testing.T) {
	for phase := phaseOutage; phase <= phaseProbe+2; phase++ {
		for _, c := range leaderChanges {
			t.Run(fmt.Sprintf("%s %s", c.name, phase), func(t *testing.T) {
				t.Parallel()
				m := calmZones(t, 6, 4)
				m.fillZones()
				m.awaitPhase(phase)
				before := m.statusOf("b")
				c.inject(m)
				m.run(100 * time.Millisecond)
				after := m.statusOf("b")
				if after.Outages != before.Outages || after.DisplacedJobs < before.DisplacedJobs {
					t.Errorf("before %+v\nafter %+v", before, after)
				}
				if before.Condition == zonerecovery.Outage && after.Condition == zonerecovery.Serving || after.Step > before.Step+1 {
					t.Errorf("the next leader allows more: before %+v\nafter %+v", before, after)
				}
				m.await("b", zonerecovery.Serving, 3*time.Minute)
				m.endOfDay()
			})
		}
	}
}

// During an outage of the store no step of a recovery begins that is not recorded, however often
// the zone flaps. After the outage the recovery goes on.
func TestNothingOpensUnrecorded(t *testing.T) {
	m := calmZones(t, 7, 4)
	m.fillZones()
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Outage, 30*second)
	m.run(500 * time.Millisecond)
	m.storeOutageUntil = m.in(90 * second)
	m.jobs(4, array)
	for m.now < m.storeOutageUntil {
		m.run(second)
		if got := m.core.zones.manager.Stats().Failbacks; got != 0 {
			t.Fatalf("%d jobs came back although nothing could be recorded", got)
		}
	}
	if st := m.statusOf("b"); st.Condition != zonerecovery.Recovering || st.Step != 0 {
		t.Fatalf("the zone is %s at step %d although nothing was recorded", st.Condition, st.Step)
	}
	m.await("b", zonerecovery.Serving, 90*second)
	m.endOfDay()
}

// Heartbeats from before a partition that come late do not end the outage.
func TestDelayedHeartbeatsDoNotEndAZoneOutage(t *testing.T) {
	m := calmZones(t, 8, 4)
	m.fillZones()
	var late []*wire.Heartbeat
	for _, h := range m.sortedMachineIDs() {
		if w := m.workers[h]; w.zone == "b" {
			rep := w.nextHeartbeat()
			w.sequence++ // the newest of its messages has come before it
			late = append(late, rep)
		}
	}
	m.run(5 * second)
	m.partitionZone("b", 60*second)
	m.await("b", zonerecovery.Outage, 30*second)
	for range 10 {
		for _, rep := range late {
			m.core.Heartbeat(m.now, rep)
		}
		m.run(second)
		if c := m.condition("b"); c != zonerecovery.Outage {
			t.Fatalf("delayed heartbeats made the zone %s", c)
		}
		if st := m.statusOf("b"); st.Reachable != 0 {
			t.Fatalf("%d machines count as heard", st.Reachable)
		}
	}
	m.endOfDay()
}

// Two zones have outages in turn: each has its own recovery, and tasks that the second displaces
// do not wait for the first.
func TestTwoZoneOutagesInTurn(t *testing.T) {
	m := calmZones(t, 9, 4)
	m.fillZones()
	m.partitionZone("a", 60*second)
	m.run(25 * second)
	m.partitionZone("b", 60*second)
	m.await("b", zonerecovery.Outage, 30*second)
	if c := m.condition("a"); c != zonerecovery.Outage {
		t.Fatalf("zone a is %s", c)
	}
	m.await("a", zonerecovery.Serving, 2*time.Minute)
	m.await("b", zonerecovery.Serving, 2*time.Minute)
	m.endOfDay()
}

// All zones but one have an outage, and a team's nominal quota does not fit into the last one:
// services get its capacity, no limit is exceeded, and all goes on once zones recover.
func TestOutageOfAllZonesButOne(t *testing.T) {
	m := calmZones(t, 10, 3)
	services, _ := m.fillZones()
	m.partitionZone("a", 90*second)
	m.partitionZone("b", 100*second)
	m.await("a", zonerecovery.Outage, 30*second)
	m.await("b", zonerecovery.Outage, 30*second)
	m.run(60 * second)
	if c := m.condition("c"); c != zonerecovery.Serving {
		t.Errorf("the last zone is %s", c)
	}
	// By spread, half of the replicas may be in the zone that is left.
	if up, wanted := m.placed(services); up < wanted/2 {
		t.Errorf("%d of %d replicas are placed", up, wanted)
	}
	m.await("a", zonerecovery.Serving, 2*time.Minute)
	m.await("b", zonerecovery.Serving, 2*time.Minute)
	m.endOfDay()
}

// A leader that reaches neither the store nor its peers declares no zone outage.
func TestIsolatedLeaderDeclaresNoOutage(t *testing.T) {
	m := calmZones(t, 11, 4)
	m.fillZones()
	m.zones.isolatedView = true
	m.partitionZone("a", 20*second)
	m.partitionZone("b", 20*second)
	m.run(18 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if c := m.condition(zone); c != zonerecovery.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	m.zones.isolatedView = false
	m.await("a", zonerecovery.Serving, 30*second)
	if got := m.statusOf("a").Outages; got != 0 {
		t.Errorf("%d flaps counted", got)
	}
	m.endOfDay()
}

// A job that may not use a zone because of its earlier moves does not exclude others like it,
// also once the zone serves again.
func TestRestrictedJobDoesNotExcludeOthersLikeIt(t *testing.T) {
	m := calmZones(t, 15, 3)
	m.fillZones()
	restricted, free := zoneArray(300), zoneArray(2)
	m.submitJob(restricted)
	m.run(30 * second)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	for range 2 {
		m.partitionZone("b", 40*second)
		m.await("b", zonerecovery.Outage, 30*second)
		m.await("b", zonerecovery.Serving, 3*time.Minute)
	}
	j := m.core.cluster.Job(m.all[len(m.all)-1])
	if len(j.Pending()) == 0 || !m.core.zones.manager.FailbackDenied(j.ID) {
		t.Fatal("the day does not restrict the job")
	}
	id := m.submitJob(free)
	before := len(m.placements[id])
	m.run(5 * second)
	if len(m.placements[id]) == before {
		t.Error("a job like it was not placed although the zone is open to it")
	}
	m.endOfDay()
}

// While placements use the whole write rate, as for minutes after a zone is lost, the zone's own
// record is still written, and the recovery ends in time.
func TestZoneRecordIsWrittenThoughWritesAreScarce(t *testing.T) {
	m := calmZones(t, 16, 6)
	m.fillZones()
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Outage, 30*second)
	m.core.opt.WriteRate, m.opt.WriteRate = 3, 3
	m.runFactor = 1
	m.jobs(40, func(sp *wire.JobSpec) { array(sp); sp.Tasks, sp.CPUs, sp.Team = 40, 1, "gold" })
	m.run(m.zones.partitionedUntil["b"].Sub(m.now))
	m.await("b", zonerecovery.Recovering, 30*second)
	m.await("b", zonerecovery.Serving, m.opt.ZoneRecovery.MaxRecovery+10*second)
	if waiting := len(m.core.records.dirty); waiting == 0 {
		t.Error("no record waits for the write rate: the day shows nothing")
	}
	m.core.opt.WriteRate, m.opt.WriteRate = 40, 40
	m.endOfDay()
}
