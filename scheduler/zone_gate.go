package scheduler

import (
	"fmt"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneGate connects the scheduler with the state machines of package zonerecovery. It owns the
// manager of one term. The core and the other policies ask it whether a task may start or a
// machine may be provisioned in a zone, and notify it when tasks start, run and end. It passes
// the health of zones to the manager, writes zones' records, and moves replicas back.
//
// The gate can only deny: it never places or preempts a task, and the only tasks that it
// stops are replicas that are moved back. It is nil where zone recovery is off. The methods
// that other parts call accept a nil gate, which permits everything.
type zoneGate struct {
	manager *zonerecovery.Manager
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger

	// health and provisioning know the machines, and those that are requested or boot.
	health       zoneMachineHealth
	provisioning zoneProvisioningState
	// latency and estimates tell which work is critical, and which may be a probe.
	latency   latencySensitivity
	estimates runTimeEstimates
	// reservations, failures and lifecycle serve the moves of replicas.
	reservations machineReservations
	failures     machineAntiAffinity
	lifecycle    replicaStopper

	// connectivity is what the leader last knew of its own connections.
	connectivity zonerecovery.Connectivity
	// transitions are those since the last takeTransitions.
	transitions []zonerecovery.Transition
	records     zoneRecords
	// booting counts the machines that are requested or boot, by zone, as of bootingAt.
	booting   map[ids.Zone]int
	bootingAt monotonic.Instant
	// restorePlannedAt is when a move of a replica was last planned.
	restorePlannedAt monotonic.Instant
}

// zoneMachineHealth judges which machines can be used.
type zoneMachineHealth interface {
	// heartbeatTimeout is how long a machine may be silent between two heartbeats.
	heartbeatTimeout() time.Duration
	takesTasks(m *cluster.Machine) bool
}

// zoneProvisioningState tells what the cloud was asked for in a zone.
type zoneProvisioningState interface {
	// bootingByZone counts the machines that are requested or boot.
	bootingByZone() map[ids.Zone]int
	// zoneRefused tells whether the cloud recently refused every type of machine in a zone.
	zoneRefused(zone ids.Zone) bool
}

// clockReading reads both clocks. If the wall time is not known, the monotonic time is used
// for it, which suffices to compare times that one process wrote.
func (g *zoneGate) clockReading() zonerecovery.ClockReading {
	wallMS := g.clock.WallMS()
	if wallMS == 0 {
		wallMS = time.Duration(g.clock.Now()).Milliseconds()
	}
	return zonerecovery.ClockReading{Now: g.clock.Now(), Wall: time.UnixMilli(wallMS)}
}

// begin counts the tasks that previous leaders placed as starts in flight, until heartbeats
// show that they run.
func (g *zoneGate) begin() {
	if g == nil {
		return
	}
	for _, m := range g.cluster.Machines() {
		if m.Zone() == "" {
			continue // an older version wrote its record without the zone; its heartbeat names it
		}
		for _, a := range m.Assignments() {
			g.manager.TaskInherited(m.Zone(), g.startRequest(a.Job, a.Index, m), g.clock.Now())
		}
	}
}

// summarize adds the zones that are not serving or are overridden, and the counts of moved
// tasks, to the summary.
func (g *zoneGate) summarize(b *strings.Builder) {
	if g == nil {
		return
	}
	for _, status := range g.manager.Status(g.clockReading()) {
		if status.Condition != zonerecovery.Serving || status.Override != zonerecovery.OverrideNone {
			fmt.Fprintf(b, " zone-%s=%s/%d/%s", status.Zone, status.Condition, status.Step, status.Override)
		}
	}
	if stats := g.manager.Stats(); stats.DisplacedTasks > 0 {
		fmt.Fprintf(b, " displaced=%d bounced=%d forced=%d", stats.DisplacedTasks, stats.Failbacks, stats.ForcedFailbacks)
	}
}
