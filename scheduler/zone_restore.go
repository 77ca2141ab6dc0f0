package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
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
	if g == nil || g.core.now < g.restoredAt.Add(restoreInterval) {
		return
	}
	g.restoredAt = g.core.now
	var services []zonerecovery.ServicePlacement
	for _, id := range g.manager.RestoreCandidates(g.core.now) {
		if j := g.core.jobs[id]; j != nil && j.spec.Service && !j.terminal() && len(j.pending) == 0 {
			services = append(services, servicePlacement(j))
		}
	}
	if len(services) == 0 {
		return
	}
	move, ok := g.manager.PlanRestore(g.core.moment(), services, func(id ids.JobID, zone ids.Zone) bool { return g.hasWarmRoom(g.core.jobs[id], zone) })
	if !ok {
		return
	}
	j := g.core.jobs[move.Job]
	if a := newestReplica(j, move.From); a != nil {
		j.preferredZone, j.preferredUntil = move.To, g.core.now.Add(restorePreference)
		g.core.stopTask(a, stopDrained)
	}
}

// servicePlacement counts a service's running replicas by zone.
func servicePlacement(j *job) zonerecovery.ServicePlacement {
	s := zonerecovery.ServicePlacement{Job: j.id, Replicas: len(j.tasks), Running: map[ids.Zone]int{}}
	for _, a := range tasksByIndex(j.active) {
		if a.phase == wire.TaskRunning && a.stopReason == stopNone {
			s.Running[a.machine.Zone]++
		}
	}
	return s
}

// newestReplica finds the replica of a job in a zone that has run for the least time.
func newestReplica(j *job, zone ids.Zone) *assignment {
	var newest *assignment
	for _, a := range tasksByIndex(j.active) {
		if a.machine.Zone == zone && a.phase == wire.TaskRunning && a.stopReason == stopNone && (newest == nil || a.phaseSince > newest.phaseSince) {
			newest = a
		}
	}
	return newest
}

// hasWarmRoom tells whether a machine in a zone could run another replica of a job at once: it
// has room and holds the image.
func (g *zoneGate) hasWarmRoom(j *job, zone ids.Zone) bool {
	need := placement.TaskResources(j.spec)
	for _, m := range g.core.registry.machineList {
		if m.Zone == zone && m.images[j.spec.Image] != nil && need.FitsIn(m.free()) && placement.Allowed(j.spec, m.Site) &&
			g.core.health.takesTasks(m) && !g.core.reservedForOther(m, j) && !g.core.hasAntiAffinity(j, m) {
			return true
		}
	}
	return false
}

// prefers tells whether a job's next task should go to a zone.
func (c *Core) prefers(j *job, zone ids.Zone) bool {
	return j.preferredZone == zone && zone != "" && c.now < j.preferredUntil
}
