package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

const (
	// restoreInterval is how often a move of a replica is planned.
	restoreInterval = time.Second
	// restorePreference is for how long a replica that was stopped to be moved prefers the
	// zone that it is for.
	restorePreference = 15 * time.Second
)

// restore moves a replica of a service back to a zone that displaced it, where operators want
// the spread restored. It is stopped, and mended like any other lost replica, with the zone
// as its first choice.
func (g *zoneGate) restore() {
	if g == nil || g.core.clock.Now() < g.restoredAt.Add(restoreInterval) {
		return
	}
	g.restoredAt = g.core.clock.Now()
	var services []zonerecovery.ServicePlacement
	for _, id := range g.manager.RestoreCandidates(g.core.clock.Now()) {
		if j := g.core.cluster.Job(id); j != nil && j.Spec.Service && !j.Terminal() && len(j.Pending()) == 0 {
			services = append(services, servicePlacement(j))
		}
	}
	if len(services) == 0 {
		return
	}
	move, ok := g.manager.PlanRestore(g.core.moment(), services, func(id ids.JobID, zone ids.Zone) bool { return g.hasWarmRoom(g.core.cluster.Job(id), zone) })
	if !ok {
		return
	}
	j := g.core.cluster.Job(move.Job)
	if a := newestReplica(j, move.From); a != nil {
		j.Queue.PreferredZone, j.Queue.PreferredUntil = move.To, g.core.clock.Now().Add(restorePreference)
		g.core.lifecycle.stop(a, cluster.StopDrained)
	}
}

// servicePlacement counts a service's running replicas by zone.
func servicePlacement(j *cluster.Job) zonerecovery.ServicePlacement {
	s := zonerecovery.ServicePlacement{Job: j.ID, Replicas: len(j.Tasks()), Running: map[ids.Zone]int{}}
	for _, a := range j.Assignments() {
		if a.Run.Phase == wire.TaskRunning && a.StopReason() == cluster.StopNone {
			s.Running[a.Machine.Zone()]++
		}
	}
	return s
}

// newestReplica finds the replica of a job in a zone that has run for the least time.
func newestReplica(j *cluster.Job, zone ids.Zone) *cluster.Assignment {
	var newest *cluster.Assignment
	for _, a := range j.Assignments() {
		if a.Machine.Zone() == zone && a.Run.Phase == wire.TaskRunning && a.StopReason() == cluster.StopNone && (newest == nil || a.Run.PhaseSince > newest.Run.PhaseSince) {
			newest = a
		}
	}
	return newest
}

// hasWarmRoom tells whether a machine in a zone could run another replica of a job at once: it
// has room and holds the image.
func (g *zoneGate) hasWarmRoom(j *cluster.Job, zone ids.Zone) bool {
	need := placement.TaskResources(j.Spec)
	for _, m := range g.core.cluster.Machines() {
		if m.Zone() == zone && m.HasImage(j.Spec.Image) && need.FitsIn(m.Free()) && placement.Allowed(j.Spec, m.Site()) &&
			g.core.health.takesTasks(m) && !g.core.reservations.reservedForOther(m, j) && !g.core.failures.hasAntiAffinity(j, m) {
			return true
		}
	}
	return false
}
