package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// This file measures the effects of a zone outage and recovery with package zonerecovery off and
// on, in the simulation, scaled down to about 60 machines:
//
//	go test ./scheduler -run - -bench ZoneRecovery -benchtime 1x

// recoveryMeasurements holds the measurements of one simulation run.
type recoveryMeasurements struct {
	replicasRestored    time.Duration // from the partition until all replicas run again
	slowestStart        time.Duration // of a new query after the end of the partition
	utilizationRestored time.Duration // from the end of the partition until the zone is as full as the others
	peakFetches         int           // maximum in flight at a time in the zone
	fetches             int           // after the end of the partition
	maxMoves            int           // of a task
}

// recoveryRun is a simulation in which zone b has an outage and returns with empty caches, while
// arrays of twelve images wait and a new query is submitted every three seconds.
type recoveryRun struct {
	*scenario
	services, arrays []ids.JobID
	measured         recoveryMeasurements
}

const (
	recoveryPartitionDuration = 60 * time.Second
	recoveryObservation       = 90 * time.Second // after the end of the partition
	recoveryPollInterval      = 200 * time.Millisecond
)

// newRecoveryRun returns a simulation that is ready to run. start creates the first leader, with
// zone recovery on or off.
func newRecoveryRun(seed uint64, start func(*sim)) *recoveryRun {
	s := &scenario{sim: newSim(nil, seed)}
	s.faults, s.capacity = false, 10
	for i := range s.opt.Teams {
		s.opt.Teams[i].Limit.CPUs, s.opt.Teams[i].Nominal.CPUs = 2000, 1000
	}
	s.opt.MaxMachines, s.opt.IdleTimeout, s.opt.WriteRate = 70, 10*time.Minute, 400
	s.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
	start(s.sim)
	s.previousCore = nil
	s.imageCaches = &simImageCaches{images: map[*simWorker]map[ids.Image]bool{}, inFlight: map[ids.Zone]int{}, peak: map[ids.Zone]int{}}
	return &recoveryRun{scenario: s}
}

// measure runs the simulation and returns its measurements.
func (r *recoveryRun) measure(t testing.TB) recoveryMeasurements {
	t.Helper()
	for n := range 12 {
		spec := zoneArray(6)
		spec.Service, spec.Spread, spec.Image, spec.Priority = true, true, "query", wire.High
		r.services = append(r.services, r.submitJob(spec))
		work := zoneArray(60)
		work.Image, work.Priority = ids.Image(fmt.Sprintf("work-%d", n)), wire.BestEffort
		r.arrays = append(r.arrays, r.submitJob(work))
	}
	r.runTimeFactor = 4
	r.run(90 * second)
	r.measurePartition()
	r.clearCaches("b")
	r.measureRecovery()
	r.measured.peakFetches, r.measured.fetches = r.imageCaches.peak["b"], r.imageCaches.total
	r.measured.maxMoves = r.maxTaskMoves()
	if len(r.violations) > 0 {
		t.Fatalf("invariants violated: %v", r.violations)
	}
	return r.measured
}

// measurePartition partitions zone b and measures the time until all replicas run again.
func (r *recoveryRun) measurePartition() {
	partitionedAt := r.now
	r.partitionZone("b", recoveryPartitionDuration)
	for r.now < partitionedAt.Add(recoveryPartitionDuration) {
		r.run(recoveryPollInterval)
		running, wanted := r.runningReplicas(r.services)
		if r.now > partitionedAt.Add(simAgentLease) && r.measured.replicasRestored == 0 && running == wanted {
			r.measured.replicasRestored = r.now.Sub(partitionedAt)
		}
	}
}

// clearCaches empties the image caches of a zone and resets the counts of fetches.
func (r *recoveryRun) clearCaches(zone ids.Zone) {
	for worker := range r.imageCaches.images {
		if worker.zone == zone {
			delete(r.imageCaches.images, worker)
		}
	}
	r.imageCaches.peak[zone], r.imageCaches.total = 0, 0
}

