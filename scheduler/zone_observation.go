package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// observe passes the health of all zones to the manager. It is called after each health check of
// the machines.
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

// takeTransitions returns the transitions of zones since the last call, up to the last
// observation.
func (g *zoneGate) takeTransitions() []zonerecovery.Transition {
	if g == nil {
		return nil
	}
	transitions := g.transitions
	g.transitions = nil
	return transitions
}

// processResumed reports whether this process was paused a short time ago, so that heartbeats that
// arrived in the meantime may still be unread.
func (g *zoneGate) processResumed() bool {
	resumedAt := g.clock.ResumedAt()
	return resumedAt != 0 && g.clock.Now() < resumedAt.Add(g.health.heartbeatTimeout())
}

// zoneHealth returns the health of each zone.
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

// countsAsEvidence reports whether the state of a machine is evidence for the health of its zone.
// Such a machine has sent this leader a heartbeat or holds tasks according to the records, and is
// not being terminated.
func countsAsEvidence(m *cluster.Machine) bool {
	known := m.Agent.HeartbeatThisTerm || len(m.Assignments()) > 0
	return known && m.Zone() != "" && !m.Lifecycle.Terminating
}

// countMachine adds a machine to the counts in the health of its zone.
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
