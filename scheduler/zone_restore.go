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
	// restoreInterval is the interval at which replica moves are planned.
	restoreInterval = time.Second
	// restorePreference is how long a service prefers the destination zone of a move after the
	// replica is stopped.
	restorePreference = 15 * time.Second
)

// machineReservations reports whether a machine is reserved for another job.
type machineReservations interface {
	reservedForOther(m *cluster.Machine, j *cluster.Job) bool
}

// machineAntiAffinity reports whether a job avoids a machine on which it failed.
type machineAntiAffinity interface {
	hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool
}

// replicaStopper stops replicas of services.
type replicaStopper interface {
	stop(a *cluster.Assignment, reason cluster.StopReason)
}

// restore moves a replica of a service back to a zone from which it was displaced, if the policy
// restores the spread of services. It stops the replica. The service then starts another one, as
// for any lost replica, and prefers the destination zone.
func (g *zoneGate) restore() {
	if g == nil || g.clock.Now() < g.restorePlannedAt.Add(restoreInterval) {
		return
	}
	g.restorePlannedAt = g.clock.Now()
	services := g.restorableServices()
	if len(services) == 0 {
		return
	}
	if move, ok := g.manager.PlanRestore(g.clockReading(), services, g.canStartReplica); ok {
		g.startMove(move)
	}
}

// restorableServices returns the replica counts by zone of the services of which a replica might be
// moved back.
func (g *zoneGate) restorableServices() []zonerecovery.ServicePlacement {
	var services []zonerecovery.ServicePlacement
	for _, id := range g.manager.RestoreCandidates(g.clock.Now()) {
		j := g.cluster.Job(id)
		if j != nil && j.Spec.Service && !j.Terminal() && len(j.Pending()) == 0 {
			services = append(services, servicePlacement(j))
		}
	}
	return services
}

// servicePlacement returns the number of running replicas of a service in each zone.
func servicePlacement(j *cluster.Job) zonerecovery.ServicePlacement {
	service := zonerecovery.ServicePlacement{Job: j.ID, Replicas: len(j.Tasks()), Running: map[ids.Zone]int{}}
	for _, a := range j.Assignments() {
		if keepsRunning(a) {
			service.Running[a.Machine.Zone()]++
		}
	}
	return service
}

// startMove stops the newest replica in the source zone of a move.
func (g *zoneGate) startMove(move zonerecovery.RestoreMove) {
	j := g.cluster.Job(move.Job)
	replica := newestReplica(j, move.From)
	if replica == nil {
		return
	}
	j.Queue.PreferredZone = move.To
	j.Queue.PreferredUntil = g.clock.Now().Add(restorePreference)
	g.lifecycle.stop(replica, cluster.StopDrained)
}

// newestReplica returns the replica of a service in a zone that has run for the shortest time. It
// returns nil if none runs there.
func newestReplica(j *cluster.Job, zone ids.Zone) *cluster.Assignment {
	var newest *cluster.Assignment
	for _, a := range j.Assignments() {
		if a.Machine.Zone() != zone || !keepsRunning(a) {
			continue
		}
		if newest == nil || a.Run.PhaseSince > newest.Run.PhaseSince {
			newest = a
		}
	}
	return newest
}

// keepsRunning reports whether a task runs and is not being stopped.
func keepsRunning(a *cluster.Assignment) bool {
	return a.Run.Phase == wire.TaskRunning && a.StopReason() == cluster.StopNone
}

// canStartReplica reports whether a machine in a zone could start another replica of a job without
// fetching its image.
func (g *zoneGate) canStartReplica(id ids.JobID, zone ids.Zone) bool {
	j := g.cluster.Job(id)
	for _, m := range g.cluster.Machines() {
		if m.Zone() == zone && g.fitsWithoutFetch(j, m) {
			return true
		}
	}
	return false
}

// fitsWithoutFetch reports whether a machine has free resources for a task of a job, holds its
// image, and may be used for it.
func (g *zoneGate) fitsWithoutFetch(j *cluster.Job, m *cluster.Machine) bool {
	fits := m.HasImage(j.Spec.Image) && j.TaskResources().FitsIn(m.Free())
	if !fits || !placement.Allowed(j.Spec, m.Site()) || !g.health.takesTasks(m) {
		return false
	}
	return !g.reservations.reservedForOther(m, j) && !g.failures.hasAntiAffinity(j, m)
}
