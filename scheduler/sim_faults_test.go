package scheduler

import (
	"fmt"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// randomFaults are what may happen at any moment, whatever else goes on.
var randomFaults = []struct {
	name  string
	weigh int
	bring func(s *sim, all []ids.JobID, d func(from, to int) monotonic.Instant)
}{
	{"machine cut", 4, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.partitionedUntil = d(5, 65)
		}
	}},
	{"machine unhealthy, or healthy again", 3, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.unhealthy = !w.unhealthy
		}
	}},
	{"machine dies", 3, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil && w.incarnation > 0 {
			w.dead = true
		}
	}},
	{"machine unreachable, though it reports", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.commandsLostUntil = d(5, 95)
		}
	}},
	{"machine cannot report, though it is reached", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.heartbeatsLostUntil = d(5, 95)
		}
	}},
	{"machine hangs", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.hungUntil = d(5, 65)
		}
	}},
	{"machine back at once", 2, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil && w.incarnation > 0 && !w.dead {
			w.tasks, w.sequence, w.leaseRenewedAt = nil, 0, s.now
			w.incarnation++
		}
	}},
	{"another leader", 4, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) { s.failOver() }},
	{"leaders in a row", 1, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		for i := range 3 {
			s.after(time.Duration(i)*700*time.Millisecond, s.failOver)
		}
	}},
	{"no state service", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.storeOutageUntil = d(5, 65) }},
	{"leader refused alone", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.leaderRefusedUntil = d(1, 20) }},
	{"leader goes on unseen", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = ids.Zone([]string{"a", "b", "c"}[s.rng.IntN(3)]), d(5, 60)
	}},
	{"leader is paused", 3, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.pause(time.Duration(500+s.rng.IntN(11_500)) * time.Millisecond)
	}},
	{"no controller", 1, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		s.controllersDownUntil = d(1, 40)
		s.previousCore = nil
		s.after(s.controllersDownUntil.Sub(s.now), s.failOver)
	}},
	{"no cloud", 1, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.cloudOutageUntil = d(5, 40) }},
	{"slow links", 1, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.extraLatency = time.Duration(s.rng.IntN(800)) * time.Millisecond
		s.after(20*time.Second, func() { s.extraLatency = 0 })
	}},
	{"jobs that run are cancelled, and their machines hang", 2, func(s *sim, all []ids.JobID, d func(int, int) monotonic.Instant) {
		s.cancelRunning(all, 2, d(5, 60))
	}},
}

// injectFault brings one of them about.
func (s *sim) injectFault(all []ids.JobID) {
	sum := 0
	for _, t := range randomFaults {
		sum += t.weigh
	}
	n := s.rng.IntN(sum)
	for _, t := range randomFaults {
		if n -= t.weigh; n < 0 {
			t.bring(s, all, func(from, to int) monotonic.Instant {
				return s.now.Add(time.Duration(from+s.rng.IntN(to-from)) * time.Second)
			})
			return
		}
	}
}

// cancelRunning has users call off some jobs that run, and hangs their machines until
// a time: before, while or after they are told.
func (s *sim) cancelRunning(all []ids.JobID, count int, hang monotonic.Instant) {
	for _, id := range all {
		if count == 0 {
			return
		}
		if s.cancelled[id] {
			continue
		}
		hosts := map[ids.MachineID]bool{}
		for _, p := range s.placements[id] {
			if p.task.state == wire.TaskRunning && s.holdsTask(p.worker, p.task) && !s.leaseExpired(p.worker) {
				hosts[p.worker.id] = true
			}
		}
		if len(hosts) == 0 {
			continue
		}
		count--
		s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() { s.cancel(id) })
		s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() {
			for h := range hosts {
				if w := s.workers[h]; w != nil {
					w.hungUntil = max(w.hungUntil, hang)
				}
			}
		})
	}
}

func (s *sim) randomSpec() *wire.JobSpec {
	teams := []ids.Team{"red", "blue", "gold"}
	sp := &wire.JobSpec{Class: "c", Team: teams[s.rng.IntN(3)], Priority: wire.Priority(s.rng.IntN(4)), Tasks: 1 + s.rng.IntN(9),
		CPUs: float64(1 + s.rng.IntN(4)), MemoryGB: 2, Image: "i", ImageGB: 1, Spot: s.rng.IntN(2) == 0, EstimateS: 10}
	switch s.rng.IntN(5) {
	case 0:
		sp.Service, sp.Tasks, sp.Spread = true, 1+s.rng.IntN(3), true
	case 1:
		sp.Gang, sp.Tasks = true, 1+s.rng.IntN(4)
	case 2:
		sp.OneZone = true
	case 3:
		sp.Zone = "b"
	}
	return sp
}

// waitingSpec is a random job that may wait for some that were submitted before,
// over or not.
func (s *sim) waitingSpec(all []ids.JobID) *wire.JobSpec {
	sp := s.randomSpec()
	for range min(len(all), s.rng.IntN(4)) {
		id := all[len(all)-1-s.rng.IntN(min(len(all), 8))]
		if !s.specs[id].Service && !slices.Contains(sp.DependsOn, id) {
			sp.DependsOn = append(sp.DependsOn, id)
		}
	}
	return sp
}

// playRandomDay submits random jobs over a number of rounds, with troubles in each,
// and stops as soon as a rule is broken.
func (s *sim) playRandomDay(rounds int) []ids.JobID {
	s.t.Helper()
	var all []ids.JobID
	for range rounds {
		for range s.rng.IntN(3) {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
			s.submit(id, s.waitingSpec(all))
			s.failing[id] = s.chance(0.05)
			all = append(all, id)
		}
		if len(all) > 0 && s.rng.IntN(5) == 0 {
			s.cancel(all[s.rng.IntN(len(all))])
		}
		for range 1 + s.rng.IntN(2) {
			s.injectFault(all)
		}
		s.run(time.Duration(2+s.rng.IntN(12)) * time.Second)
		if len(s.violations) > 0 {
			s.t.Fatalf("rules broken: %v", s.violations)
		}
	}
	return all
}
