package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonereturn"
)

// zoneDay is a random day on which zones are cut off, among all other troubles.
func zoneDay(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.capacity = 4
	s.watchZones()
	return s
}

// playZoneDay plays rounds of a random day, with a zone cut in every other one.
func (s *sim) playZoneDay(rounds int) []ids.JobID {
	s.t.Helper()
	var all []ids.JobID
	for round := range rounds {
		for range 1 + s.rng.IntN(3) {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
			s.submit(id, s.waitingSpec(all))
			all = append(all, id)
		}
		if s.rng.IntN(2) == 0 {
			s.cutZone([]ids.Zone{"a", "b", "c"}[s.rng.IntN(3)], time.Duration(5+s.rng.IntN(70))*time.Second)
		}
		if round%3 == 0 {
			s.trouble(all)
		}
		s.run(time.Duration(4+s.rng.IntN(20)) * time.Second)
		if len(s.violations) > 0 {
			s.t.Fatalf("rules broken: %v", s.violations)
		}
	}
	return all
}

// TestRulesWhileZonesReturn plays random days on which zones go dark and return among all
// other troubles: every rule holds, the return stays under its ramp, no job comes back to
// a zone that displaced it more than once in an incident, and in the end nothing waits.
func TestRulesWhileZonesReturn(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := zoneDay(t, seed)
			all := s.playZoneDay(30)
			s.zones.cutUntil = map[ids.Zone]ids.Instant{}
			s.toTheEnd(all, 20*time.Minute)
			s.checkOrphans(all)
			if s.zones.bounces > s.opt.ZoneReturn.MoveBudget {
				t.Errorf("a job came back %d times to a zone that displaced it", s.zones.bounces)
			}
		})
	}
}

// Zones are watched by ordered walks alone: the same events give the same decisions.
func TestZoneReturnIsDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		var first string
		for play := range 3 {
			s := zoneDay(t, seed)
			s.playZoneDay(15)
			if got := s.digest.String(); play == 0 {
				first = got
			} else if got != first {
				t.Errorf("seed %d, play %d: %s, the first one %s", seed, play, got, first)
			}
		}
	}
}

// array64 is an ordinary array for the tests of zones.
func zoneArray(tasks int) *wire.Spec {
	return &wire.Spec{Class: "c", Team: "gold", Priority: wire.Normal, Tasks: tasks, CPUs: 2, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 10}
}

// calmZones is a day without other faults: zones a, b and c with machines for all work.
func calmZones(t *testing.T, seed uint64, capacity int) *scenario {
	m := &scenario{sim: newSim(t, seed)}
	m.faults, m.capacity = false, capacity
	for i := range m.opt.Teams {
		m.opt.Teams[i].Limit.CPUs, m.opt.Teams[i].Nominal.CPUs = 400, 400
	}
	m.opt.MaxMachines, m.opt.Idle = 60, 10*time.Minute
	m.watchZones()
	return m
}

// submitJob submits one job.
func (m *scenario) submitJob(spec *wire.Spec) ids.JobID {
	id := ids.JobID(fmt.Sprintf("job-%03d", len(m.all)))
	m.submit(id, spec)
	m.all = append(m.all, id)
	return id
}

// fillZones has work in all zones: services and arrays that run for long.
func (m *scenario) fillZones() (services, arrays []ids.JobID) {
	m.runFactor = 20
	for _, zone := range []ids.Zone{"a", "b", "c", ""} {
		spec := zoneArray(10)
		spec.Zone = zone
		arrays = append(arrays, m.submitJob(spec))
	}
	for range 3 {
		spec := zoneArray(4)
		spec.Service, spec.Spread = true, true
		services = append(services, m.submitJob(spec))
	}
	m.run(40 * s1)
	for _, zone := range []ids.Zone{"a", "b"} {
		if m.machinesIn(zone) < 3 {
			m.t.Fatalf("zone %s has only %d machines", zone, m.machinesIn(zone))
		}
	}
	return services, arrays
}

