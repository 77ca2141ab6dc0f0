package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// bootTimes learns how long machines take to boot, and tells which of them are late.
// It ignores machines of previous leaders, since it is not known when they were provisioned.
type bootTimes struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings bootTimeSettings
	// factors holds, by machine type, a running mean of how many times the catalog's boot
	// time recent boots took.
	factors map[ids.MachineType]float64
}

// bootTimeSettings are the settings of boot times.
type bootTimeSettings struct {
	// maxFactor bounds how many times the catalog's boot time one boot counts for.
	maxFactor float64
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
}

const (
	// lateBootFactor is how many times as long as recent boots of its type a machine may
	// take before it counts as late.
	lateBootFactor = 1.7
	// newBootWeight is the weight of the newest boot in the running mean.
	newBootWeight = 0.2
)

// record learns from the first heartbeat of a machine.
func (b *bootTimes) record(m *cluster.Machine) {
	if m.MachineType() == nil || !m.Lifecycle.ProvisionedThisTerm || m.MachineType().BootS <= 0 {
		return
	}
	took := b.clock.Now().Sub(m.Lifecycle.KnownSince).Seconds()
	factor := min(took/m.MachineType().BootS, b.settings.maxFactor)
	if mean := b.factors[m.Type()]; mean > 0 {
		factor = (1-newBootWeight)*mean + newBootWeight*factor
	}
	b.factors[m.Type()] = factor
}

// late tells whether a machine takes so long to boot that it may never come up. Another is
// then provisioned for the tasks that wait for it, unless all machines of its type take as
// long now: another would come up no sooner.
func (b *bootTimes) late(m *cluster.Machine) bool {
	if m.Agent.HeartbeatThisTerm || m.MachineType() == nil || !m.Lifecycle.ProvisionedThisTerm {
		return false
	}
	recent := max(1, b.factors[m.Type()])
	allowed := monotonic.Seconds(lateBootFactor*recent*m.MachineType().BootS) + b.settings.heartbeatInterval
	return b.clock.Now() > m.Lifecycle.KnownSince.Add(allowed)
}

// fastest is the shortest boot time among the types that can hold a task of a job; 0 if
// none can.
func (b *bootTimes) fastest(spec *wire.JobSpec) time.Duration {
	fastest := time.Duration(0)
	types := b.cluster.Types()
	for i := range types {
		if !placement.Fits(spec, &types[i]) {
			continue
		}
		boot := monotonic.Seconds(types[i].BootS)
		if fastest == 0 || boot < fastest {
			fastest = boot
		}
	}
	return fastest
}
