package zonerecovery

import (
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Manager holds the state machines of all zones for one term of a leader.
type Manager struct {
	policy *Policy
	zones  map[ids.Zone]*zone
	// usualStarts are start times in zones that do not return, to compare with.
	usualStarts *startLatencies
	restorer    *restorer
	stats       Stats
	view        Connectivity
}

// Stats counts what the subsystem did, for logs and measurements.
type Stats struct {
	// TaskDisplaced counts tasks that were lost with a dark zone, and Bounces the jobs that
	// came back to a zone which displaced them.
	DisplacedTasks, Failbacks int
	// ForcedFailbacks counts the bounces beyond the budget, of jobs that had waited for so long that
	// it no longer counted.
	ForcedFailbacks int
	// MaxFailbacksPerJob is how often the job that came back most often did so in one incident.
	MaxFailbacksPerJob int
}

// NewManager makes a manager that knows no zone yet.
func NewManager(policy *Policy) *Manager {
	return &Manager{policy: policy, zones: map[ids.Zone]*zone{}, usualStarts: newStartLatencies(), restorer: newRestorer(policy.Restore)}
}

// zone finds a zone, or makes one that serves.
func (m *Manager) zone(name ids.Zone, now monotonic.Instant) *zone {
	z := m.zones[name]
	if z == nil {
		z = newZone(name, m.policy, m.usualStarts, now)
		m.zones[name] = z
	}
	return z
}

// sortedZones lists the zones by name: whatever reaches a decision goes in this order.
func (m *Manager) sortedZones() []ids.Zone { return slices.Sorted(maps.Keys(m.zones)) }

// Load takes in the record of a zone that a predecessor left.
func (m *Manager) Load(name ids.Zone, rec *Record, revision ids.Revision, at ClockReading) {
	m.zone(name, at.Now).load(rec, revision, at)
}

// LoadUnreadable takes note of a record that makes no sense.
func (m *Manager) LoadUnreadable(name ids.Zone, revision ids.Revision, at ClockReading) {
	m.zone(name, at.Now).loadUnreadable(revision, at)
}

// Observe takes in what is known of all zones. It tells whether more may start than before.
func (m *Manager) Observe(at ClockReading, o Observation) (opened bool) {
	m.view = o.Connectivity
	someZoneHeard := o.someZoneReachable(m.policy)
	for _, name := range slices.Sorted(maps.Keys(o.Zones)) {
		m.zone(name, at.Now)
	}
	for _, name := range m.sortedZones() {
		z := m.zones[name]
		condition, step, window := z.condition, z.ramp.step, z.window
		z.observe(at, o.Zones[name], o.Connectivity, someZoneHeard)
		opened = opened || z.condition != condition || z.ramp.step != step || z.window != window
	}
	return opened
}

// Admit tells whether a task may start in a zone now.
func (m *Manager) Admit(name ids.Zone, s *StartRequest) Admission {
	z := m.zones[name]
	if z == nil {
		return Admitted
	}
	denial := z.admit(s)
	if denial.byRamp() {
		z.ramp.denied = true
	}
	return denial
}

// TaskStarted notes that a task was placed in a zone.
func (m *Manager) TaskStarted(name ids.Zone, request *StartRequest, now monotonic.Instant) {
	z := m.zone(name, now)
	switch z.started(request, now) {
	case failbackForced:
		m.stats.ForcedFailbacks++
	case failbackInBudget:
		m.stats.Failbacks++
		m.stats.MaxFailbacksPerJob = max(m.stats.MaxFailbacksPerJob, z.displaced.maxFailbacks())
	}
}

// TaskInherited notes that a predecessor placed a task in a zone. It counts as under way until
// it is seen to run.
func (m *Manager) TaskInherited(name ids.Zone, s *StartRequest, now monotonic.Instant) {
	m.zone(name, now).starts.add(s, now)
}

// TaskRunning notes that a task runs. It reports whether more tasks may start than before.
func (m *Manager) TaskRunning(name ids.Zone, task ids.TaskRef, now monotonic.Instant) (opened bool) {
	z := m.zones[name]
	if z == nil {
		return false
	}
	z.startSucceeded(task, now)
	return z.condition == Recovering
}

// TaskEnded notes that a task is off its machine, whether or not it ran. It reports whether more
// tasks may start than before.
func (m *Manager) TaskEnded(name ids.Zone, task ids.TaskRef) (opened bool) {
	z := m.zones[name]
	if z == nil {
		return false
	}
	z.startWithdrawn(task)
	return z.condition == Recovering
}

// TaskFailed notes that a task failed in a zone.
func (m *Manager) TaskFailed(name ids.Zone, job ids.JobID) {
	if z := m.zones[name]; z != nil && z.condition == Recovering {
		z.ramp.fail(job)
	}
}

// TaskDisplaced notes that a task was lost with its machine. It counts while the zone is in
// trouble, also during its return: not all machines come back.
func (m *Manager) TaskDisplaced(name ids.Zone, job ids.JobID) {
	z := m.zones[name]
	if z == nil || z.condition == Serving {
		return
	}
	m.stats.DisplacedTasks++
	z.incidents.update(func(i *Incident) { i.DisplacedTasks++ })
	if z.displaced.recordLoss(job, max(1, z.flaps), z.now) { // a suspicion may become the first outage
		z.record.lazy = true
		z.incidents.update(func(i *Incident) { i.DisplacedJobs = len(z.displaced.jobs) })
	}
}

// Evacuating tells whether work of some zone may have to find room elsewhere.
func (m *Manager) Evacuating() bool {
	for _, z := range m.zones {
		if z.condition != Serving {
			return true
		}
	}
	return false
}

// Condition is what a zone is taken for.
func (m *Manager) Condition(name ids.Zone) Condition {
	if z := m.zones[name]; z != nil {
		return z.condition
	}
	return Serving
}

// Gated tells whether anything may be denied in a zone now.
func (m *Manager) Gated(name ids.Zone) bool {
	z := m.zones[name]
	return z != nil && (z.condition != Serving || z.flaps > 0 || z.override.Kind != OverrideNone || !z.record.allows(Serving))
}

// AnyGated tells whether anything may be denied in some zone now.
func (m *Manager) AnyGated() bool {
	for name := range m.zones {
		if m.Gated(name) {
			return true
		}
	}
	return false
}

// AnyRecovering tells whether some zone returns.
func (m *Manager) AnyRecovering() bool {
	for _, z := range m.zones {
		if z.condition == Recovering {
			return true
		}
	}
	return false
}

// ProvisioningLimit is how many machines may be on their way to a zone at once; limited is false
// where there is no limit.
func (m *Manager) ProvisioningLimit(name ids.Zone) (most int, limited bool) {
	z := m.zones[name]
	switch {
	case z == nil:
		return 0, false
	case z.override.Kind == OverrideHold || z.condition == Suspect || z.condition == Outage:
		return 0, true
	case z.condition == Recovering:
		return z.policy.provisioningLimit(z.record.allowedStep(z.ramp.step), z.machinesBefore), true
	}
	return 0, false
}

// CachesLostAt is when a zone that returns was lost: what its machines held before that may be
// gone. It is 0 for other zones.
func (m *Manager) CachesLostAt(name ids.Zone) monotonic.Instant {
	if z := m.zones[name]; z != nil && z.condition == Recovering {
		return z.darkAt
	}
	return 0
}

// ProbeRunLimit is how long a task that proves a zone is expected to run at most.
func (m *Manager) ProbeRunLimit() time.Duration { return m.policy.MaxProbeRun }

// Stats tells what the subsystem did so far.
func (m *Manager) Stats() Stats { return m.stats }

// Override carries out an operator's decision about a zone. The number that it returns is
// recorded once RecordedOverride has reached it.
func (m *Manager) Override(name ids.Zone, o Override, at ClockReading) uint64 {
	if len(o.Reason) > maxReason {
		o.Reason = o.Reason[:maxReason]
	}
	z := m.zone(name, at.Now)
	z.record.overrideSeq++
	z.apply(o, at)
	return z.record.overrideSeq
}

// RecordedOverride is the number of the newest decision about a zone that is recorded.
func (m *Manager) RecordedOverride(name ids.Zone) uint64 {
	if z := m.zones[name]; z != nil {
		return z.record.recordedSeq
	}
	return 0
}

// TakeTransitions hands out the changes of conditions since the last call.
func (m *Manager) TakeTransitions() []Transition {
	var out []Transition
	for _, name := range m.sortedZones() {
		z := m.zones[name]
		out = append(out, z.events...)
		z.events = nil
	}
	return out
}

// FailbackDenied tells whether some zone is closed to a job for its earlier moves: what it may
// do differs from what others like it may.
func (m *Manager) FailbackDenied(job ids.JobID) bool {
	for _, z := range m.zones {
		if z.displaced.budgetExhausted(job) && z.displaced.waits(job, z.now) {
			return true
		}
	}
	return false
}
