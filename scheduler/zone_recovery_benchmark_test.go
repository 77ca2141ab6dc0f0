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

// This file measures what the recovery of a zone costs with package zonerecovery off and on,
// in the simulation, scaled down to some 60 machines:
//
//	go test ./scheduler -run - -bench ZoneRecovery -benchtime 1x

// recoveryMeasurements are the measurements of one day.
type recoveryMeasurements struct {
	replicasRestored    time.Duration // from the partition until all replicas run again
	slowestStart        time.Duration // of a new query after the return
	utilizationRestored time.Duration // from the return until the zone is as full as the others
	peakFetches         int           // at once in the zone
	fetches             int           // after the return
	maxMoves            int           // of a task
}

// recoveryRun is a day on which zone b is lost and comes back with empty caches, while arrays
// of twelve images wait and a new query is submitted every three seconds.
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

// newRecoveryRun prepares a day. start makes the first leader, and turns zone recovery on or
// leaves it off.
func newRecoveryRun(seed uint64, start func(*sim)) *recoveryRun {
	m := &scenario{sim: newSim(nil, seed)}
	m.faults, m.capacity = false, 10
	for i := range m.opt.Teams {
		m.opt.Teams[i].Limit.CPUs, m.opt.Teams[i].Nominal.CPUs = 2000, 1000
	}
	m.opt.MaxMachines, m.opt.IdleTimeout, m.opt.WriteRate = 70, 10*time.Minute, 400
	m.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
	start(m.sim)
	m.previousCore = nil
	m.imageCaches = &simImageCaches{images: map[*simWorker]map[ids.Image]bool{}, inFlight: map[ids.Zone]int{}, peak: map[ids.Zone]int{}}
	return &recoveryRun{scenario: m}
}

// measure plays the day.
func (d *recoveryRun) measure(t testing.TB) recoveryMeasurements {
	t.Helper()
	for n := range 12 {
		spec := zoneArray(6)
		spec.Service, spec.Spread, spec.Image, spec.Priority = true, true, "query", wire.High
		d.services = append(d.services, d.submitJob(spec))
		work := zoneArray(60)
		work.Image, work.Priority = ids.Image(fmt.Sprintf("work-%d", n)), wire.BestEffort
		d.arrays = append(d.arrays, d.submitJob(work))
	}
	d.runFactor = 4
	d.run(90 * second)
	d.measurePartition()
	d.clearCaches("b")
	d.measureRecovery()
	d.measured.peakFetches, d.measured.fetches = d.imageCaches.peak["b"], d.imageCaches.total
	d.measured.maxMoves = d.maxTaskMoves()
	if len(d.violations) > 0 {
		t.Fatalf("rules broken: %v", d.violations)
	}
	return d.measured
}

// measurePartition partitions zone b and measures until when all replicas run again.
func (d *recoveryRun) measurePartition() {
	partitionedAt := d.now
	d.partitionZone("b", recoveryPartitionDuration)
	for d.now < partitionedAt.Add(recoveryPartitionDuration) {
		d.run(recoveryPollInterval)
		running, wanted := d.runningReplicas(d.services)
		if d.now > partitionedAt.Add(simAgentLease) && d.measured.replicasRestored == 0 && running == wanted {
			d.measured.replicasRestored = d.now.Sub(partitionedAt)
		}
	}
}

// clearCaches empties the image caches of a zone and begins to count fetches anew.
func (d *recoveryRun) clearCaches(zone ids.Zone) {
	for w := range d.imageCaches.images {
		if w.zone == zone {
			delete(d.imageCaches.images, w)
		}
	}
	d.imageCaches.peak[zone], d.imageCaches.total = 0, 0
}

