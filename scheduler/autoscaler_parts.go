package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// autoscalerSettings holds the settings of the autoscaler and its parts.
type autoscalerSettings struct {
	// revision is the revision of the leader key.
	revision ids.Revision
	// previousLeader reports whether another leader may have acted before this term.
	previousLeader bool
	// listLag is the maximum staleness of the cloud's list of machines.
	listLag time.Duration
	// maxMachines is the maximum number of machines in the fleet. 0 means no limit.
	maxMachines int
	// capacityBackoff is the initial backoff of a site that lacked capacity.
	capacityBackoff time.Duration
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
	boots             bootTimeSettings
	headroom          headroomSettings
	scaleIn           scaleInSettings
}

// autoscalerSettingsOf returns the settings of the autoscaler.
func autoscalerSettingsOf(opt *Options) autoscalerSettings {
	return autoscalerSettings{
		revision:          opt.Revision,
		previousLeader:    opt.PreviousLeader,
		listLag:           opt.ListLag,
		maxMachines:       opt.MaxMachines,
		capacityBackoff:   opt.CapacityBackoff,
		heartbeatInterval: opt.HeartbeatInterval,
		boots:             bootTimeSettings{maxFactor: opt.BootFactor, heartbeatInterval: opt.HeartbeatInterval},
		headroom:          headroomSettings{latencySensitive: opt.LatencySensitive, peakFraction: opt.Headroom},
		scaleIn: scaleInSettings{
			idleTimeout:         opt.IdleTimeout,
			headroomIdleTimeout: opt.HeadroomIdleTimeout,
			spotIdleFactor:      opt.SpotIdleFactor,
		},
	}
}

// autoscalerPeers holds the other components that the autoscaler queries.
type autoscalerPeers struct {
	queue     *jobQueue
	quota     *quotaCheck
	quotas    *quota.Tracker
	estimates *runEstimates
	health    autoscalerHealth
	zones     zoneProvisioning
	registry  idleMachineTerminator
}

// newAutoscaler returns an autoscaler without observations. connect must be called before the
// first plan.
func newAutoscaler(settings autoscalerSettings, state *cluster.State, now *clock.Clock, rounds *clock.RoundTrigger) *autoscaler {
	return &autoscaler{
		cluster:  state,
		clock:    now,
		settings: settings,
		classes:  &classDemands{cluster: state, clock: now, byClass: map[string]*classDemand{}},
		boots: &bootTimes{
			cluster:  state,
			clock:    now,
			settings: settings.boots,
			factors:  map[ids.MachineType]float64{},
		},
		spot: &spotLosses{cluster: state},
		provisioner: &provisioner{
			cluster:          state,
			clock:            now,
			rounds:           rounds,
			backoff:          fleet.NewBackoff(settings.capacityBackoff),
			revision:         settings.revision,
			requestsInFlight: map[placement.Site]int{},
			machinesInFlight: map[placement.Site]int{},
		},
	}
}

// connect creates the parts of the autoscaler that query other components. It is separate from
// newAutoscaler because some of these components query the autoscaler in turn.
func (as *autoscaler) connect(peers autoscalerPeers) {
	as.health, as.zones = peers.health, peers.zones
	as.provisioner.zones = peers.zones
	as.waiting = &waitingDemand{
		cluster:   as.cluster,
		clock:     as.clock,
		queue:     peers.queue,
		quota:     peers.quota,
		quotas:    peers.quotas,
		estimates: peers.estimates,
		health:    peers.health,
		boots:     as.boots,
	}
	as.headroom = &headroom{
		cluster:  as.cluster,
		clock:    as.clock,
		classes:  as.classes,
		boots:    as.boots,
		health:   peers.health,
		settings: as.settings.headroom,
	}
	as.replacements = &replacementDemand{
		cluster:           as.cluster,
		clock:             as.clock,
		health:            peers.health,
		heartbeatInterval: as.settings.heartbeatInterval,
	}
	as.scaleIn = &scaleIn{
		cluster:  as.cluster,
		clock:    as.clock,
		headroom: as.headroom,
		health:   peers.health,
		registry: peers.registry,
		settings: as.settings.scaleIn,
	}
}
