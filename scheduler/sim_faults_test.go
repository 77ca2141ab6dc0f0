package scheduler

import (
	"fmt"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// randomFaults are the faults that may be injected at any moment, whatever else goes on. Each
// has a weight; inject gets the jobs so far and draws the end of a fault in seconds from now.
var randomFaults = []struct {
	name   string
	weight int
	inject func(s *sim, all []ids.JobID, d func(from, to int) monotonic.Instant)
}{
	{"machine partitioned", 4, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
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
	{"commands to a machine are lost, heartbeats are not", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.commandsLostUntil = d(5, 95)
		}
	}},
	{"heartbeats of a machine are lost, commands are not", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.heartbeatsLostUntil = d(5, 95)
		}
	}},
	{"machine hangs", 3, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.hungUntil = d(5, 65)
		}
	}},
	{"agent restarts", 2, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil && w.incarnation > 0 && !w.dead {
			w.tasks, w.sequence, w.leaseRenewedAt = nil, 0, s.now
			w.incarnation++
		}
	}},
	{"failover", 4, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) { s.failOver() }},
	{"failovers in a row", 1, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		for i := range 3 {
			s.after(time.Duration(i)*700*time.Millisecond, s.failOver)
		}
	}},
	{"store outage", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.storeOutageUntil = d(5, 65) }},
	{"store outage for the leader alone", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.leaderRefusedUntil = d(1, 20) }},
	{"previous leader stays active in a zone", 2, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = ids.Zone([]string{"a", "b", "c"}[s.rng.IntN(3)]), d(5, 60)
	}},
	{"leader is paused", 3, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.pause(time.Duration(500+s.rng.IntN(11_500)) * time.Millisecond)
	}},
	{"outage of all controllers", 1, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) {
		s.controllersDownUntil = d(1, 40)
		s.previousCore = nil
		s.after(s.controllersDownUntil.Sub(s.now), s.failOver)
	}},
	{"cloud outage", 1, func(s *sim, _ []ids.JobID, d func(int, int) monotonic.Instant) { s.cloudOutageUntil = d(5, 40) }},
	{"slow links", 1, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.extraLatency = time.Duration(s.rng.IntN(800)) * time.Millisecond
		s.after(20*time.Second, func() { s.extraLatency = 0 })
	}},
	{"running jobs are cancelled and their machines hang", 2, func(s *sim, all []ids.JobID, d func(int, int) monotonic.Instant) {
		s.cancelRunning(all, 2, d(5, 60))
	}},
}

// injectFault injects one of them, by weight.
func (s *sim) injectFault(all []ids.JobID) {
	sum := 0
	for _, t := range randomFaults {
		sum += t.weight
	}
	n := s.rng.IntN(sum)
	for _, t := range randomFaults {
		if n -= t.weight; n < 0 {
			t.inject(s, all, func(from, to int) monotonic.Instant {
				return s.now.Add(time.Duration(from+s.rng.IntN(to-from)) * time.Second)
			})
			return
		}
	}
}

// cancelRunning has users cancel some jobs that run, and hangs their machines until a time:
// before, while or after the cancellation is acknowledged.
func (s *sim) cancelRunning(all []ids.JobID, count int, hang monotonic.Instant) {
	for _, id := range all {
		if count == 0 {
			return
		}
		if s.cancelled[id] {
			continue
		}
		running := s.running(id)
		if len(running) == 0 {
			continue
		}
		count--
		s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() { s.cancel(id) })
		s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() { s.hang(running, hang) })
	}
}

// hang hangs the workers of placements until a time, as far as they are still provisioned.
func (s *sim) hang(placements []simPlacement, until monotonic.Instant) {
	for _, p := range placements {
		if w := s.workers[p.worker.id]; w != nil {
			w.hungUntil = max(w.hungUntil, until)
		}
	}
}

// randomSpec is a random job.
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

// waitingSpec is a random job that may depend on some that were submitted before, terminal
// or not.
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

// playRandomDay submits random jobs over a number of rounds, injects faults in each, and
// stops as soon as a rule is broken.
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
		s.requireNoViolations()
	}
	return all
}
