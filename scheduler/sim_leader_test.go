package scheduler

import (
	"sort"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// takeOver puts a new leader in place. What the old one sent is still under
// way.
func (s *sim) takeOver() {
	before := s.leader != 0
	s.old = nil
	if before && s.chance(0.4) {
		s.old, s.oldTerm, s.oldUntil = s.core, s.term, s.now.Add(simIsolatedReplicas)
	}
	s.refusal, s.sure = 0, s.now.Add(simKey)
	s.commit(nil, []kv.Operation{{PutKey: records.LeaderKey, Value: "x"}})
	s.leader = s.epoch
	s.term++
	opt := s.opt
	opt.Revision, opt.PreviousLeader = s.leader, before
	opt.WallClockMS = int64(time.Duration(s.now) / time.Millisecond)
	s.core = New(opt, s.types)
	keys := make([]string, 0, len(s.store))
	for k := range s.store {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, admissions := range []bool{false, true} {
		for _, k := range keys {
			id, n, ok := records.ParseAdmissionKey(k)
			switch {
			case ok && admissions:
				var rec records.AdmissionSlice
				s.must(wire.Decode(s.store[k].raw, &rec))
				s.must(s.core.LoadSlice(id, n, &rec, s.store[k].revision))
			case strings.HasPrefix(k, records.ZonePrefix):
				if !admissions {
					s.loadZone(k)
				}
			case !ok && !admissions && k != records.LeaderKey:
				var rec records.Job
				s.must(wire.Decode(s.store[k].raw, &rec))
				s.core.LoadJob(ids.JobID(k[len(records.JobPrefix):]), &rec, s.store[k].revision)
			}
		}
	}
	s.core.Begin(s.now)
	for _, rep := range s.keptReports {
		s.after(time.Duration(s.rng.IntN(300))*time.Millisecond, func() { s.core.Heartbeat(s.now, rep) })
	}
	s.keptReports = nil
}

// superseded puts a new leader in place of one that goes on unseen: it lost the state
// service and its peers, but not its workers.
func (s *sim) deposed() {
	old, term := s.core, s.term
	s.takeOver()
	s.old, s.oldTerm, s.oldUntil = old, term, s.now.Add(simIsolatedReplicas)
}

// afterPause does something at once, or when a leader's process goes on.
func (s *sim) afterPause(core *Core, do func()) {
	if left := s.pauseLeft(core); left > 0 {
		s.after(left, func() { s.afterPause(core, do) })
		return
	}
	do()
}

// stepOf runs one leader's core and carries its decisions out.
func (s *sim) stepOf(core *Core, term int) {
	current := func(f func()) func() {
		return func() {
			s.afterPause(core, func() {
				if s.now >= s.controllersDown && (s.term == term || s.old == core) {
					f()
				}
			})
		}
	}
	reached := func(w *simWorker) bool { return s.now >= s.islandUntil || s.apart(w) == (s.old == core) }
	core.ObserveConnectivity(s.viewOf(core))
	e := core.Step(s.now)
	s.checkClusterState(core)
	s.digest.effects(e)
	for _, ch := range e.RecordChanges {
		bounded := core.opt.SplitRecords // what was decided before may come after the limits fell
		s.after(s.latency(), func() { s.change(core, term, ch, bounded) })
	}
	for _, h := range e.SendCommands {
		d, _, ok := core.TakeCommands(s.now, h)
		if !ok {
			continue
		}
		s.digest.add("command", d)
		answered := false
		var arrive func()
		arrive = func() {
			w := s.workers[h]
			if w != nil && s.now < w.hung {
				s.after(w.hung.Sub(s.now), arrive) // a command is read when it goes on
				return
			}
			if w == nil || w.dead || s.now < w.cut || s.now < w.unreachable || !reached(w) {
				return
			}
			rep := s.direct(w, d)
			if !answered && !s.chance(0.03) {
				s.after(2*time.Millisecond, func() {
					if !answered {
						answered = true
						current(func() { core.CommandsResult(s.now, h, rep) })()
					}
				})
			}
		}
		s.after(s.latency(), arrive)
		if s.chance(0.2) { // a late copy of what was carried out
			s.after(time.Duration(1+s.rng.IntN(50))*time.Second, arrive)
		}
		s.after(2*time.Second, func() {
			if !answered {
				answered = true
				current(func() { core.CommandsResult(s.now, h, nil) })()
			}
		})
	}
	for _, h := range e.RequestHeartbeats {
		s.after(s.latency(), current(func() {
			w := s.workers[h]
			if w != nil && !w.dead && s.now >= max(w.cut, w.unreachable, w.hung) && reached(w) {
				core.HeartbeatRequestResult(s.now, h, s.report(w))
			} else {
				core.HeartbeatRequestResult(s.now, h, nil)
			}
		}))
	}
	for _, id := range e.RereadJobs {
		s.after(s.latency(), current(func() { s.seen(id) }))
	}
	for _, r := range e.Provision {
		s.after(max(80*time.Millisecond, s.cloudAway.Sub(s.now)), func() {
			hosts := s.rent(r)
			current(func() { core.ProvisionResult(s.now, r, hosts, len(hosts) > 0) })()
		})
	}
	if hosts := e.Terminate; len(hosts) > 0 {
		s.after(max(s.latency(), s.cloudAway.Sub(s.now)), func() {
			for _, h := range hosts {
				delete(s.workers, h)
			}
			current(func() { core.MachinesTerminated(s.now, hosts) })()
		})
	}
}

// change commits one change of a leader, as the committer does: without an
// answer it is sent again until its outcome is clear.
func (s *sim) change(core *Core, term int, ch records.Change, bounded bool) {
	if s.now < max(s.outage, s.controllersDown) || s.now < s.refusal && s.term == term {
		s.after(500*time.Millisecond, func() { s.change(core, term, ch, bounded) })
		return
	}
	leader := s.leader
	if term != s.term {
		leader = 0 // its guard on the leader's key fails
	}
	if leader == 0 {
		return
	}
	if !s.fits(ch.Operations) {
		if bounded {
			s.refused++
		}
		s.after(0, func() {
			if s.term == term {
				core.CommitResult(s.now, records.CommitResult{Change: ch, Rejected: true})
			}
		})
		return
	}
	ok, failed := s.commit(ch.Preconditions, ch.Operations)
	if ok && len(ch.Operations) > 1 && strings.HasPrefix(ch.Operations[1].PutKey, records.AdmissionPrefix) {
		s.splits++
	}
	o := records.CommitResult{Change: ch, Applied: ok, Revision: s.epoch, FailedKeys: failed}
	wait := time.Duration(0)
	if s.chance(0.05) {
		wait = time.Duration(1+s.rng.IntN(4)) * time.Second
	}
	s.after(wait, func() {
		s.afterPause(core, func() {
			if s.term == term {
				core.CommitResult(s.now, o)
			}
		})
	})
}
