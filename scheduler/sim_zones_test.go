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

// simZones simulates zone outages and holds the state of the checks of zone recovery. Faults: a
// partition of all machines of a zone, and a leader that reaches neither the store nor its peers.
type simZones struct {
	partitionedUntil map[ids.Zone]monotonic.Instant
	// rampUpLimits holds, by zone, the limits of the ramp-up within rampUpLimitRetention. Starts
	// that an earlier limit allowed may still be in flight after the ramp-up takes a step back.
	rampUpLimits map[ids.Zone][]rampUpLimit
	// maxFailbacks is the maximum number of failbacks that any leader counted for a job in one
	// incident. displaced and failbacks are the sums of displaced tasks and of failbacks over all
	// leaders.
	maxFailbacks, displaced, failbacks int
	lastStats                          map[*Core]zonerecovery.Stats
	// leaderIsolated reports whether the leader reaches neither the store nor its peers.
	leaderIsolated bool
	// placedInRecovery reports for each assignment whether its zone was recovering when it was made.
	placedInRecovery map[*cluster.Assignment]bool
	// conditions holds, by zone, the conditions that the zone went through.
	conditions map[ids.Zone][]zonerecovery.Condition
}

// rampUpLimit is the limit of a zone's ramp-up at a time.
type rampUpLimit struct {
	at    monotonic.Instant
	limit int
}

// rampUpLimitRetention is how long a task may take from its placement until it runs, with a margin.
const rampUpLimitRetention = 15 * time.Second

// simZonePolicy returns the default policy for a zone with few machines.
func simZonePolicy() *zonerecovery.Policy {
	return &zonerecovery.Policy{SuspectFraction: 0.5, OutageFraction: 0.8, OutageAfter: 4 * time.Second, ClearSuspicionAfter: 2 * time.Second, MinMachines: 2,
		ReachableFraction: 0.25, RetryAfter: 3 * time.Minute, HoldDown: 4 * time.Second, MaxHoldDown: 30 * time.Second, HoldDownFactor: 3, QuietPeriod: 10 * time.Minute,
		ProbeTasks: 2, MaxProbeRun: 3 * time.Minute, Steps: []float64{0.1, 0.3, 0.6}, MinStepTime: 3 * time.Second, MinStepSuccesses: 3,
		FailureTolerance: 0.3, SlowStartFactor: 4, StartsPerMachine: 1, FetchesPerMachine: 0.5,
		MaxRecovery: 40 * time.Second, FailbackBudget: 1, ForceFailbackAfter: time.Minute}
}

// enableZoneRecovery enables zone recovery and fails over to a leader that performs it.
func (s *sim) enableZoneRecovery() {
	s.opt.ZoneRecovery = simZonePolicy()
	s.zones.partitionedUntil, s.zones.rampUpLimits = map[ids.Zone]monotonic.Instant{}, map[ids.Zone][]rampUpLimit{}
	s.zones.lastStats = map[*Core]zonerecovery.Stats{}
	s.zones.conditions = map[ids.Zone][]zonerecovery.Condition{}
	s.zones.placedInRecovery = map[*cluster.Assignment]bool{}
	s.failOver()
	s.previousCore = nil
}

// loadZoneRecord loads the record of a zone into the new leader.
func (s *sim) loadZoneRecord(key string) {
	var rec zonerecovery.Record
	s.must(wire.Decode(s.store[key].value, &rec))
	s.core.LoadZone(s.now, ids.Zone(strings.TrimPrefix(key, records.ZonePrefix)), &rec, s.store[key].revision)
}

// connectivityOf returns what a leader observes of its own connectivity.
func (s *sim) connectivityOf(core *Core) zonerecovery.Connectivity {
	if core == s.previousCore || s.zones.leaderIsolated {
		return zonerecovery.Connectivity{Peers: 2}
	}
	return zonerecovery.Connectivity{LeaseConfirmed: s.now < s.leaseValidUntil && s.now >= s.storeOutageUntil, PeersReachable: 2, Peers: 2}
}

// partitionZone partitions all machines of a zone for a duration, also those provisioned in the
// meantime.
func (s *sim) partitionZone(zone ids.Zone, d time.Duration) {
	s.zones.partitionedUntil[zone] = s.now.Add(d)
	for _, w := range s.workers {
		if w.zone == zone {
			w.partitionedUntil = max(w.partitionedUntil, s.now.Add(d))
		}
	}
}

// condition returns the condition of a zone according to the leader.
func (s *sim) condition(zone ids.Zone) zonerecovery.Condition {
	return s.core.zones.manager.Condition(zone)
}

