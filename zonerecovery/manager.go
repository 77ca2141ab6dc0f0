package zonerecovery

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Manager owns the recovery state of all zones for one term of a leader. It answers which tasks
// may start and which machines may be provisioned in a zone, and hands out the records to write.
// It starts, stops and writes nothing itself, and is not safe for use by several goroutines.
//
// A zone that no method has named serves.
type Manager struct {
	policy *Policy
	zones  map[ids.Zone]*zone
	// sorted are the zones by name, so that results do not depend on the order of a map.
	sorted []*zone
	// baseline is the latency of starts in zones that do not recover.
	baseline     *startLatencies
	restorer     *restorer
	stats        Stats
	connectivity Connectivity
}

// Stats counts events of this term, for logs and measurements.
type Stats struct {
	// DisplacedTasks counts the tasks that were lost with a zone.
	DisplacedTasks int
	// Failbacks counts the jobs that returned to a zone that displaced them, within their
	// budget. ForcedFailbacks counts those that returned beyond it.
	Failbacks, ForcedFailbacks int
	// MaxFailbacksPerJob is how often the job that returned most often did so in one incident.
	MaxFailbacksPerJob int
}

// NewManager returns a manager without any zone. The policy must not change afterwards.
func NewManager(policy *Policy) *Manager {
	return &Manager{
		policy:   policy,
		zones:    map[ids.Zone]*zone{},
		baseline: newStartLatencies(),
		restorer: newRestorer(policy.Restore),
	}
}

// zoneNamed returns a zone, and adds it as one that serves if it is new.
func (m *Manager) zoneNamed(name ids.Zone, now monotonic.Instant) *zone {
	z := m.zones[name]
	if z == nil {
		z = newZone(name, m.policy, m.baseline, now)
		m.zones[name] = z
		m.sorted = append(m.sorted, z)
		slices.SortFunc(m.sorted, func(a, b *zone) int { return cmp.Compare(a.name(), b.name()) })
	}
	return z
}

// Load applies the record of a zone that an earlier leader wrote. It must be called before any other
// method for the zone.
func (m *Manager) Load(name ids.Zone, record *Record, revision ids.Revision, at ClockReading) {
	m.zoneNamed(name, at.Now).loadRecord(record, revision, at)
}

// LoadUnreadable takes the place of Load for a record that cannot be decoded. The zone counts as in
// outage.
func (m *Manager) LoadUnreadable(name ids.Zone, revision ids.Revision, at ClockReading) {
	m.zoneNamed(name, at.Now).loadUnreadable(revision, at)
}

// Observe applies the health of all zones, and updates their conditions. It reports whether
// the limits on starts have changed.
func (m *Manager) Observe(at ClockReading, observation Observation) (changed bool) {
	m.connectivity = observation.Connectivity
	view := leaderView{connectivity: observation.Connectivity, someZoneReachable: observation.someZoneReachable(m.policy)}
	for name := range observation.Zones {
		m.zoneNamed(name, at.Now)
	}
	for _, z := range m.sorted {
		before := z.startLimits()
		z.observe(at, observation.Zones[z.name()], view)
		changed = changed || z.startLimits() != before
	}
	return changed
}

// Override applies an operator's decision about a zone. The returned number is recorded once
// RecordedOverride has reached it.
func (m *Manager) Override(name ids.Zone, override Override, at ClockReading) (number uint64) {
	z := m.zoneNamed(name, at.Now)
	z.applyOverride(override.limited(), at)
	return z.override.decisions
}

// RecordedOverride returns the number of the newest decision about a zone that is recorded.
func (m *Manager) RecordedOverride(name ids.Zone) uint64 {
	if z := m.zones[name]; z != nil {
		return z.record.committed.override
	}
	return 0
}

// TakeTransitions returns the transitions of all zones since the last call.
func (m *Manager) TakeTransitions() []Transition {
	var transitions []Transition
	for _, z := range m.sorted {
		transitions = append(transitions, z.machine.takeTransitions()...)
	}
	return transitions
}

// Condition returns the condition of a zone.
func (m *Manager) Condition(name ids.Zone) Condition {
	if z := m.zones[name]; z != nil {
		return z.condition()
	}
	return Serving
}

// Evacuating reports whether some zone does not serve, so that its work may need capacity
// elsewhere.
func (m *Manager) Evacuating() bool {
	return m.anyZone(func(z *zone) bool { return z.condition() != Serving })
}

// AnyRecovering reports whether some zone recovers.
func (m *Manager) AnyRecovering() bool {
	return m.anyZone(func(z *zone) bool { return z.condition() == Recovering })
}

// Gated reports whether Admit may deny a task in a zone now.
func (m *Manager) Gated(name ids.Zone) bool {
	z := m.zones[name]
	return z != nil && z.gated()
}

// AnyGated reports whether Admit may deny a task in some zone now.
func (m *Manager) AnyGated() bool { return m.anyZone((*zone).gated) }

// anyZone reports whether a condition holds for some zone.
func (m *Manager) anyZone(holds func(*zone) bool) bool {
	return slices.ContainsFunc(m.sorted, holds)
}

// ProvisioningLimit returns how many machines may be provisioned in a zone at once. limited is
// false where there is no limit.
func (m *Manager) ProvisioningLimit(name ids.Zone) (limit int, limited bool) {
	if z := m.zones[name]; z != nil {
		return z.provisioningLimit()
	}
	return 0, false
}

// CachesLostAt returns when the outage began that a zone recovers from: what its machines had
// cached before may be gone. It is 0 for a zone that does not recover.
func (m *Manager) CachesLostAt(name ids.Zone) monotonic.Instant {
	if z := m.zones[name]; z != nil && z.condition() == Recovering {
		return z.machine.outages.lastBegan
	}
	return 0
}

// ProbeRunLimit returns how long a task may be expected to run that is eligible as a probe.
func (m *Manager) ProbeRunLimit() time.Duration { return m.policy.MaxProbeRun }

// Stats returns the counts of this term.
func (m *Manager) Stats() Stats { return m.stats }
