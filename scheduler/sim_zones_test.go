package scheduler

import (
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneChecks injects zone outages and checks zone recovery. Faults: a partition of all
// machines of a zone, and a leader that sees neither the store nor its peers.
type zoneChecks struct {
	partitionedUntil map[ids.Zone]monotonic.Instant
	// limits are those of the ramp-up in the last seconds, by zone: a step that was taken
	// back leaves starts in flight.
	limits map[ids.Zone][]rampLimit
	// maxFailbacks are the most that any leader counted for a job in one incident, displaced
	// and denied the sums over all leaders.
	maxFailbacks, displaced, failbacks int
	lastStats                          map[*Core]zonerecovery.Stats
	// isolatedView has the leader see neither the store nor its peers.
	isolatedView bool
	// placedInRecovery tells of each assignment whether its zone recovered when it was made.
	placedInRecovery map[*cluster.Assignment]bool
	// conditions are those that each zone went through.
	conditions map[ids.Zone][]zonerecovery.Condition
}

// rampLimit is the limit of a zone's ramp-up at a time.
type rampLimit struct {
	at    monotonic.Instant
	limit int
}

// rampMemory is how long a task may take from its placement until it runs, with a margin.
const rampMemory = 15 * time.Second

// simZonePolicy is the default policy for a handful of machines in a zone.
func simZonePolicy() *zonerecovery.Policy {
	return &zonerecovery.Policy{SuspectFraction: 0.5, OutageFraction: 0.8, OutageAfter: 4 * time.Second, ClearSuspicionAfter: 2 * time.Second, MinMachines: 2,
		ReachableFraction: 0.25, RetryAfter: 3 * time.Minute, HoldDown: 4 * time.Second, MaxHoldDown: 30 * time.Second, HoldDownFactor: 3, QuietPeriod: 10 * time.Minute,
		ProbeTasks: 2, MaxProbeRun: 3 * time.Minute, Steps: []float64{0.1, 0.3, 0.6}, MinStepTime: 3 * time.Second, MinStepSuccesses: 3,
		FailureTolerance: 0.3, SlowStartFactor: 4, StartsPerMachine: 1, FetchesPerMachine: 0.5,
		MaxRecovery: 40 * time.Second, FailbackBudget: 1, ForceFailbackAfter: time.Minute}
}

// enableZoneRecovery turns zone recovery on and fails over to a leader that knows it.
func (s *sim) enableZoneRecovery() {
	s.opt.ZoneRecovery = simZonePolicy()
	s.zones.partitionedUntil, s.zones.limits = map[ids.Zone]monotonic.Instant{}, map[ids.Zone][]rampLimit{}
	s.zones.lastStats = map[*Core]zonerecovery.Stats{}
	s.zones.conditions = map[ids.Zone][]zonerecovery.Condition{}
	s.zones.placedInRecovery = map[*cluster.Assignment]bool{}
	s.failOver()
	s.previousCore = nil
}

// loadZoneRecord hands a zone's record to the new leader.
func (s *sim) loadZoneRecord(key string) {
	var rec zonerecovery.Record
	s.must(wire.Decode(s.store[key].value, &rec))
	s.core.LoadZone(s.now, ids.Zone(strings.TrimPrefix(key, records.ZonePrefix)), &rec, s.store[key].revision)
}

// connectivityOf is what a leader knows of its own connectivity.
func (s *sim) connectivityOf(core *Core) zonerecovery.Connectivity {
	if core == s.previousCore || s.zones.isolatedView {
		return zonerecovery.Connectivity{Peers: 2}
	}
	return zonerecovery.Connectivity{LeaseConfirmed: s.now < s.leaseValidUntil && s.now >= s.storeOutageUntil, PeersReachable: 2, Peers: 2}
}

// partitionZone partitions all machines of a zone for a time, also those provisioned meanwhile.
func (s *sim) partitionZone(zone ids.Zone, d time.Duration) {
	s.zones.partitionedUntil[zone] = s.now.Add(d)
	for _, w := range s.workers {
		if w.zone == zone {
			w.partitionedUntil = max(w.partitionedUntil, s.now.Add(d))
		}
	}
}

// condition is the condition of a zone according to the leader.
func (s *sim) condition(zone ids.Zone) zonerecovery.Condition {
	return s.core.zones.manager.Condition(zone)
}

// checkZones checks on the machines that the recovery of a zone keeps the limits of its
// ramp-up, and sums up the statistics of all leaders.
func (s *sim) checkZones() {
	if s.opt.ZoneRecovery == nil || s.core.zones == nil {
		return
	}
	s.core.clock.Set(max(s.core.clock.Now(), s.now))
	for _, st := range s.core.zones.manager.Status(s.core.zones.clockReading()) {
		s.noteCondition(st.Zone, st.Condition)
		s.checkRamp(st)
	}
	stats := s.core.zones.manager.Stats()
	before := s.zones.lastStats[s.core]
	s.zones.lastStats[s.core] = stats
	s.zones.displaced += stats.DisplacedTasks - before.DisplacedTasks
	s.zones.failbacks += stats.Failbacks - before.Failbacks
	s.zones.maxFailbacks = max(s.zones.maxFailbacks, stats.MaxFailbacksPerJob)
}

// noteCondition records the conditions that a zone goes through.
func (s *sim) noteCondition(zone ids.Zone, c zonerecovery.Condition) {
	if was := s.zones.conditions[zone]; len(was) == 0 || was[len(was)-1] != c {
		s.zones.conditions[zone] = append(was, c)
	}
}

// sinceChange is for how long a zone has had its condition, less what one round may take.
func (s *sim) sinceChange(st zonerecovery.Status) time.Duration {
	return s.core.zones.clockReading().Wall.Sub(time.UnixMilli(st.SinceMS)) - 200*time.Millisecond
}

// checkRamp compares the starts in flight that were placed during a recovery with what the
// ramp-up allowed lately, by the assignments on the machines alone.
func (s *sim) checkRamp(st zonerecovery.Status) {
	s.rememberLimit(st)
	most := 0
	for _, l := range s.zones.limits[st.Zone] {
		most = max(most, l.limit)
	}
	inFlight := 0
	for _, m := range s.core.cluster.Machines() {
		if m.Zone() != st.Zone {
			continue
		}
		for _, a := range m.Assignments() {
			if s.wasPlacedInRecovery(a, st) && countsInRamp(a) {
				inFlight++
			}
		}
	}
	if st.Condition == zonerecovery.Recovering && inFlight > most {
		s.violation("ramp: %d starts in flight in %s, at most %d allowed", inFlight, st.Zone, most)
	}
}

// rememberLimit keeps the limits of the last seconds while a zone recovers.
func (s *sim) rememberLimit(st zonerecovery.Status) {
	if st.Condition != zonerecovery.Recovering {
		delete(s.zones.limits, st.Zone)
		return
	}
	limits := append(s.zones.limits[st.Zone], rampLimit{s.now, st.StartLimit})
	for len(limits) > 1 && s.now > limits[0].at.Add(rampMemory) {
		limits = limits[1:]
	}
	s.zones.limits[st.Zone] = limits
}

// wasPlacedInRecovery tells whether an assignment was made while its zone recovered. At the
// first sight of it that is decided, and that its zone was open is checked.
func (s *sim) wasPlacedInRecovery(a *cluster.Assignment, st zonerecovery.Status) bool {
	if inRecovery, known := s.zones.placedInRecovery[a]; known {
		return inRecovery
	}
	inRecovery := st.Condition == zonerecovery.Recovering && !a.Delivery.Inherited
	s.zones.placedInRecovery[a] = inRecovery
	s.checkZoneOpen(a, st)
	return inRecovery
}

// checkZoneOpen checks that a new assignment was not made after its zone was closed.
func (s *sim) checkZoneOpen(a *cluster.Assignment, st zonerecovery.Status) {
	closed := st.Condition == zonerecovery.Suspect || st.Condition == zonerecovery.Outage
	isNew := !a.Delivery.Inherited && !a.Delivery.Reported
	if closed && isNew && a.Run.PhaseSince > s.core.zones.clockReading().Now.Add(-s.sinceChange(st)) {
		s.violation("ramp: %s was placed in %s, which is %s", a.Ref(), st.Zone, st.Condition)
	}
}

// countsInRamp tells whether an assignment is a start in flight that the ramp-up limits:
// services and critical work are exempt.
func countsInRamp(a *cluster.Assignment) bool {
	return a.Run.Phase != wire.TaskRunning && !a.Job.Spec.Service && a.Job.Priority() != wire.Critical
}
