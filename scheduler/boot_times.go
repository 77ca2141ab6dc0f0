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

// bootTimes tracks how long machines take to boot and detects machines that are late. It ignores
// machines of previous leaders, since the time at which they were provisioned is not known.
type bootTimes struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings bootTimeSettings
	// factors holds, by machine type, the exponential moving average of the ratio of recent boot
	// times to the boot time in the catalog.
	factors map[ids.MachineType]float64
}

// bootTimeSettings holds the settings of bootTimes.
type bootTimeSettings struct {
	// maxFactor is the maximum ratio to the catalog's boot time that a single boot contributes.
	maxFactor float64
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
}

const (
	// lateBootFactor is the ratio to the recent boot times of its type above which a machine's boot
	// counts as late.
	lateBootFactor = 1.7
	// newBootWeight is the weight of the newest boot in the exponential moving average of a type.
	newBootWeight = 0.2
)

// record updates the moving average of a machine's type at the machine's first heartbeat. It ignores a
// machine that a previous leader provisioned, and one without a boot time in the catalog.
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

// late reports whether a machine takes so long to boot that it may never come up. Another machine is
// then provisioned for the tasks that wait for it. If all machines of its type currently take as long,
// the machine is not late, since another one would come up no sooner.
func (b *bootTimes) late(m *cluster.Machine) bool {
	if m.Agent.HeartbeatThisTerm || m.MachineType() == nil || !m.Lifecycle.ProvisionedThisTerm {
		return false
	}
	recent := max(1, b.factors[m.Type()])
	allowed := monotonic.Seconds(lateBootFactor*recent*m.MachineType().BootS) + b.settings.heartbeatInterval
	return b.clock.Now() > m.Lifecycle.KnownSince.Add(allowed)
}

// fastest returns the shortest boot time among the machine types that can hold a task of a job, or 0
// if there is none.
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
