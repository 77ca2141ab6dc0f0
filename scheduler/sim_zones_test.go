package scheduler

import (
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneChecks is what the simulation knows of zones by itself, beside the core.
type zoneChecks struct {
	cutUntil map[ids.Zone]monotonic.Instant
	// limits are the ramp's limits of the last seconds, by zone: a step that was taken back
	// leaves what was under way.
	limits map[ids.Zone][]rampLimit
	// bounces are the most that any leader counted for a job in one incident, displaced
	// and denied the sums over all leaders.
	bounces, displaced, bounceCount, forced int
	seen                                    map[*Core]zonerecovery.Stats
	// isolatedView has the leader see neither the state service nor its peers.
	isolatedView bool
	// placedInReturn tells of each placement whether its zone returned at that time.
	placedInReturn map[*assignment]bool
	// conditions are those that each zone went through.
	conditions map[ids.Zone][]zonerecovery.Condition
}

// rampLimit is what a zone's ramp allowed at a time.
type rampLimit struct {
	at    monotonic.Instant
	limit int
}

// rampMemory is how long a task may take from its placement until it runs, with a margin.
const rampMemory = 15 * time.Second

// simZonePolicy is the default policy for a handful of machines in a zone.
func simZonePolicy() *zonerecovery.Policy {
	return &zonerecovery.Policy{SuspectShare: 0.5, OutageShare: 0.8, OutageAfter: 4 * time.Second, ClearSuspicionAfter: 2 * time.Second, MinMachines: 2,
		ReachableShare: 0.25, RetryAfter: 3 * time.Minute, HoldDown: 4 * time.Second, MaxHoldDown: 30 * time.Second, HoldDownFactor: 3, QuietPeriod: 10 * time.Minute,
		ProbeTasks: 2, MaxProbeRun: 3 * time.Minute, Steps: []float64{0.1, 0.3, 0.6}, MinStepTime: 3 * time.Second, MinStepSuccesses: 3,
		FailureTolerance: 0.3, SlowStartFactor: 4, StartsPerMachine: 1, FetchesPerMachine: 0.5,
		MaxRecovery: 40 * time.Second, FailbackBudget: 1, ForceFailbackAfter: time.Minute}
}

// watchZones turns the subsystem on from the next leader on, which is put in place.
func (s *sim) watchZones() {
	s.opt.ZoneRecovery = simZonePolicy()
	s.zones.cutUntil, s.zones.limits = map[ids.Zone]monotonic.Instant{}, map[ids.Zone][]rampLimit{}
	s.zones.seen = map[*Core]zonerecovery.Stats{}
	s.zones.conditions = map[ids.Zone][]zonerecovery.Condition{}
	s.zones.placedInReturn = map[*assignment]bool{}
	s.takeOver()
	s.old = nil
}

// loadZone hands a zone's record to the leader that takes over.
func (s *sim) loadZone(key string) {
	var rec zonerecovery.Record
	s.must(wire.Decode(s.store[key].raw, &rec))
	s.core.LoadZone(s.now, ids.Zone(strings.TrimPrefix(key, records.ZonePrefix)), &rec, s.store[key].revision)
}

// viewOf is what a leader knows of its own place.
func (s *sim) viewOf(core *Core) zonerecovery.Connectivity {
	if core == s.old || s.zones.isolatedView {
		return zonerecovery.Connectivity{Peers: 2}
	}
	return zonerecovery.Connectivity{LeaseConfirmed: s.now < s.sure && s.now >= s.outage, PeersReachable: 2, Peers: 2}
}

// cutZone cuts all machines of a zone off for a time, those that are rented there too.
func (s *sim) cutZone(zone ids.Zone, d time.Duration) {
	s.zones.cutUntil[zone] = s.now.Add(d)
	for _, w := range s.workers {
		if w.zone == zone {
			w.cut = max(w.cut, s.now.Add(d))
		}
	}
}

// condition is what the present leader takes a zone for.
func (s *sim) condition(zone ids.Zone) zonerecovery.Condition {
	return s.core.zones.manager.Condition(zone)
}

// checkZones sees on the machines that the return of a zone stays under its ramp, and takes
// in what the leaders counted.
func (s *sim) checkZones() {
	if s.opt.ZoneRecovery == nil || s.core.zones == nil {
		return
	}
	s.core.now = max(s.core.now, s.now)
	for _, st := range s.core.zones.manager.Status(s.core.moment()) {
		s.noteCondition(st.Zone, st.Condition)
		s.checkRamp(st)
	}
	stats := s.core.zones.manager.Stats()
	before := s.zones.seen[s.core]
	s.zones.seen[s.core] = stats
	s.zones.displaced += stats.DisplacedTasks - before.DisplacedTasks
	s.zones.bounceCount += stats.Failbacks - before.Failbacks
	s.zones.forced += stats.ForcedFailbacks - before.ForcedFailbacks
	s.zones.bounces = max(s.zones.bounces, stats.MaxFailbacksPerJob)
}

// noteCondition keeps the order of conditions that a zone went through.
func (s *sim) noteCondition(zone ids.Zone, c zonerecovery.Condition) {
	if was := s.zones.conditions[zone]; len(was) == 0 || was[len(was)-1] != c {
		s.zones.conditions[zone] = append(was, c)
	}
}

// sinceChange is for how long a zone has had its condition, less what one round may take.
func (s *sim) sinceChange(st zonerecovery.Status) time.Duration {
	return s.core.moment().Wall.Sub(time.UnixMilli(st.SinceMS)) - 200*time.Millisecond
}

// checkRamp counts the starts under way that were placed during a return, by the tasks on
// the machines alone, and compares them with what the ramp allowed lately.
func (s *sim) checkRamp(st zonerecovery.Status) {
	if st.Condition != zonerecovery.Recovering {
		delete(s.zones.limits, st.Zone)
	} else {
		limits := append(s.zones.limits[st.Zone], rampLimit{s.now, st.StartLimit})
		for len(limits) > 1 && s.now > limits[0].at.Add(rampMemory) {
			limits = limits[1:]
		}
		s.zones.limits[st.Zone] = limits
	}
	most, underWay := 0, 0
	for _, l := range s.zones.limits[st.Zone] {
		most = max(most, l.limit)
	}
	for _, m := range s.core.registry.machineList {
		if m.Zone != st.Zone {
			continue
		}
		for _, a := range m.taskList {
			inReturn, known := s.zones.placedInReturn[a]
			if !known {
				inReturn = st.Condition == zonerecovery.Recovering && !a.inherited
				s.zones.placedInReturn[a] = inReturn
				closed := st.Condition == zonerecovery.Suspect || st.Condition == zonerecovery.Outage
				if closed && !a.inherited && !a.seen && a.phaseSince > s.core.moment().Now.Add(-s.sinceChange(st)) {
					s.violation("ramp: %s was placed in %s, which is %s", a.ref(), st.Zone, st.Condition)
				}
			}
			if inReturn && a.phase != wire.TaskRunning && !a.job.spec.Service && a.job.priority != wire.Critical {
				underWay++
			}
		}
	}
	if st.Condition == zonerecovery.Recovering && underWay > most {
		s.violation("ramp: %d starts under way in %s, at most %d allowed", underWay, st.Zone, most)
	}
}
