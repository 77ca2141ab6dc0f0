package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// latencySensitivity reports whether tasks of a job must start faster than a machine boots.
type latencySensitivity interface {
	latencySensitive(j *cluster.Job) bool
}

// runTimeEstimates estimates the run time of tasks.
type runTimeEstimates interface {
	expectedRun(spec *wire.JobSpec) time.Duration
}

// zoneAdmissionClass holds the properties of a job, in addition to its image, on which the result
// of admits depends. It is the zero value while no zone recovers.
type zoneAdmissionClass struct{ evaluated, critical, probeEligible bool }

// admits reports whether a task may start on a machine now.
func (g *zoneGate) admits(j *cluster.Job, index int, m *cluster.Machine) bool {
	if g == nil || !g.manager.Gated(m.Zone()) {
		return true
	}
	return g.manager.Admit(m.Zone(), g.startRequest(j, index, m)) == zonerecovery.Admitted
}

// evacuating reports whether work displaced from some zone may need capacity in other zones.
func (g *zoneGate) evacuating() bool { return g != nil && g.manager.Evacuating() }

// anyGated reports whether the state of a zone decides which tasks may start there.
func (g *zoneGate) anyGated() bool { return g != nil && g.manager.AnyGated() }

// recovering reports whether a zone recovers, so that it is unknown whether tasks start there.
func (g *zoneGate) recovering(zone ids.Zone) bool {
	return g != nil && g.manager.Condition(zone) == zonerecovery.Recovering
}

// admissionClass returns the properties of a job on which the result of admits depends. ok is
// false if the result for this job may differ from that for other jobs with the same request.
func (g *zoneGate) admissionClass(j *cluster.Job) (class zoneAdmissionClass, ok bool) {
	if g == nil || !g.manager.AnyGated() {
		return zoneAdmissionClass{}, true
	}
	if g.manager.AnyRecovering() {
		class = zoneAdmissionClass{evaluated: true, critical: g.critical(j), probeEligible: g.probeEligible(j)}
	}
	return class, !g.manager.FailbackDenied(j.ID)
}

// startRequest returns the description of a task that is to start on a machine. The fields that
// the manager needs only for a zone that recovers are not set for other zones.
func (g *zoneGate) startRequest(j *cluster.Job, index int, m *cluster.Machine) *zonerecovery.StartRequest {
	request := &zonerecovery.StartRequest{
		Task:       ids.TaskRef{Job: j.ID, Index: index},
		Critical:   g.critical(j),
		ZonePinned: j.Spec.Zone != "",
	}
	if !g.recovering(m.Zone()) {
		return request
	}
	request.Machine, request.Image = m.ID, j.Spec.Image
	request.ProbeEligible = g.probeEligible(j)
	request.NeedsFetch = g.needsFetch(j, m)
	request.MachineFetching = request.NeedsFetch && m.FetchesImageOtherThan(j.Spec.Image)
	return request
}

// needsFetch reports whether a machine in a zone that recovers has to fetch the image of a job. An
// image that was last used before the outage may no longer be cached.
func (g *zoneGate) needsFetch(j *cluster.Job, m *cluster.Machine) bool {
	cached := m.Image(j.Spec.Image)
	return cached == nil || cached.UsedAt < g.manager.CachesLostAt(m.Zone())
}

// critical reports whether a job is exempt from the limits of a recovery. Services, jobs of
// latency-sensitive classes and jobs of the highest priority are.
func (g *zoneGate) critical(j *cluster.Job) bool {
	return j.Spec.Service || j.Priority() == wire.Critical || g.latency.latencySensitive(j)
}

// probeEligible reports whether tasks of a job may probe a zone. Each task must be one that can be
// run again without the others and that is expected to end soon.
func (g *zoneGate) probeEligible(j *cluster.Job) bool {
	return !j.Spec.Service && !j.Spec.Gang && g.estimates.expectedRun(j.Spec) <= g.manager.ProbeRunLimit()
}

// taskStarted records that a task was placed.
func (g *zoneGate) taskStarted(a *cluster.Assignment) {
	if g != nil {
		g.manager.TaskPlaced(a.Machine.Zone(), g.startRequest(a.Job, a.Index, a.Machine), g.clock.Now())
	}
}

// taskRunning records that a heartbeat reported a task as running.
func (g *zoneGate) taskRunning(a *cluster.Assignment) {
	if g != nil && g.manager.TaskRunning(a.Machine.Zone(), a.Ref(), g.clock.Now()) {
		g.rounds.MarkDue()
	}
}

// taskDetached records that a task is no longer assigned to its machine.
func (g *zoneGate) taskDetached(a *cluster.Assignment) {
	if g != nil && g.manager.TaskEnded(a.Machine.Zone(), a.Ref()) {
		g.rounds.MarkDue()
	}
}

// taskFailed records that a task failed. A job that fails on all machines is no evidence against
// a zone.
func (g *zoneGate) taskFailed(a *cluster.Assignment) {
	if g != nil && a.Job.Failures.FailedRounds == 0 {
		g.manager.TaskFailed(a.Machine.Zone(), a.Job.ID)
	}
}

// taskLost records that a task was lost with its machine. It counts as displaced only if it may
// have run there and was not being stopped.
func (g *zoneGate) taskLost(a *cluster.Assignment) {
	if g != nil && a.StopReason() == cluster.StopNone && !a.Job.Terminal() && a.MayRun() {
		g.manager.TaskDisplaced(a.Machine.Zone(), a.Job.ID)
	}
}