// checkZones checks that the starts in recovering zones are within the limits of the ramp-up, and adds
// up the statistics of all leaders.
func (s *sim) checkZones() {
	if s.opt.ZoneRecovery == nil || s.core.zones == nil {
		return
	}
	s.core.clock.Set(max(s.core.clock.Now(), s.now))
	for _, status := range s.core.zones.manager.Status(s.core.zones.clockReading()) {
		s.recordCondition(status.Zone, status.Condition)
		s.checkRampUp(status)
	}
	stats := s.core.zones.manager.Stats()
	last := s.zones.lastStats[s.core]
	s.zones.lastStats[s.core] = stats
	s.zones.displaced += stats.DisplacedTasks - last.DisplacedTasks
	s.zones.failbacks += stats.Failbacks - last.Failbacks
	s.zones.maxFailbacks = max(s.zones.maxFailbacks, stats.MaxFailbacksPerJob)
}

// recordCondition records the condition of a zone if it has changed.
func (s *sim) recordCondition(zone ids.Zone, condition zonerecovery.Condition) {
	if conditions := s.zones.conditions[zone]; len(conditions) == 0 || conditions[len(conditions)-1] != condition {
		s.zones.conditions[zone] = append(conditions, condition)
	}
}

// timeInCondition returns how long a zone has been in its condition, less the maximum duration of a
// scheduling round.
func (s *sim) timeInCondition(status zonerecovery.Status) time.Duration {
	return s.core.zones.clockReading().Wall.Sub(time.UnixMilli(status.SinceMS)) - 200*time.Millisecond
}

// checkRampUp checks that the starts in flight which were placed during a recovery do not exceed the
// maximum recent limit of the ramp-up. It reads only the assignments on the machines.
func (s *sim) checkRampUp(status zonerecovery.Status) {
	s.recordRampUpLimit(status)
	maxAllowed := 0
	for _, l := range s.zones.rampUpLimits[status.Zone] {
		maxAllowed = max(maxAllowed, l.limit)
	}
	inFlight := 0
	for _, m := range s.core.cluster.Machines() {
		if m.Zone() != status.Zone {
			continue
		}
		for _, a := range m.Assignments() {
			if s.wasPlacedInRecovery(a, status) && countsAgainstRampUp(a) {
				inFlight++
			}
		}
	}
	if status.Condition == zonerecovery.Recovering && inFlight > maxAllowed {
		s.recordViolation("ramp-up: %d starts in flight in %s, at most %d allowed", inFlight, status.Zone, maxAllowed)
	}
}

// recordRampUpLimit records the current limit of a zone that is recovering. It drops limits older than
// rampUpLimitRetention, and all limits of a zone that is not recovering.
func (s *sim) recordRampUpLimit(status zonerecovery.Status) {
	if status.Condition != zonerecovery.Recovering {
		delete(s.zones.rampUpLimits, status.Zone)
		return
	}
	limits := append(s.zones.rampUpLimits[status.Zone], rampUpLimit{s.now, status.StartLimit})
	for len(limits) > 1 && s.now > limits[0].at.Add(rampUpLimitRetention) {
		limits = limits[1:]
	}
	s.zones.rampUpLimits[status.Zone] = limits
}

// wasPlacedInRecovery reports whether an assignment was made while its zone was recovering. The first
// call for an assignment determines that, and checks that the zone was open.
func (s *sim) wasPlacedInRecovery(a *cluster.Assignment, status zonerecovery.Status) bool {
	if inRecovery, known := s.zones.placedInRecovery[a]; known {
		return inRecovery
	}
	inRecovery := status.Condition == zonerecovery.Recovering && !a.Delivery.Inherited
	s.zones.placedInRecovery[a] = inRecovery
	s.checkZoneOpen(a, status)
	return inRecovery
}

// checkZoneOpen checks that a new assignment was not made after its zone closed.
func (s *sim) checkZoneOpen(a *cluster.Assignment, status zonerecovery.Status) {
	closed := status.Condition == zonerecovery.Suspect || status.Condition == zonerecovery.Outage
	isNew := !a.Delivery.Inherited && !a.Delivery.Reported
	if closed && isNew && a.Run.PhaseSince > s.core.zones.clockReading().Now.Add(-s.timeInCondition(status)) {
		s.recordViolation("ramp-up: %s was placed in %s, which is %s", a.Ref(), status.Zone, status.Condition)
	}
}

// countsAgainstRampUp reports whether an assignment is a start in flight that the ramp-up limits.
// Services and critical jobs are exempt.
func countsAgainstRampUp(a *cluster.Assignment) bool {
	return a.Run.Phase != wire.TaskRunning && !a.Job.Spec.Service && a.Job.Priority() != wire.Critical
}
