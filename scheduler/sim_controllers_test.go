package scheduler

import (
	"fmt"
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

// simControllers simulates the controllers and their leader election. Faults: failovers, a previous
// leader that remains active, a paused leader, and an outage of all controllers.
type simControllers struct {
	controllersDownUntil monotonic.Instant // no controller runs until then
	core                 *Core             // core of the leader
	term                 int
	leaderRevision       ids.Revision // revision of the leader's key; 0 means that there was no leader
	leaseValidUntil      monotonic.Instant
	// previousCore is the core of a previous leader that reaches its workers, but neither the
	// store nor its peers. It remains active until it is superseded or until previousUntil. nil
	// means that there is none.
	previousCore  *Core
	previousTerm  int
	previousUntil monotonic.Instant
	// leaderName and previousName are the names of the controllers of core and previousCore. supersededAt
	// holds the time at which each controller that has led was last superseded.
	leaderName, previousName ids.ControllerName
	supersededAt             map[ids.ControllerName]monotonic.Instant
	// unconfirmedUntil is the time until which the controller of a previous leader confirms nothing, even if its
	// grace period has ended.
	unconfirmedUntil monotonic.Instant
	// outlivingLeaders makes an isolated previous leader outlive the terms of later leaders.
	outlivingLeaders bool
	// pausedCore is the core of a leader whose process is paused until pausedUntil. Messages to it
	// wait.
	pausedCore  *Core
	pausedUntil monotonic.Instant
}

// failOver starts the term of a new leader. Messages of the previous leader are still in flight. With
// faults, the previous leader sometimes remains active: it reaches its workers, but neither the store
// nor its peers. One that is active already may outlive the term of the next leader.
func (s *sim) failOver() {
	switch {
	case s.outlivingLeaders && s.previousCore != nil && s.now < s.previousUntil:
		// The leader's process has ended, and the isolated one before it acts on.
	case s.leaderRevision != 0 && s.chance(0.4):
		s.isolateLeader()
	default:
		s.previousCore = nil
	}
	s.startTerm()
}

// startTerm starts the term of a new leader.
func (s *sim) startTerm() {
	hadLeader := s.leaderRevision != 0
	if hadLeader {
		s.supersededAt[s.leaderName] = s.now
	}
	s.leaderName = s.nextLeaderName()
	s.leaderRefusedUntil, s.leaseValidUntil = 0, s.now.Add(simLeaderLease)
	s.applyTxn(nil, []kv.Operation{{PutKey: records.LeaderKey, Value: "x"}})
	s.leaderRevision = s.storeRevision
	s.term++
	opt := s.opt
	opt.Revision, opt.PreviousLeader = s.leaderRevision, hadLeader
	opt.WallClockMS = s.wallMS()
	opt.PreviousLeaders, opt.AllPreviousLeadersKnown = s.previousLeaders(), true
	s.core = New(opt, s.catalogOfNewLeader())
	s.loadRecords()
	s.core.Begin(s.now)
	for _, heartbeat := range s.delayedHeartbeats {
		s.after(time.Duration(s.rng.IntN(300))*time.Millisecond, func() { s.core.Heartbeat(s.now, heartbeat) })
	}
	s.delayedHeartbeats = nil
}

// isolateLeader makes the leader a previous leader that acts on without the store and its peers.
func (s *sim) isolateLeader() {
	s.previousCore, s.previousTerm, s.previousUntil, s.previousName = s.core, s.term, s.now.Add(simGraceWithReplicas), s.leaderName
}

// nextLeaderName returns the name of a controller that is not isolated, which is not always the same one.
func (s *sim) nextLeaderName() ids.ControllerName {
	for i := range 2 {
		name := ids.ControllerName(fmt.Sprintf("controller-%d", (s.term+i)%3))
		if s.previousCore == nil || name != s.previousName {
			return name
		}
	}
	return "controller-2"
}

// previousLeaders returns for how long each other controller that has led is superseded.
func (s *sim) previousLeaders() map[ids.ControllerName]time.Duration {
	leaders := map[ids.ControllerName]time.Duration{}
	for name, at := range s.supersededAt {
		if name != s.leaderName {
			leaders[name] = s.now.Sub(at)
		}
	}
	return leaders
}

// wallMS returns the wall-clock time in Unix milliseconds.
func (s *sim) wallMS() int64 { return int64(time.Duration(s.now) / time.Millisecond) }

// loadRecords loads the records of the store into the new leader: first those of jobs and zones, then
// the admission records, which refer to jobs. Both are in the order of their keys.
func (s *sim) loadRecords() {
	keys := slices.Sorted(maps.Keys(s.store))
	for _, k := range keys {
		_, _, isSlice := records.ParseAdmissionKey(k)
		switch {
		case strings.HasPrefix(k, records.ZonePrefix):
			s.loadZoneRecord(k)
		case strings.HasPrefix(k, records.TerminationPrefix):
			var rec records.Termination
			s.must(wire.Decode(s.store[k].value, &rec))
			s.core.LoadTermination(&rec, s.store[k].revision)
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

// failOverWithPreviousLeaderActive starts the term of a new leader while the previous leader remains
// active.
func (s *sim) failOverWithPreviousLeaderActive() {
	s.isolateLeader()
	s.startTerm()
}

// restrictPreviousLeader has the previous leader answer only workers with replicas once its grace
// period for all others has ended.
func (s *sim) restrictPreviousLeader() {
	s.previousCore.RestrictToReplicas(s.now > s.previousUntil.Add(simGraceWithoutReplicas-simGraceWithReplicas))
}

// pause stops the leader's process for a duration while its clock continues. If its lease expires in
// the meantime, another leader is elected. The paused one ends its term when it detects that.
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

// remainingPause returns how long a leader's process is still paused.
func (s *sim) remainingPause(core *Core) time.Duration {
	if core != s.pausedCore {
		return 0
	}
	return max(0, s.pausedUntil.Sub(s.now))
}

// afterPause calls call immediately, or once the process of a leader is no longer paused.
func (s *sim) afterPause(core *Core, call func()) {
	if remaining := s.remainingPause(core); remaining > 0 {
		s.after(remaining, func() { s.afterPause(core, call) })
		return
	}
	call()
}

// step runs one step of the leader, and of the previous leader while it is active, and executes their
// decisions.
func (s *sim) step() {
	if s.now < s.controllersDownUntil || s.remainingPause(s.core) > 0 {
		return
	}
	if s.leaderReadsStore() {
		s.leaseValidUntil = s.now.Add(simLeaderLease)
	} else if s.now >= s.storeOutageUntil && s.now > s.leaseValidUntil {
		s.failOverWithPreviousLeaderActive() // the leader lost its lease because the store refused it alone
	}
	if s.now < s.leaseValidUntil.Add(simLeaderGrace) {
		s.stepLeader(simLeader{s, s.core, s.term})
	}
	if s.previousCore != nil && (s.previousCore.Superseded() || s.now > s.previousUntil) {
		s.previousCore = nil
	}
	if s.previousCore != nil {
		s.restrictPreviousLeader()
		s.stepLeader(simLeader{s, s.previousCore, s.previousTerm})
	}
	s.confirmFollowers()
}

// confirmFollowers tells the leader that all controllers but the isolated one, if there is one, follow it.
func (s *sim) confirmFollowers() {
	if s.previousCore == nil && s.now >= s.unconfirmedUntil {
		s.core.AllControllersFollow(s.now)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.supersededAt)) {
		if name != s.previousName {
			s.core.ControllerFollows(s.now, name)
		}
	}
}
