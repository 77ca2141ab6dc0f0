package scheduler

import (
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// randomFaults lists the faults that may be injected at any time, also while others last. A fault is
// drawn in proportion to its weight. inject gets the jobs submitted so far, and until, which draws the
// end of the fault within a range of seconds from now.
var randomFaults = []struct {
	name   string
	weight int
	inject func(s *sim, jobs []ids.JobID, until func(from, to int) monotonic.Instant)
}{
	{"machine partitioned", 4, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.partitionedUntil = until(5, 65)
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
	{"commands to a machine are lost, heartbeats are not", 3, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.commandsLostUntil = until(5, 95)
		}
	}},
	{"heartbeats of a machine are lost, commands are not", 3, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.heartbeatsLostUntil = until(5, 95)
		}
	}},
	{"machine hangs", 3, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		if w := s.randomWorker(); w != nil {
			w.hungUntil = until(5, 65)
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
	{"store outage", 2, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) { s.storeOutageUntil = until(5, 65) }},
	{"store outage for the leader alone", 2, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		s.leaderRefusedUntil = until(1, 20)
	}},
	{"previous leader remains active in a zone", 2, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = ids.Zone([]string{"a", "b", "c"}[s.rng.IntN(3)]), until(5, 60)
	}},
	{"leader is paused", 3, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.pause(time.Duration(500+s.rng.IntN(11_500)) * time.Millisecond)
	}},
	{"outage of all controllers", 1, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) {
		s.controllersDownUntil = until(1, 40)
		s.previousCore = nil
		s.after(s.controllersDownUntil.Sub(s.now), s.failOver)
	}},
	{"cloud outage", 1, func(s *sim, _ []ids.JobID, until func(int, int) monotonic.Instant) { s.cloudOutageUntil = until(5, 40) }},
	{"slow links", 1, func(s *sim, _ []ids.JobID, _ func(int, int) monotonic.Instant) {
		s.slowLinkLatency = time.Duration(s.rng.IntN(800)) * time.Millisecond
		s.after(20*time.Second, func() { s.slowLinkLatency = 0 })
	}},
	{"running jobs are cancelled and their machines hang", 2, func(s *sim, jobs []ids.JobID, until func(int, int) monotonic.Instant) {
		s.cancelRunning(jobs, 2, until(5, 60))
	}},
}

// injectFault injects one of randomFaults.
func (s *sim) injectFault(jobs []ids.JobID) {
	totalWeight := 0
	for _, fault := range randomFaults {
		totalWeight += fault.weight
	}
	n := s.rng.IntN(totalWeight)
	for _, fault := range randomFaults {
		if n -= fault.weight; n < 0 {
			fault.inject(s, jobs, func(from, to int) monotonic.Instant {
				return s.now.Add(time.Duration(from+s.rng.IntN(to-from)) * time.Second)
			})
			return
		}
	}
}

// cancelRunning has users cancel some running jobs, and hangs their machines until a time. The machines
// hang before, while or after the cancellation is acknowledged.
func (s *sim) cancelRunning(jobs []ids.JobID, count int, hungUntil monotonic.Instant) {
	for _, id := range jobs {
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
		s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() { s.hangWorkers(running, hungUntil) })
	}
}

// hangWorkers hangs the workers of placements until a time, unless they have been terminated.
func (s *sim) hangWorkers(placements []simPlacement, until monotonic.Instant) {
	for _, p := range placements {
		if w := s.workers[p.worker.id]; w != nil {
			w.hungUntil = max(w.hungUntil, until)
		}
	}
}

// randomSpec returns the specification of a random job.
func (s *sim) randomSpec() *wire.JobSpec {
	teams := []ids.Team{"red", "blue", "gold"}
	spec := &wire.JobSpec{Class: "c", Team: teams[s.rng.IntN(3)], Priority: wire.Priority(s.rng.IntN(4)), Tasks: 1 + s.rng.IntN(9),
		CPUs: float64(1 + s.rng.IntN(4)), MemoryGB: 2, Image: "i", ImageGB: 1, Spot: s.rng.IntN(2) == 0, EstimateS: 10}
	switch s.rng.IntN(5) {
	case 0:
		spec.Service, spec.Tasks, spec.Spread = true, 1+s.rng.IntN(3), true
	case 1:
		spec.Gang, spec.Tasks = true, 1+s.rng.IntN(4)
	case 2:
		spec.OneZone = true
	case 3:
		spec.Zone = "b"
	}
	return spec
}

// randomSpecWithDependencies returns the specification of a random job that may depend on some of the
// jobs submitted before, terminal or not.
func (s *sim) randomSpecWithDependencies(jobs []ids.JobID) *wire.JobSpec {
	spec := s.randomSpec()
	for range min(len(jobs), s.rng.IntN(4)) {
		id := jobs[len(jobs)-1-s.rng.IntN(min(len(jobs), 8))]
		if !s.specs[id].Service && !slices.Contains(spec.DependsOn, id) {
			spec.DependsOn = append(spec.DependsOn, id)
		}
	}
	return spec
}

// simulateRandomFaults submits random jobs and injects faults in a number of rounds. The test ends as
// soon as a rule is violated. It returns the jobs.
func (s *sim) simulateRandomFaults(rounds int) []ids.JobID {
	s.t.Helper()
	var jobs []ids.JobID
	for range rounds {
		for range s.rng.IntN(3) {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(jobs)))
			s.submit(id, s.randomSpecWithDependencies(jobs))
			s.failing[id] = s.chance(0.05)
			jobs = append(jobs, id)
		}
		if len(jobs) > 0 && s.rng.IntN(5) == 0 {
			s.cancel(jobs[s.rng.IntN(len(jobs))])
		}
		for range 1 + s.rng.IntN(2) {
			s.injectFault(jobs)
		}
		s.run(time.Duration(2+s.rng.IntN(12)) * time.Second)
		s.requireNoViolations()
	}
	return jobs
}
