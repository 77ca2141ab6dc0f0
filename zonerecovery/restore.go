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

// ServicePlacement is where the replicas of a service run.
type ServicePlacement struct {
	Job ids.JobID
	// TaskRunning counts the replicas that run, by zone; Wanted is how many there should be.
	Running  map[ids.Zone]int
	Replicas int
}

// RestoreMove is a replica that should leave a zone for another.
type RestoreMove struct {
	Job      ids.JobID
	From, To ids.Zone
}

// restorer plans the moves of one term.
type restorer struct {
	policy  RestorePolicy
	limiter *rate.Limiter
}

// newRestorer makes a restorer that has moved nothing yet.
func newRestorer(policy RestorePolicy) *restorer {
	return &restorer{policy: policy, limiter: rate.NewLimiter(rate.Limit(policy.MovesPerMinute/time.Minute.Seconds()), 1)}
}

// RestoreCandidates lists the services' jobs of which a replica might be moved back, by id:
// those displaced by a zone that has served for long enough, while no zone is in trouble.
func (m *Manager) RestoreCandidates(now monotonic.Instant) []ids.JobID {
	if m.policy.Restore.MovesPerMinute <= 0 || m.Evacuating() {
		return nil
	}
	jobs := map[ids.JobID]bool{}
	for _, z := range m.zones {
		if z.restorable(now) {
			for job := range z.displaced.jobs {
				jobs[job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(jobs))
}

// restorable tells whether replicas may be moved back to the zone.
func (z *zone) restorable(now monotonic.Instant) bool {
	return z.condition == Serving && z.flaps > 0 && z.override.Kind == OverrideNone && z.record.allows(Serving) &&
		now >= z.since.Add(z.policy.Restore.After)
}

// PlanRestore chooses a replica that should be moved back now, if the rate allows one. hasRoom
// tells whether a replica could run in a zone at once.
func (m *Manager) PlanRestore(at ClockReading, services []ServicePlacement, hasRoom func(ids.JobID, ids.Zone) bool) (move RestoreMove, ok bool) {
	if m.restorer.limiter.TokensAt(at.Wall) < 1 {
		return RestoreMove{}, false
	}
	for _, s := range services {
		for _, to := range m.sortedZones() {
			z := m.zones[to]
			if !z.restorable(at.Now) || !z.displaced.mayRestore(s.Job) {
				continue
			}
			from, uneven := s.fullest(to)
			if !uneven || !hasRoom(s.Job, to) {
				continue
			}
			m.restorer.limiter.AllowN(at.Wall, 1)
			z.noteRestored(s.Job)
			return RestoreMove{Job: s.Job, From: from, To: to}, true
		}
	}
	return RestoreMove{}, false
}

// noteRestored counts a replica that is moved back.
func (z *zone) noteRestored(job ids.JobID) {
	z.displaced.recordRestore(job)
	z.record.lazy = true
	z.incidents.update(func(i *Incident) { i.RestoredReplicas++ })
}

// fullest finds the zone with most replicas, if a move from there to another zone makes the
// service more even. Unless all its replicas run, none is moved: one more would be down.
func (s *ServicePlacement) fullest(to ids.Zone) (from ids.Zone, uneven bool) {
	running := 0
	for _, n := range s.Running {
		running += n
	}
	if running < s.Replicas {
		return "", false
	}
	zones := slices.SortedFunc(maps.Keys(s.Running), func(a, b ids.Zone) int {
		return cmp.Or(cmp.Compare(s.Running[b], s.Running[a]), strings.Compare(string(a), string(b)))
	})
	if len(zones) == 0 || zones[0] == to || s.Running[zones[0]] < s.Running[to]+2 {
		return "", false
	}
	return zones[0], true
}
