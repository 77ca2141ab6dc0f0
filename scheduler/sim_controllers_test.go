package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// simControllers stands in for the controllers and the election of their leader. Faults:
// failovers, a previous leader that stays active, a paused leader, and an outage of all
// controllers.
type simControllers struct {
	controllersDownUntil monotonic.Instant // no controller runs until then
	core                 *Core             // of the leader
	term                 int
	leaderRevision       ids.Revision // of the leader's key; 0: there was no leader
	leaseValidUntil      monotonic.Instant
	// previousCore is an earlier leader that lost the store and its peers, but not its
	// workers: it stays active until it is superseded or previousUntil; nil: there is none.
	previousCore  *Core
	previousTerm  int
	previousUntil monotonic.Instant
	// pausedCore is a leader whose process is paused until pausedUntil. Messages to it wait.
	pausedCore  *Core
	pausedUntil monotonic.Instant
}

// failOver puts a new leader in place. Messages of the previous one are still in flight, and
// some of the time it stays active: it lost the store and its peers, but not its workers.
func (s *sim) failOver() {
	before := s.leaderRevision != 0
	s.previousCore = nil
	if before && s.chance(0.4) {
		s.previousCore, s.previousTerm, s.previousUntil = s.core, s.term, s.now.Add(simIsolatedReplicas)
	}
	s.leaderRefusedUntil, s.leaseValidUntil = 0, s.now.Add(simLeaderLease)
	s.applyTxn(nil, []kv.Operation{{PutKey: records.LeaderKey, Value: "x"}})
	s.leaderRevision = s.storeRevision
	s.term++
	opt := s.opt
	opt.Revision, opt.PreviousLeader = s.leaderRevision, before
	opt.WallClockMS = int64(time.Duration(s.now) / time.Millisecond)
	s.core = New(opt, s.types)
	s.loadRecords()
	s.core.Begin(s.now)
	for _, rep := range s.delayedHeartbeats {
		s.after(time.Duration(s.rng.IntN(300))*time.Millisecond, func() { s.core.Heartbeat(s.now, rep) })
	}
	s.delayedHeartbeats = nil
}

// loadRecords reads the store into the new leader, in the order of keys: jobs and zones
// first, then the admission records that refer to the jobs.
func (s *sim) loadRecords() {
	keys := slices.Sorted(maps.Keys(s.store))
	for _, k := range keys {
		_, _, isSlice := records.ParseAdmissionKey(k)
		switch {
		case strings.HasPrefix(k, records.ZonePrefix):
			s.loadZoneRecord(k)
		case !isSlice && k != records.LeaderKey:
			var rec records.Job
			s.must(wire.Decode(s.store[k].value, &rec))
			s.core.LoadJob(ids.JobID(k[len(records.JobPrefix):]), &rec, s.store[k].revision)
		}
	}
	for _, k := range keys {
		if id, n, ok := records.ParseAdmissionKey(k); ok {
			var rec records.AdmissionSlice
			s.must(wire.Decode(s.store[k].value, &rec))
			s.must(s.core.LoadSlice(id, n, &rec, s.store[k].revision))
		}
	}
}

// failOverWithPreviousLeaderActive puts a new leader in place while the previous one stays
// active.
func (s *sim) failOverWithPreviousLeaderActive() {
	old, term := s.core, s.term
	s.failOver()
	s.previousCore, s.previousTerm, s.previousUntil = old, term, s.now.Add(simIsolatedReplicas)
}

// restrictPreviousLeader has the previous leader answer workers with replicas alone once its
// time for all others is over.
func (s *sim) restrictPreviousLeader() {
	s.previousCore.RestrictToReplicas(s.now > s.previousUntil.Add(simIsolated-simIsolatedReplicas))
}

// pause stops the leader's process for a time while its clocks run on. If its lease expires
// meanwhile there is another leader, and the paused one ends its term when it finds out.
func (s *sim) pause(d time.Duration) {
	paused := s.core
	s.pausedCore, s.pausedUntil = paused, s.now.Add(d)
	if d < simLeaderLease {
		return
	}
	s.after(simLeaderLease+time.Duration(s.rng.IntN(500))*time.Millisecond, func() {
		if s.core == paused {
			s.failOver()
			s.previousCore = nil
		}
	})
}

// pauseLeft is for how long a leader's process is still paused.
func (s *sim) pauseLeft(core *Core) time.Duration {
	if core != s.pausedCore {
		return 0
	}
	return max(0, s.pausedUntil.Sub(s.now))
}

// afterPause calls do at once, or as soon as the process of a leader is no longer paused.
func (s *sim) afterPause(core *Core, do func()) {
	if left := s.pauseLeft(core); left > 0 {
		s.after(left, func() { s.afterPause(core, do) })
		return
	}
	do()
}

// step runs the leader, and the previous one while it is active, and carries their decisions
// out.
func (s *sim) step() {
	if s.now < s.controllersDownUntil || s.pauseLeft(s.core) > 0 {
		return
	}
	if s.leaderReadsStore() {
		s.leaseValidUntil = s.now.Add(simLeaderLease)
	} else if s.now >= s.storeOutageUntil && s.now > s.leaseValidUntil {
		s.failOverWithPreviousLeaderActive() // the store refused it alone for too long
	}
	if s.now < s.leaseValidUntil.Add(simPreviousLeaderGrace) {
		s.stepLeader(simLeader{s, s.core, s.term})
	}
	if s.previousCore != nil && (s.previousCore.Superseded() || s.now > s.previousUntil) {
		s.previousCore = nil
	}
	if s.previousCore != nil {
		s.restrictPreviousLeader()
		s.stepLeader(simLeader{s, s.previousCore, s.previousTerm})
	} else {
		s.core.AllControllersFollow(s.now)
	}
}