// machinesIn counts the machines of a zone that the core knows.
func (m *scenario) machinesIn(zone ids.Zone) int {
	n := 0
	for _, w := range m.core.registry.machineList {
		if w.Zone == zone && w.reported {
			n++
		}
	}
	return n
}

// await runs until a zone has a condition.
func (m *scenario) await(zone ids.Zone, want zonereturn.Condition, within time.Duration) {
	m.t.Helper()
	for end := m.now.Add(within); m.condition(zone) != want; {
		if m.now >= end {
			m.t.Fatalf("zone %s is %s after %v, not %s: %v", zone, m.condition(zone), within, want, m.zones.conditions[zone])
		}
		m.run(100 * time.Millisecond)
	}
}

// statusOf is what operators are told of a zone.
func (m *scenario) statusOf(zone ids.Zone) zonereturn.Status {
	m.t.Helper()
	for _, st := range m.core.ZoneStatus(m.now) {
		if st.Zone == zone {
			return st
		}
	}
	m.t.Fatalf("no status of zone %s", zone)
	return zonereturn.Status{}
}

// endOfDay sees that every job comes to its end with no rule broken, and that none came
// back to a zone more than once.
func (m *scenario) endOfDay() {
	m.t.Helper()
	m.runFactor = 1
	m.zones.cutUntil = map[ids.Zone]ids.Instant{}
	m.toTheEnd(m.all, 30*time.Minute)
	if m.zones.bounces > 1 {
		m.t.Errorf("a job came back %d times", m.zones.bounces)
	}
}

// placed counts the tasks of jobs that are on machines the leader takes for good.
func (m *scenario) placed(jobs []ids.JobID) (placed, wanted int) {
	for _, id := range jobs {
		j := m.core.jobs[id]
		wanted += len(j.tasks) - j.done
		for _, a := range j.active {
			if a.stopReason == stopNone && m.condition(a.machine.Zone) != zonereturn.Dark {
				placed++
			}
		}
	}
	return placed, wanted
}

// When a zone goes dark and the others are full, each place that gets free goes to services
// before arrays of their priority, although those came first.
func TestServicesMoveBeforeArrays(t *testing.T) {
	m := calmZones(t, 1, 3)
	services, arrays := m.fillZones()
	for range 24 { // of one replica each: one that lost all starts whole, and needs room at once
		spec := zoneArray(1)
		spec.Service = true
		services = append(services, m.submitJob(spec))
	}
	m.run(60 * s1)
	if up, wanted := m.placed(services); up != wanted {
		t.Fatalf("%d of %d replicas are placed", up, wanted)
	}
	services = services[3:] // what is spread may not take every place
	arrays = append(arrays, m.submitJob(zoneArray(200)))
	m.run(60 * s1)
	m.core.opt.MaxMachines = len(m.core.registry.machineList)
	m.cutZone("b", 10*time.Minute)
	m.await("b", zonereturn.Dark, 30*s1)
	for !m.leasesOver("b") {
		m.run(100 * time.Millisecond)
	}
	m.run(s1)
	known := m.attempts(arrays)
	lost := 0
	for end := m.now.Add(7 * time.Minute); ; m.run(100 * time.Millisecond) {
		up, wanted := m.placed(services)
		lost = max(lost, wanted-up)
		if up == wanted {
			break
		}
		if m.now >= end {
			t.Fatalf("only %d of %d replicas are placed", up, wanted)
		}
		for ref, attempt := range m.attempts(arrays) {
			if known[ref] < attempt {
				t.Fatalf("%s was placed while %d of %d replicas are", ref, up, wanted)
			}
		}
	}
	if lost == 0 {
		t.Error("no replica had to wait: the day shows nothing")
	}
	m.endOfDay()
}

// attempts lists the newest attempts of jobs' tasks.
func (m *scenario) attempts(jobs []ids.JobID) map[ids.TaskRef]ids.Attempt {
	out := map[ids.TaskRef]ids.Attempt{}
	for _, id := range jobs {
		for i := range m.core.jobs[id].tasks {
			out[ids.TaskRef{Job: id, Index: i}] = m.core.jobs[id].tasks[i].attempt
		}
	}
	return out
}

