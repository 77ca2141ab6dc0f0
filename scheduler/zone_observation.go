package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// observe passes the health of all zones to the manager. It is called with each health
// check of the machines.
func (g *zoneGate) observe() {
	if g == nil {
		return
	}
	observation := zonerecovery.Observation{Zones: g.zoneHealth(), Connectivity: g.connectivity}
	observation.Connectivity.ProcessResumed = g.processResumed()
	if g.manager.Observe(g.clockReading(), observation) {
		g.rounds.MarkDue()
	}
	g.transitions = append(g.transitions, g.manager.TakeTransitions()...)
}

// takeTransitions returns the transitions of zones up to the last observation that it has
// not returned yet.
func (g *zoneGate) takeTransitions() []zonerecovery.Transition {
	if g == nil {
		return nil
	}
	transitions := g.transitions
	g.transitions = nil
	return transitions
}

// processResumed tells whether this process was paused a short time ago, so that heartbeats
// that came meanwhile may be still unread.
func (g *zoneGate) processResumed() bool {
	resumedAt := g.clock.ResumedAt()
	return resumedAt != 0 && g.clock.Now() < resumedAt.Add(g.health.heartbeatTimeout())
}

// zoneHealth counts the machines of each zone.
func (g *zoneGate) zoneHealth() map[ids.Zone]zonerecovery.ZoneHealth {
	zones := map[ids.Zone]zonerecovery.ZoneHealth{}
	for _, m := range g.cluster.Machines() {
		if countsAsEvidence(m) {
			health := zones[m.Zone()]
			g.countMachine(&health, m)
			zones[m.Zone()] = health
		}
	}
	for zone, health := range zones {
		health.CapacityRefused = g.provisioning.zoneRefused(zone)
		zones[zone] = health
	}
	return zones
}

// countsAsEvidence tells whether a machine says something about its zone: it sent this
// leader a heartbeat or holds tasks by the records, and is not being terminated.
func countsAsEvidence(m *cluster.Machine) bool {
	known := m.Agent.HeartbeatThisTerm || len(m.Assignments()) > 0
	return known && m.Zone() != "" && !m.Lifecycle.Terminating
}

// countMachine adds a machine to the health of its zone.
func (g *zoneGate) countMachine(health *zonerecovery.ZoneHealth, m *cluster.Machine) {
	health.Machines++
	switch {
	case m.NoHeartbeatFor(g.clock.Now(), g.health.heartbeatTimeout()):
		health.Unreachable++
	case m.Agent.HeartbeatThisTerm:
		health.Reachable++
	}
	if m.Lifecycle.ListedStatus == wire.MachineFailed {
		health.Failed++
	}
}
