package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// latencySensitivity tells whether tasks of a job must start sooner than a machine boots.
type latencySensitivity interface {
	latencySensitive(j *cluster.Job) bool
}

// runTimeEstimates estimates how long a task runs.
type runTimeEstimates interface {
	expectedRun(spec *wire.JobSpec) time.Duration
}

// gateClass holds the properties of a job, beside its image, that the answer of admits
// depends on. It is the zero value while no zone recovers.
type gateClass struct{ evaluated, critical, probeEligible bool }

// admits tells whether a task may start on a machine now.
func (g *zoneGate) admits(j *cluster.Job, index int, m *cluster.Machine) bool {
	if g == nil || !g.manager.Gated(m.Zone()) {
		return true
	}
	return g.manager.Admit(m.Zone(), g.startRequest(j, index, m)) == zonerecovery.Admitted
}

// evacuating tells whether work of some zone may need capacity elsewhere.
func (g *zoneGate) evacuating() bool { return g != nil && g.manager.Evacuating() }

// unproven tells whether a zone recovers, so that it is not known yet whether tasks start there.
func (g *zoneGate) unproven(zone ids.Zone) bool {
	return g != nil && g.manager.Condition(zone) == zonerecovery.Recovering
}

// gateClassOf returns what admits depends on for a job now. ok is false if its result for this
// job may differ from that for others with the same request.
func (g *zoneGate) gateClassOf(j *cluster.Job) (part gateClass, ok bool) {
	if g == nil || !g.manager.AnyGated() {
		return gateClass{}, true
	}
	if g.manager.AnyRecovering() {
		part = gateClass{evaluated: true, critical: g.critical(j), probeEligible: g.probeEligible(j)}
	}
	return part, !g.manager.FailbackDenied(j.ID)
}

// startRequest describes a task that is to start on a machine. The fields that
// the manager needs only for a zone that recovers are not set for other zones.
func (g *zoneGate) startRequest(j *cluster.Job, index int, m *cluster.Machine) *zonerecovery.StartRequest {
	request := &zonerecovery.StartRequest{
		Task:       ids.TaskRef{Job: j.ID, Index: index},
		Critical:   g.critical(j),
		ZonePinned: j.Spec.Zone != "",
	}
	if !g.unproven(m.Zone()) {
		return request
	}
	request.Machine, request.Image = m.ID, j.Spec.Image
	request.ProbeEligible = g.probeEligible(j)
	request.NeedsFetch = g.needsFetch(j, m)
	request.MachineFetching = request.NeedsFetch && m.FetchesAnother(j.Spec.Image)
	return request
}

// needsFetch tells whether a machine of a zone that recovers has to fetch a job's image. An
// image that was last used before the outage may be gone.
func (g *zoneGate) needsFetch(j *cluster.Job, m *cluster.Machine) bool {
	cached := m.Image(j.Spec.Image)
	return cached == nil || cached.UsedAt < g.manager.CachesLostAt(m.Zone())
}

// critical tells whether a job is exempt from the limits of a recovery: services, classes
// that must start sooner than a machine boots, and jobs of the highest priority.
func (g *zoneGate) critical(j *cluster.Job) bool {
	return j.Spec.Service || j.Priority() == wire.Critical || g.latency.latencySensitive(j)
}

// probeEligible tells whether tasks of a job may probe a zone: each can be run again without
// the others, and is expected to end soon.
func (g *zoneGate) probeEligible(j *cluster.Job) bool {
	return !j.Spec.Service && !j.Spec.Gang && g.estimates.expectedRun(j.Spec) <= g.manager.ProbeRunLimit()
}

// started notes that a task was placed.
func (g *zoneGate) started(a *cluster.Assignment) {
	if g != nil {
		g.manager.TaskPlaced(a.Machine.Zone(), g.startRequest(a.Job, a.Index, a.Machine), g.clock.Now())
	}
}

// running notes that a heartbeat showed a task running.
func (g *zoneGate) running(a *cluster.Assignment) {
	if g != nil && g.manager.TaskRunning(a.Machine.Zone(), a.Ref(), g.clock.Now()) {
		g.rounds.MarkDue()
	}
}

// detached notes that a task is off its machine.
func (g *zoneGate) detached(a *cluster.Assignment) {
	if g != nil && g.manager.TaskEnded(a.Machine.Zone(), a.Ref()) {
		g.rounds.MarkDue()
	}
}

// failed notes that a task failed. A job that fails on all machines is no evidence against
// a zone.
func (g *zoneGate) failed(a *cluster.Assignment) {
	if g != nil && a.Job.Failures.Rounds == 0 {
		g.manager.TaskFailed(a.Machine.Zone(), a.Job.ID)
	}
}

// lost notes that a task was lost with its machine. It counts as displaced only if it may
// have run there and was not to be stopped.
func (g *zoneGate) lost(a *cluster.Assignment) {
	if g != nil && a.StopReason() == cluster.StopNone && !a.Job.Terminal() && a.MayRun() {
		g.manager.TaskDisplaced(a.Machine.Zone(), a.Job.ID)
	}
}