// leasesOver tells whether what ran in a zone is surely gone, so that it waits for room.
func (m *scenario) leasesOver(zone ids.Zone) bool {
	for _, w := range m.core.registry.machineList {
		if w.Zone == zone && len(w.tasks) > 0 {
			return false
		}
	}
	return true
}

// A zone that flaps three times is held down longer each time, and no job comes back to it
// more than once.
func TestFlappingZoneIsHeldDownLonger(t *testing.T) {
	m := calmZones(t, 2, 4)
	m.fillZones()
	m.submitJob(zoneArray(300)) // waits for every place
	m.run(30 * s1)
	m.core.opt.MaxMachines = len(m.core.registry.machineList)
	var held []time.Duration
	for range 3 {
		m.cutZone("b", 45*s1)
		m.await("b", zonereturn.Dark, 30*s1)
		m.run(m.zones.cutUntil["b"].Sub(m.now))
		back := m.now
		m.await("b", zonereturn.Returning, 60*s1)
		held = append(held, m.now.Sub(back))
		m.await("b", zonereturn.Serving, 60*s1)
		m.run(30 * s1)
	}
	if held[1] < 2*held[0] || held[2] < 2*held[1] {
		t.Errorf("held down for %v", held)
	}
	if held[2] > m.opt.ZoneReturn.HoldDownMax+5*s1 {
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

// A zone returns while an array that it lost is half done elsewhere: what is done is not
// run again, and the rest goes on where it is.
func TestHalfDoneArrayGoesOnElsewhere(t *testing.T) {
	m := calmZones(t, 3, 4)
	m.runFactor = 3
	id := m.submitJob(zoneArray(60))
	m.run(30 * s1)
	m.cutZone("b", 60*s1)
	m.run(60 * s1)
	done := map[ids.TaskRef]bool{}
	for ref := range m.completed {
		done[ref] = true
	}
	starts := map[ids.TaskRef]int{}
	for _, p := range m.sent[id] {
		starts[p.t.ref]++
	}
	running := m.runningOutside(id, "b")
	if len(done) == 0 || len(done) == 60 || len(running) == 0 {
		t.Fatalf("%d tasks done, %d running elsewhere: not half done", len(done), len(running))
	}
	m.await("b", zonereturn.Serving, 3*time.Minute)
	for ref, a := range running {
		if now := m.core.jobs[id].tasks[ref.Index].assignment; now != nil && now.attempt != a {
			t.Errorf("%s was moved although it ran elsewhere", ref)
		}
	}
	m.endOfDay()
	for _, p := range m.sent[id] {
		starts[p.t.ref]--
	}
	for ref := range done {
		if starts[ref] != 0 {
			t.Errorf("%s was started again although it was done", ref)
		}
	}
}

// runningOutside lists the attempts of a job's tasks that run outside a zone.
func (m *scenario) runningOutside(id ids.JobID, zone ids.Zone) map[ids.TaskRef]ids.Attempt {
	out := map[ids.TaskRef]ids.Attempt{}
	for _, a := range m.core.jobs[id].active {
		if a.machine.Zone != zone && a.phase == wire.TaskRunning {
			out[a.ref()] = a.attempt
		}
	}
	return out
}

// A zone that goes dark again in the middle of a step begins its next return with the
// probe, after a longer hold-down.
func TestZoneGoesDarkDuringItsReturn(t *testing.T) {
	m := calmZones(t, 4, 4)
	m.fillZones()
	m.cutZone("b", 40*s1)
	m.await("b", zonereturn.Returning, 90*s1)
	m.jobs(6, array)
	for m.statusOf("b").Step < 1 {
		m.run(100 * time.Millisecond)
	}
	m.cutZone("b", 40*s1)
	m.await("b", zonereturn.Dark, 30*s1)
	m.await("b", zonereturn.Returning, 90*s1)
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
	m.await("b", zonereturn.Dark, 30*s1)
	m.await("b", zonereturn.Returning, 60*s1)
	m.await("b", zonereturn.Serving, 60*s1)
	m.run(60 * s1)
	if c := m.condition("b"); c != zonereturn.Serving {
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
				m.await("b", zonereturn.Dark, 30*s1)
				if step >= -1 {
					m.run(m.zones.cutUntil["b"].Sub(m.now) + time.Second) // in the hold-down
				}
				if step >= 0 {
					m.await("b", zonereturn.Returning, 60*s1)
					for m.condition("b") == zonereturn.Returning && m.statusOf("b").Step < step {
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
				if before.Condition == zonereturn.Dark && after.Condition == zonereturn.Serving || after.Step > before.Step+1 {
					t.Errorf("the successor allows more: before %+v\nafter %+v", before, after)
				}
				m.await("b", zonereturn.Serving, 3*time.Minute)
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
	m.await("b", zonereturn.Dark, 30*s1)
	m.run(500 * time.Millisecond)
	m.outage = m.in(90 * s1)
	m.jobs(4, array)
	for m.now < m.outage {
		m.run(s1)
		if got := m.core.zones.manager.Stats().Bounces; got != 0 {
			t.Fatalf("%d jobs came back although nothing could be recorded", got)
		}
	}
	if c := m.condition("b"); c != zonereturn.Returning && c != zonereturn.Serving {
		t.Fatalf("the zone is %s", c)
	}
	m.await("b", zonereturn.Serving, 90*s1)
	m.endOfDay()
}

// Reports from before the cut that come late are no sign of life.
func TestLateReportsDoNotBringAZoneBack(t *testing.T) {
	m := calmZones(t, 8, 4)
	m.fillZones()
	var late []*wire.Report
	for _, h := range m.sortedHosts() {
		if w := m.workers[h]; w.zone == "b" {
			rep := m.report(w)
			w.sequence++ // the newest of its messages has come before it
			late = append(late, rep)
		}
	}
	m.run(5 * s1)
	m.cutZone("b", 60*s1)
	m.await("b", zonereturn.Dark, 30*s1)
	for range 10 {
		for _, rep := range late {
			m.core.Report(m.now, rep, false)
		}
		m.run(s1)
		if c := m.condition("b"); c != zonereturn.Dark {
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
	m.await("b", zonereturn.Dark, 30*s1)
	if c := m.condition("a"); c != zonereturn.Dark {
		t.Fatalf("zone a is %s", c)
	}
	m.await("a", zonereturn.Serving, 2*time.Minute)
	m.await("b", zonereturn.Serving, 2*time.Minute)
	m.endOfDay()
}

// All zones but one are dark, and a team's guarantee does not fit what is left: services
// have the room, no limit is broken, and all goes on once zones return.
func TestAllZonesButOneAreDark(t *testing.T) {
	m := calmZones(t, 10, 3)
	services, _ := m.fillZones()
	m.cutZone("a", 90*s1)
	m.cutZone("b", 100*s1)
	m.await("a", zonereturn.Dark, 30*s1)
	m.await("b", zonereturn.Dark, 30*s1)
	m.run(60 * s1)
	if c := m.condition("c"); c != zonereturn.Serving {
		t.Errorf("the last zone is %s", c)
	}
	// By spread, half of the replicas may be in the zone that is left.
	if up, wanted := m.placed(services); up < wanted/2 {
		t.Errorf("%d of %d replicas are placed", up, wanted)
	}
	m.await("a", zonereturn.Serving, 2*time.Minute)
	m.await("b", zonereturn.Serving, 2*time.Minute)
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
		if c := m.condition(zone); c != zonereturn.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	m.zones.isolatedView = false
	m.await("a", zonereturn.Serving, 30*s1)
	if got := m.statusOf("a").Flaps; got != 0 {
		t.Errorf("%d flaps counted", got)
	}
	m.endOfDay()
}

// An operator holds a zone back: nothing new starts there, successors go on holding it, and
// it serves once released.
func TestOperatorsHoldSurvivesASuccession(t *testing.T) {
	m := calmZones(t, 12, 4)
	m.fillZones()
	number, ok := m.core.OverrideZone(m.now, "b", zonereturn.Override{Kind: zonereturn.OverrideHold, Reason: "power works"})
	if !ok {
		t.Fatal("not taken")
	}
	m.run(s1)
	if !m.core.ZoneOverrideRecorded("b", number) {
		t.Fatal("not recorded")
	}
	m.takeOver()
	before := m.startsIn("b")
	m.runFactor = 1
	m.jobs(8, array)
	m.run(60 * s1)
	if got := m.startsIn("b"); got != before {
		t.Errorf("%d tasks started in a zone that is held back", got-before)
	}
	if st := m.statusOf("b"); st.Override != zonereturn.OverrideHold {
		t.Errorf("after a succession: %+v", st)
	}
	m.core.OverrideZone(m.now, "b", zonereturn.Override{Kind: zonereturn.OverrideRelease})
	spec := zoneArray(2)
	spec.Zone = "b"
	m.submitJob(spec)
	m.run(30 * s1)
	if m.startsIn("b") == before {
		t.Error("nothing started after the release")
	}
	m.endOfDay()
}

// startsIn counts the tasks that were ever told to run in a zone.
func (m *scenario) startsIn(zone ids.Zone) int {
	n := 0
	for _, id := range m.all {
		for _, p := range m.sent[id] {
			if p.w.zone == zone {
				n++
			}
		}
	}
	return n
}

// No task is stopped to make room in a zone where nothing may start.
func TestNothingIsStoppedForAClosedZone(t *testing.T) {
	m := calmZones(t, 13, 3)
	m.runFactor = 30
	low := zoneArray(300)
	low.Priority = wire.BestEffort
	m.submitJob(low)
	m.run(60 * s1)
	m.core.opt.MaxMachines = len(m.core.registry.machineList)
	m.core.OverrideZone(m.now, "b", zonereturn.Override{Kind: zonereturn.OverrideHold})
	m.run(s1)
	high := zoneArray(4)
	high.Zone, high.Priority = "b", wire.High
	m.submitJob(high)
	m.run(20 * s1)
	if stopped := m.core.lostWork[stopPreempted].tasks; stopped > 0 {
		t.Errorf("%d tasks were stopped for a zone that is held back", stopped)
	}
	m.core.OverrideZone(m.now, "b", zonereturn.Override{Kind: zonereturn.OverrideRelease})
	m.run(10 * s1)
	if m.core.lostWork[stopPreempted].tasks == 0 {
		t.Error("none was stopped after the release")
	}
	m.endOfDay()
}

// Where operators want the spread restored, replicas move back one at a time and within the
// service's budget, and arrays stay where they are.
func TestSpreadOfServicesIsRestored(t *testing.T) {
	m := calmZones(t, 14, 4)
	m.opt.ZoneReturn.Restore = zonereturn.RestorePolicy{MovesPerMinute: 6, After: 20 * s1, Budget: 2}
	m.takeOver()
	m.old = nil
	m.fillZones()
	service := zoneArray(6)
	service.Service = true
	id := m.submitJob(service)
	m.run(20 * s1)
	before := servicePlacement(m.core.jobs[id]).Running["b"]
	m.cutZone("b", 40*s1)
	m.await("b", zonereturn.Dark, 30*s1)
	m.await("b", zonereturn.Serving, 2*time.Minute)
	down, moved := 0, 0
	for end := m.now.Add(2 * time.Minute); m.now < end; m.run(100 * time.Millisecond) {
		down = max(down, len(m.core.jobs[id].tasks)-len(m.core.jobs[id].active))
		for _, incident := range m.core.zones.manager.Incidents("b") {
			moved = incident.Restored
		}
	}
	if before == 0 || moved == 0 {
		t.Fatalf("%d replicas in the zone before, %d moved back: the day shows nothing", before, moved)
	}
	if down > 1 {
		t.Errorf("%d replicas were down at once", down)
	}
	if entry := m.statusOf("b").Incidents; entry[len(entry)-1].Restored > 2*4 {
		t.Errorf("%+v: more than two replicas of a service", entry[len(entry)-1])
	}
	if stopped := m.core.lostWork[stopDrained].tasks; stopped > 0 {
		t.Errorf("%d tasks of arrays were moved", stopped)
	}
	m.endOfDay()
}
