package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Admit returns whether a task may start in a zone now, or the reason for which it is denied.
func (m *Manager) Admit(name ids.Zone, request *StartRequest) Admission {
	if z := m.zones[name]; z != nil {
		return z.admit(request)
	}
	return Admitted
}

// FailbackDenied reports whether a job's failback budget denies it admission to some zone. Such a job
// must not be treated like others with the same requirements.
func (m *Manager) FailbackDenied(job ids.JobID) bool {
	return m.anyZone(func(z *zone) bool {
		return z.displacements.budgetExhausted(job) && z.displacements.waits(job, z.machine.observedAt)
	})
}

// TaskPlaced records that a task was placed in a zone.
func (m *Manager) TaskPlaced(name ids.Zone, request *StartRequest, now monotonic.Instant) {
	z := m.zoneNamed(name, now)
	switch z.taskPlaced(request, now) {
	case failbackForced:
		m.stats.ForcedFailbacks++
	case failbackInBudget:
		m.stats.Failbacks++
		m.stats.MaxFailbacksPerJob = max(m.stats.MaxFailbacksPerJob, z.displacements.maxFailbacks())
	}
}

// TaskInherited records that a previous leader placed a task in a zone. Its start counts as in flight
// until TaskRunning or TaskEnded is called.
func (m *Manager) TaskInherited(name ids.Zone, request *StartRequest, now monotonic.Instant) {
	m.zoneNamed(name, now).starts.add(request, now)
}

// TaskRunning records that a task runs. relaxed reports whether more tasks may start than before.
func (m *Manager) TaskRunning(name ids.Zone, task ids.TaskRef, now monotonic.Instant) (relaxed bool) {
	z := m.zones[name]
	if z == nil {
		return false
	}
	z.taskRunning(task, now)
	return z.condition() == Recovering
}

// TaskEnded records that a task no longer occupies its machine, whether or not it ran. relaxed reports
// whether more tasks may start than before.
func (m *Manager) TaskEnded(name ids.Zone, task ids.TaskRef) (relaxed bool) {
	z := m.zones[name]
	if z == nil {
		return false
	}
	z.taskEnded(task)
	return z.condition() == Recovering
}

// TaskFailed records that a task of a job failed in a zone.
func (m *Manager) TaskFailed(name ids.Zone, job ids.JobID) {
	if z := m.zones[name]; z != nil {
		z.taskFailed(job)
	}
}

// TaskDisplaced records that a task of a job was lost with its machine.
func (m *Manager) TaskDisplaced(name ids.Zone, job ids.JobID) {
	if z := m.zones[name]; z != nil && z.taskDisplaced(job) {
		m.stats.DisplacedTasks++
	}
}
