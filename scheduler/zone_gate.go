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

// zoneGate connects the scheduler to the state machines of package zonerecovery. It owns the
// manager of one term. It reports to the core and the other components whether a task may start or a
// machine may be provisioned in a zone, and they notify it when tasks start, run and end. It
// passes the health of zones to the manager, writes the records of zones, and moves replicas back
// to recovered zones.
//
// The gate can only deny. It never places or preempts a task, and the only tasks that it stops are
// replicas that are moved back. It is nil if zone recovery is off. The methods that other
// components call accept a nil gate, which permits everything.
type zoneGate struct {
	manager *zonerecovery.Manager
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger

	// health reports on machines, and provisioning on those that are requested or booting.
	health       zoneMachineHealth
	provisioning zoneProvisioningState
	// latency and estimates determine which jobs are critical and which may probe a zone.
	latency   latencySensitivity
	estimates runTimeEstimates
	// reservations, failures and lifecycle are used to move replicas back.
	reservations machineReservations
	failures     machineAntiAffinity
	lifecycle    replicaStopper

	// connectivity is the last known state of the leader's connections.
	connectivity zonerecovery.Connectivity
	// transitions are the zone transitions since the last call of takeTransitions.
	transitions []zonerecovery.Transition
	records     zoneRecords
	// booting is the number of machines that are requested or booting in each zone, as of
	// bootingAt.
	booting   map[ids.Zone]int
	bootingAt monotonic.Instant
	// restorePlannedAt is when a replica move was last planned.
	restorePlannedAt monotonic.Instant
}

// zoneMachineHealth reports which machines are usable.
type zoneMachineHealth interface {
	// heartbeatTimeout returns the time after which a machine's next heartbeat is overdue.
	heartbeatTimeout() time.Duration
	takesTasks(m *cluster.Machine) bool
}

// zoneProvisioningState reports the state of requests for machines in zones.
type zoneProvisioningState interface {
	// bootingByZone returns the number of machines that are requested or booting in each zone.
	bootingByZone() map[ids.Zone]int
	// zoneRefused reports whether the cloud recently refused every machine type in a zone.
	zoneRefused(zone ids.Zone) bool
}

// clockReading returns the time of the monotonic clock and of the wall clock. If the wall time is
// unknown, the monotonic time replaces it, which suffices to compare times that one process wrote.
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
			continue // older versions record no zone; the machine's heartbeat contains it
		}
		for _, a := range m.Assignments() {
			g.manager.TaskInherited(m.Zone(), g.startRequest(a.Job, a.Index, m), g.clock.Now())
		}
	}
}

// summarize adds the zones that are not serving or are overridden to the summary, and the counts of
// displaced tasks and of failbacks if a task was displaced.
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