// measureRecovery submits queries, and measures how soon they start and how soon the zone is as
// full as the others.
func (d *recoveryRun) measureRecovery() {
	partitionEndedAt := d.now
	submittedAt := map[ids.JobID]monotonic.Instant{} // of queries that have not started
	for d.now < partitionEndedAt.Add(recoveryObservation) {
		if d.now.Sub(partitionEndedAt)%(3*second) == 0 {
			spec := zoneArray(1)
			spec.Service, spec.Image, spec.Priority = true, "query", wire.High
			submittedAt[d.submitJob(spec)] = d.now
		}
		d.run(recoveryPollInterval)
		d.recordStarts(submittedAt)
		if d.measured.utilizationRestored == 0 && d.utilizationMatches("b") {
			d.measured.utilizationRestored = d.now.Sub(partitionEndedAt)
		}
	}
	for _, at := range submittedAt {
		d.measured.slowestStart = max(d.measured.slowestStart, d.now.Sub(at))
	}
}

// recordStarts removes the queries that have started, and keeps the longest wait.
func (d *recoveryRun) recordStarts(submittedAt map[ids.JobID]monotonic.Instant) {
	for id, at := range submittedAt {
		if j := d.core.cluster.Job(id); j != nil && startedRunning(j) {
			d.measured.slowestStart = max(d.measured.slowestStart, d.now.Sub(at))
			delete(submittedAt, id)
		}
	}
}

// maxTaskMoves is how often a task was moved at most.
func (d *recoveryRun) maxTaskMoves() int {
	most := 0
	for _, id := range slices.Concat(d.services, d.arrays) {
		for _, p := range d.placements[id] {
			most = max(most, int(p.task.attempt)-1)
		}
	}
	return most
}

// startedRunning tells whether a task of a job runs.
func startedRunning(j *cluster.Job) bool {
	for _, a := range j.Active() {
		if a.Run.Phase == wire.TaskRunning {
			return true
		}
	}
	return false
}

// runningReplicas counts the replicas that run on usable machines.
func (m *scenario) runningReplicas(services []ids.JobID) (running, wanted int) {
	for _, id := range services {
		j := m.core.cluster.Job(id)
		wanted += len(j.Tasks())
		for _, a := range j.Active() {
			if a.Run.Phase == wire.TaskRunning && m.core.health.usable(a.Machine) {
				running++
			}
		}
	}
	return running, wanted
}

// utilizationMatches tells whether a zone's machines are as full as the others, but for a tenth.
func (m *scenario) utilizationMatches(zone ids.Zone) bool {
	var used, total, usedElsewhere, totalElsewhere float64
	for _, w := range m.core.cluster.Machines() {
		if !m.core.health.usable(w) {
			continue
		}
		if w.Zone() == zone {
			used, total = used+w.Used().CPUs, total+w.Total().CPUs
		} else {
			usedElsewhere, totalElsewhere = usedElsewhere+w.Used().CPUs, totalElsewhere+w.Total().CPUs
		}
	}
	return total > 0 && totalElsewhere > 0 && used/total >= 0.9*usedElsewhere/totalElsewhere
}

// BenchmarkZoneRecovery reports the median, the least and the most over ten days.
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

// reportRecoveryRuns plays ten days and logs their measurements.
func reportRecoveryRuns(b *testing.B, start func(*sim)) {
	const runs = 10
	var up, worstStart, share, peak, fetches, moves []float64
	for seed := range uint64(runs) {
		f := newRecoveryRun(seed, start).measure(b)
		up = append(up, f.replicasRestored.Seconds())
		worstStart = append(worstStart, f.slowestStart.Seconds())
		share = append(share, f.utilizationRestored.Seconds())
		peak = append(peak, float64(f.peakFetches))
		fetches = append(fetches, float64(f.fetches))
		moves = append(moves, float64(f.maxMoves))
	}
	b.Logf("queries up after the cut %s s, worst query start after the return %s s, share after %s s", medianAndRange(up), medianAndRange(worstStart), medianAndRange(share))
	b.Logf("most fetches at once %s, fetches %s, most moves of a task %s", medianAndRange(peak), medianAndRange(fetches), medianAndRange(moves))
}

// medianAndRange is the median of some figures, with the least and the most.
func medianAndRange(figures []float64) string {
	slices.Sort(figures)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", figures[len(figures)/2], figures[0], figures[len(figures)-1])
}
