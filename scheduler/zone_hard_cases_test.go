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
	m.run(30 * s1)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	var held []time.Duration
	for range 3 {
		m.cutZone("b", 45*s1)
		m.await("b", zonerecovery.Outage, 30*s1)
		m.run(m.zones.cutUntil["b"].Sub(m.now))
		back := m.now
		m.await("b", zonerecovery.Recovering, 60*s1)
		held = append(held, m.now.Sub(back))
		m.await("b", zonerecovery.Serving, 60*s1)
		m.run(30 * s1)
	}
	if held[1] < 2*held[0] || held[2] < 2*held[1] {
		t.Errorf("held down for %v", held)
	}
	if held[2] > m.opt.ZoneRecovery.HoldDownMax+5*s1 {
		t.Errorf("held down for %v, more than the longest", held[2])
	}
	if got := m.statusOf("b").Flaps; got != 3 {
		t.Errorf("%d flaps counted", got)
	}
	if m.zones.displaced == 0 || m.zones.bounceCount == 0 {
		t.Errorf("%d tasks displaced, %d jobs came back: the day shows nothing", m.zones.displaced, m.zones.bounceCount)
	}
	m.endOfDay()
}

// A zone that goes dark again in the middle of a step begins its next return with the
// probe, after a longer hold-down.
func TestZoneGoesDarkDuringItsReturn(t *testing.T) {
	m := calmZones(t, 4, 4)
	m.fillZones()
	m.cutZone("b", 40*s1)
	m.await("b", zonerecovery.Recovering, 90*s1)
	m.jobs(6, array)
	for m.statusOf("b").Step < 1 {
		m.run(100 * time.Millisecond)
	}
	m.cutZone("b", 40*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	m.await("b", zonerecovery.Recovering, 90*s1)
	if st := m.statusOf("b"); st.Step != 0 || st.Flaps != 2 {
		t.Errorf("the second return began at step %d with %d flaps", st.Step, st.Flaps)
	}
	m.endOfDay()
}

// Most of a zone's machines stay away: it serves with those that return, and the others do not make
// it suspect.
func TestSomeOfTheMachinesReturn(t *testing.T) {
	m := calmZones(t, 5, 4)
	m.fillZones()
	m.cutZone("b", 35*s1)
	kept := 0
	for _, h := range m.sortedHosts() {
		if w := m.workers[h]; w.zone == "b" {
			if kept++; kept%3 != 0 {
				w.cut = m.in(20 * time.Minute)
			}
		}
	}
	m.await("b", zonerecovery.Outage, 30*s1)
	m.await("b", zonerecovery.Recovering, 60*s1)
	m.await("b", zonerecovery.Serving, 60*s1)
	m.run(60 * s1)
	if c := m.condition("b"); c != zonerecovery.Serving {
		t.Errorf("the zone is %s: %v", c, m.zones.conditions["b"])
	}
	m.endOfDay()
}

// Whichever leader comes, and whenever: the flaps, the step and who was displaced are not
// forgotten, and nothing is allowed that the earlier leader did not allow.
func TestSuccessorGoesOnWithTheReturn(t *testing.T) {
	for _, step := range []int{-2, -1, 0, 1, 2} {
		for name, change := range map[string]func(m *scenario){
			"the leader ends":               func(m *scenario) { m.takeOver() },
			"it ends twice":                 func(m *scenario) { m.takeOver(); m.run(300 * time.Millisecond); m.takeOver() },
			"it is paused":                  func(m *scenario) { m.pause(2500 * time.Millisecond) },
			"it is paused for longer":       func(m *scenario) { m.pause(8 * s1) },
			"it goes on unseen in the zone": func(m *scenario) { m.deposed(); m.island, m.islandUntil = "b", m.in(20*s1) },
		} {
			t.Run(fmt.Sprintf("%s at step %d", name, step), func(t *testing.T) {
				t.Parallel()
				m := calmZones(t, 6, 4)
				m.fillZones()
				m.cutZone("b", 40*s1)
				m.await("b", zonerecovery.Outage, 30*s1)
				if step >= -1 {
					m.run(m.zones.cutUntil["b"].Sub(m.now) + time.Second) // in the hold-down
				}
				if step >= 0 {
					m.await("b", zonerecovery.Recovering, 60*s1)
					for m.condition("b") == zonerecovery.Recovering && m.statusOf("b").Step < step {
						m.run(100 * time.Millisecond)
					}
				}
				m.run(300 * time.Millisecond) // until it is recorded
				before := m.statusOf("b")
				change(m)
				m.run(100 * time.Millisecond)
				after := m.statusOf("b")
				if after.Flaps != before.Flaps || after.DisplacedIDs < before.DisplacedIDs {
					t.Errorf("before %+v\nafter %+v", before, after)
				}
				if before.Condition == zonerecovery.Outage && after.Condition == zonerecovery.Serving || after.Step > before.Step+1 {
					t.Errorf("the successor allows more: before %+v\nafter %+v", before, after)
				}
				m.await("b", zonerecovery.Serving, 3*time.Minute)
				m.endOfDay()
			})
		}
	}
}

// While the state service is away nothing opens that is not recorded, however often the
// zone flaps; once it is back the return goes on.
func TestNothingOpensUnrecorded(t *testing.T) {
	m := calmZones(t, 7, 4)
	m.fillZones()
	m.cutZone("b", 40*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	m.run(500 * time.Millisecond)
	m.outage = m.in(90 * s1)
	m.jobs(4, array)
	for m.now < m.outage {
		m.run(s1)
		if got := m.core.zones.manager.Stats().Bounces; got != 0 {
			t.Fatalf("%d jobs came back although nothing could be recorded", got)
		}
	}
	if st := m.statusOf("b"); st.Condition != zonerecovery.Recovering || st.Step != 0 {
		t.Fatalf("the zone is %s at step %d although nothing was proved", st.Condition, st.Step)
	}
	m.await("b", zonerecovery.Serving, 90*s1)
	m.endOfDay()
}

// Reports from before the cut that come late are no sign of life.
func TestLateReportsDoNotBringAZoneBack(t *testing.T) {
	m := calmZones(t, 8, 4)
	m.fillZones()
	var late []*wire.Heartbeat
	for _, h := range m.sortedHosts() {
		if w := m.workers[h]; w.zone == "b" {
			rep := m.report(w)
			w.sequence++ // the newest of its messages has come before it
			late = append(late, rep)
		}
	}
	m.run(5 * s1)
	m.cutZone("b", 60*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	for range 10 {
		for _, rep := range late {
			m.core.Heartbeat(m.now, rep)
		}
		m.run(s1)
		if c := m.condition("b"); c != zonerecovery.Outage {
			t.Fatalf("late reports made the zone %s", c)
		}
		if st := m.statusOf("b"); st.Heard != 0 {
			t.Fatalf("%d machines count as heard", st.Heard)
		}
	}
	m.endOfDay()
}

// Two zones go dark in turn: each has its own return, and what the second loses does not
// wait for the first.
func TestTwoZonesInTurn(t *testing.T) {
	m := calmZones(t, 9, 4)
	m.fillZones()
	m.cutZone("a", 60*s1)
	m.run(25 * s1)
	m.cutZone("b", 60*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	if c := m.condition("a"); c != zonerecovery.Outage {
		t.Fatalf("zone a is %s", c)
	}
	m.await("a", zonerecovery.Serving, 2*time.Minute)
	m.await("b", zonerecovery.Serving, 2*time.Minute)
	m.endOfDay()
}

// All zones but one are dark, and a team's guarantee does not fit what is left: services
// have the room, no limit is broken, and all goes on once zones return.
func TestAllZonesButOneAreDark(t *testing.T) {
	m := calmZones(t, 10, 3)
	services, _ := m.fillZones()
	m.cutZone("a", 90*s1)
	m.cutZone("b", 100*s1)
	m.await("a", zonerecovery.Outage, 30*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	m.run(60 * s1)
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

// A leader that reaches neither the state service nor its peers calls no zone dark.
func TestIsolatedLeaderGivesNoVerdict(t *testing.T) {
	m := calmZones(t, 11, 4)
	m.fillZones()
	m.zones.isolatedView = true
	m.cutZone("a", 20*s1)
	m.cutZone("b", 20*s1)
	m.run(18 * s1)
	for _, zone := range []ids.Zone{"a", "b"} {
		if c := m.condition(zone); c != zonerecovery.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	m.zones.isolatedView = false
	m.await("a", zonerecovery.Serving, 30*s1)
	if got := m.statusOf("a").Flaps; got != 0 {
		t.Errorf("%d flaps counted", got)
	}
	m.endOfDay()
}

// A job that its earlier moves keep from a zone does not stand for others like it, which may
// use the zone, also once that serves again.
func TestRestrictedJobStandsForNoOther(t *testing.T) {
	m := calmZones(t, 15, 3)
	m.fillZones()
	restricted, free := zoneArray(300), zoneArray(2)
	m.submitJob(restricted)
	m.run(30 * s1)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	for range 2 {
		m.cutZone("b", 40*s1)
		m.await("b", zonerecovery.Outage, 30*s1)
		m.await("b", zonerecovery.Serving, 3*time.Minute)
	}
	j := m.core.cluster.Job(m.all[len(m.all)-1])
	if len(j.Pending()) == 0 || !m.core.zones.manager.Restricted(j.ID) {
		t.Fatal("the day does not restrict the job")
	}
	id := m.submitJob(free)
	before := len(m.sent[id])
	m.run(5 * s1)
	if len(m.sent[id]) == before {
		t.Error("a job like it got no place although the zone is open to it")
	}
	m.endOfDay()
}

// While placements take all writes that the rate allows, as for minutes after a zone is lost,
// the zone's own record still has its turn, and the return ends in time.
func TestZoneRecordIsWrittenThoughWritesAreScarce(t *testing.T) {
	m := calmZones(t, 16, 6)
	m.fillZones()
	m.cutZone("b", 40*s1)
	m.await("b", zonerecovery.Outage, 30*s1)
	m.core.opt.WriteRate, m.opt.WriteRate = 3, 3
	m.runFactor = 1
	m.jobs(40, func(sp *wire.JobSpec) { array(sp); sp.Tasks, sp.CPUs, sp.Team = 40, 1, "gold" })
	m.run(m.zones.cutUntil["b"].Sub(m.now))
	m.await("b", zonerecovery.Recovering, 30*s1)
	m.await("b", zonerecovery.Serving, m.opt.ZoneRecovery.ReturnMax+10*s1)
	if waiting := len(m.core.records.dirty); waiting == 0 {
		t.Error("no record waits for the write rate: the day shows nothing")
	}
	m.core.opt.WriteRate, m.opt.WriteRate = 40, 40
	m.endOfDay()
}
