package zonerecovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// ServicePlacement holds the zones in which the replicas of a service run.
type ServicePlacement struct {
	Job ids.JobID
	// Running counts the running replicas by zone. Replicas is the desired number of replicas.
	Running  map[ids.Zone]int
	Replicas int
}

// RestoreMove represents the move of one replica of a job between zones.
type RestoreMove struct {
	Job      ids.JobID
	From, To ids.Zone
}

// restorer plans which replicas are moved back to zones that displaced them, and limits the rate of
// these moves. The scheduler carries them out.
type restorer struct{ limiter *rate.Limiter }

func newRestorer(policy RestorePolicy) *restorer {
	perSecond := rate.Limit(policy.MovesPerMinute / time.Minute.Seconds())
	return &restorer{limiter: rate.NewLimiter(perSecond, 1)}
}

// RestoreCandidates returns the jobs of which a replica might be moved back, sorted by ID: those that
// were displaced by a zone that has served for long enough. There are none unless all zones serve.
func (m *Manager) RestoreCandidates(now monotonic.Instant) []ids.JobID {
	if m.policy.Restore.MovesPerMinute <= 0 || m.Evacuating() {
		return nil
	}
	jobs := map[ids.JobID]bool{}
	for _, z := range m.sorted {
		if z.restorable(now) {
			for job := range z.displacements.jobs {
				jobs[job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(jobs))
}

// PlanRestore returns one replica that should be moved back now, and counts it against the rate and
// the budget of its job. ok is false if there is none. hasCapacity reports whether a replica of a job
// could be placed in a zone immediately.
func (m *Manager) PlanRestore(at ClockReading, services []ServicePlacement, hasCapacity func(ids.JobID, ids.Zone) bool) (move RestoreMove, ok bool) {
	return m.restorer.plan(at, m.sorted, services, hasCapacity)
}

// plan returns the first move that the rate, the budgets and the capacity allow.
func (r *restorer) plan(at ClockReading, zones []*zone, services []ServicePlacement, hasCapacity func(ids.JobID, ids.Zone) bool) (move RestoreMove, ok bool) {
	if r.limiter.TokensAt(at.Wall) < 1 {
		return RestoreMove{}, false
	}
	for i := range services {
		for _, z := range zones {
			move, ok = z.restoreMove(&services[i], at.Now)
			if ok && hasCapacity(move.Job, move.To) {
				r.limiter.AllowN(at.Wall, 1)
				z.recordRestore(move.Job)
				return move, true
			}
		}
	}
	return RestoreMove{}, false
}

// restoreMove returns a move of one of the service's replicas to this zone. ok is false if the budgets
// or the placement of the service allow none.
func (z *zone) restoreMove(service *ServicePlacement, now monotonic.Instant) (move RestoreMove, ok bool) {
	if !z.restorable(now) || !z.displacements.mayRestore(service.Job) {
		return RestoreMove{}, false
	}
	to := z.name()
	from, ok := service.moveSource(to)
	return RestoreMove{Job: service.Job, From: from, To: to}, ok
}

// restorable reports whether replicas may be moved back to the zone.
func (z *zone) restorable(now monotonic.Instant) bool {
	return z.condition() == Serving && z.machine.outages.count > 0 && !z.override.active() && z.record.allows(Serving) &&
		now >= z.machine.state.since.Add(z.policy.Restore.After)
}

// recordRestore records the move of a replica of a job back to the zone.
func (z *zone) recordRestore(job ids.JobID) {
	z.displacements.recordRestore(job)
	z.record.markJobsChanged()
	z.machine.incidents.update(func(incident *Incident) { incident.RestoredReplicas++ })
}

// moveSource returns the zone with the most replicas. ok is false if a move from there does not spread
// the service more evenly, or if a replica is down: a move would take down one more.
func (s *ServicePlacement) moveSource(to ids.Zone) (from ids.Zone, ok bool) {
	running := 0
	for _, replicas := range s.Running {
		running += replicas
	}
	if running < s.Replicas || running == 0 {
		return "", false
	}
	from = slices.MinFunc(slices.Collect(maps.Keys(s.Running)), func(a, b ids.Zone) int {
		return cmp.Or(cmp.Compare(s.Running[b], s.Running[a]), strings.Compare(string(a), string(b)))
	})
	if from == to || s.Running[from] < s.Running[to]+2 {
		return "", false
	}
	return from, true
}