// measureRecovery submits queries. It measures the time until they start and the time until the
// zone is as full as the others.
func (r *recoveryRun) measureRecovery() {
	partitionEndedAt := r.now
	submittedAt := map[ids.JobID]monotonic.Instant{} // of queries that have not started
	for r.now < partitionEndedAt.Add(recoveryObservation) {
		if r.now.Sub(partitionEndedAt)%(3*second) == 0 {
			spec := zoneArray(1)
			spec.Service, spec.Image, spec.Priority = true, "query", wire.High
			submittedAt[r.submitJob(spec)] = r.now
		}
		r.run(recoveryPollInterval)
		r.recordStarts(submittedAt)
		if r.measured.utilizationRestored == 0 && r.utilizationMatches("b") {
			r.measured.utilizationRestored = r.now.Sub(partitionEndedAt)
		}
	}
	for _, at := range submittedAt {
		r.measured.slowestStart = max(r.measured.slowestStart, r.now.Sub(at))
	}
}

// recordStarts removes the queries that have started, and records the longest wait.
func (r *recoveryRun) recordStarts(submittedAt map[ids.JobID]monotonic.Instant) {
	for id, at := range submittedAt {
		if j := r.core.cluster.Job(id); j != nil && startedRunning(j) {
			r.measured.slowestStart = max(r.measured.slowestStart, r.now.Sub(at))
			delete(submittedAt, id)
		}
	}
}

// maxTaskMoves returns the maximum number of moves of a task.
func (r *recoveryRun) maxTaskMoves() int {
	most := 0
	for _, id := range slices.Concat(r.services, r.arrays) {
		for _, p := range r.placements[id] {
			most = max(most, int(p.task.attempt)-1)
		}
	}
	return most
}

// startedRunning reports whether a task of a job runs.
func startedRunning(j *cluster.Job) bool {
	for _, a := range j.Active() {
		if a.Run.Phase == wire.TaskRunning {
			return true
		}
	}
	return false
}

// runningReplicas returns the number of replicas of services that run on usable machines, and the
// number of all their replicas.
func (s *scenario) runningReplicas(services []ids.JobID) (running, wanted int) {
	for _, id := range services {
		j := s.core.cluster.Job(id)
		wanted += len(j.Tasks())
		for _, a := range j.Active() {
			if a.Run.Phase == wire.TaskRunning && s.core.health.usable(a.Machine) {
				running++
			}
		}
	}
	return running, wanted
}

// utilizationMatches reports whether the utilization of a zone's machines is at least 90% of that of
// the other machines.
func (s *scenario) utilizationMatches(zone ids.Zone) bool {
	var used, total, usedElsewhere, totalElsewhere float64
	for _, machine := range s.core.cluster.Machines() {
		if !s.core.health.usable(machine) {
			continue
		}
		if machine.Zone() == zone {
			used, total = used+machine.Used().CPUs, total+machine.Total().CPUs
		} else {
			usedElsewhere, totalElsewhere = usedElsewhere+machine.Used().CPUs, totalElsewhere+machine.Total().CPUs
		}
	}
	return total > 0 && totalElsewhere > 0 && used/total >= 0.9*usedElsewhere/totalElsewhere
}

// BenchmarkZoneRecovery reports the median, the minimum and the maximum over ten runs.
func BenchmarkZoneRecovery(b *testing.B) {
	for _, c := range []struct {
		name  string
		start func(*sim)
	}{{"off", (*sim).failOver}, {"on", (*sim).enableZoneRecovery}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				reportRecoveryRuns(b, c.start)
			}
		})
	}
}

// reportRecoveryRuns runs ten simulations and logs their measurements.
func reportRecoveryRuns(b *testing.B, start func(*sim)) {
	const runs = 10
	var restored, slowestStart, utilization, peak, fetches, moves []float64
	for seed := range uint64(runs) {
		f := newRecoveryRun(seed, start).measure(b)
		restored = append(restored, f.replicasRestored.Seconds())
		slowestStart = append(slowestStart, f.slowestStart.Seconds())
		utilization = append(utilization, f.utilizationRestored.Seconds())
		peak = append(peak, float64(f.peakFetches))
		fetches = append(fetches, float64(f.fetches))
		moves = append(moves, float64(f.maxMoves))
	}
	b.Logf("replicas restored after the partition began %s s, slowest query start after it ended %s s, utilization restored after %s s", medianAndRange(restored), medianAndRange(slowestStart), medianAndRange(utilization))
	b.Logf("peak fetches in flight %s, fetches %s, maximum moves of a task %s", medianAndRange(peak), medianAndRange(fetches), medianAndRange(moves))
}

// medianAndRange returns the median of values with the minimum and the maximum.
func medianAndRange(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", values[len(values)/2], values[0], values[len(values)-1])
}
