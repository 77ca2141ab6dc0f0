package zonerecovery

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Manager holds the recovery state of all zones for one term of a leader. It decides which tasks may
// start and how many machines may be provisioned in a zone, and returns the records to write. It
// starts, stops and writes nothing itself, and is not safe for concurrent use.
//
// A zone that has not been passed to any method counts as serving.
type Manager struct {
	policy *Policy
	zones  map[ids.Zone]*zone
	// sorted holds the zones by name, so that results do not depend on the order of a map.
	sorted []*zone
	// baseline is the latency of starts in zones that do not recover.
	baseline     *startLatencies
	restorer     *restorer
	stats        Stats
	connectivity Connectivity
}

// Stats holds counts of events of this term, for logs and measurements.
type Stats struct {
	// DisplacedTasks counts the tasks that were lost with their machines in zones that did not
	// serve.
	DisplacedTasks int
	// Failbacks counts how often jobs returned, within their budget, to a zone that displaced
	// them. ForcedFailbacks counts how often they returned beyond it.
	Failbacks, ForcedFailbacks int
	// MaxFailbacksPerJob is the highest number of failbacks of a job in one incident.
	MaxFailbacksPerJob int
}

// NewManager returns a manager without zones. The policy must not change afterwards.
func NewManager(policy *Policy) *Manager {
	return &Manager{
		policy:   policy,
		zones:    map[ids.Zone]*zone{},
		baseline: newStartLatencies(),
		restorer: newRestorer(policy.Restore),
	}
}

// zoneNamed returns the zone with the given name. It adds an unknown zone, which serves.
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

// Load restores the state of a zone from the record that a previous leader wrote. It must be called
// before any other method for the zone.
func (m *Manager) Load(name ids.Zone, record *Record, revision ids.Revision, at ClockReading) {
	m.zoneNamed(name, at.Now).loadRecord(record, revision, at)
}

// LoadUnreadable is called instead of Load for a record that cannot be decoded. The zone counts as in
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

// Override applies an operator's decision about a zone, and returns its number. The decision is
// recorded once RecordedOverride returns this number or a higher one.
func (m *Manager) Override(name ids.Zone, override Override, at ClockReading) (number uint64) {
	z := m.zoneNamed(name, at.Now)
	z.applyOverride(override.limited(), at)
	return z.override.decisions
}

// RecordedOverride returns the number of the newest recorded decision about a zone.
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

// Evacuating reports whether some zone does not serve, so that its work may need capacity in other
// zones.
func (m *Manager) Evacuating() bool {
	return m.anyZone(func(z *zone) bool { return z.condition() != Serving })
}

// AnyRecovering reports whether some zone is recovering.
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

// anyZone reports whether holds is true for some zone.
func (m *Manager) anyZone(holds func(*zone) bool) bool {
	return slices.ContainsFunc(m.sorted, holds)
}

// ProvisioningLimit returns how many machines may be provisioned in a zone at once. limited reports
// whether there is a limit.
func (m *Manager) ProvisioningLimit(name ids.Zone) (limit int, limited bool) {
	if z := m.zones[name]; z != nil {
		return z.provisioningLimit()
	}
	return 0, false
}

// CachesLostAt returns when the outage began from which a zone is recovering. What the zone's machines
// cached before that may be lost. It returns 0 for a zone that is not recovering.
func (m *Manager) CachesLostAt(name ids.Zone) monotonic.Instant {
	if z := m.zones[name]; z != nil && z.condition() == Recovering {
		return z.machine.outages.lastBegan
	}
	return 0
}

// ProbeRunLimit returns the longest expected run time of a task that is eligible as a probe.
func (m *Manager) ProbeRunLimit() time.Duration { return m.policy.MaxProbeRun }

// Stats returns the counts of this term.
func (m *Manager) Stats() Stats { return m.stats }
