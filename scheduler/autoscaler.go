package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// planInterval is the interval between two plans of the autoscaler.
const planInterval = time.Second

// autoscaler decides which machines to provision and which idle machines to terminate. The core
// calls plan in each step and takeDecisions after it. Other components query and update it through
// the methods at the end of this file. The autoscaler never places, stops or moves a task.
type autoscaler struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings autoscalerSettings
	health   autoscalerHealth
	zones    zoneProvisioning

	// classes, boots and spot hold the observations of this term.
	classes *classDemands
	boots   *bootTimes
	spot    *spotLosses
	// waiting, headroom and replacements each add one kind of demand to a plan.
	waiting      *waitingDemand
	headroom     *headroom
	replacements *replacementDemand
	provisioner  *provisioner
	scaleIn      *scaleIn

	plannedAt monotonic.Instant
}

// autoscalerHealth reports which machines are usable and which zones are partitioned.
type autoscalerHealth interface {
	machineUsability
	zonePartitioned(zone ids.Zone) bool
}

// zoneProvisioning limits provisioning in a zone that recovers.
type zoneProvisioning interface {
	provisioningLimiter
	// blocksProvisioning reports whether no machine may be requested in a zone now.
	blocksProvisioning(zone ids.Zone) bool
	// addRecoveringCapacity passes the free resources of machines in recovering zones to add.
	addRecoveringCapacity(add func(placement.Site, placement.Resources))
}

// begin starts the term. The first plan is due one interval later.
func (as *autoscaler) begin() { as.plannedAt = as.clock.Now() }

// plan requests machines for tasks that fit on no machine, and terminates idle machines. It does
// nothing if planInterval has not passed since the last plan.
func (as *autoscaler) plan() {
	now := as.clock.Now()
	if now < as.plannedAt.Add(planInterval) {
		return
	}
	as.spot.countUptime(now.Sub(as.plannedAt))
	as.plannedAt = now
	as.classes.update()
	if !as.machineListCurrent() {
		return
	}
	planner := as.newPlanner()
	as.waiting.addTo(planner)
	as.headroom.addTo(planner)
	as.replacements.addTo(planner) // must be last: it adds free resources that the others must not count
	for _, machines := range planner.MachineRequests() {
		as.provisioner.request(machines)
	}
	as.scaleIn.terminateIdleMachines()
}

// machineListCurrent reports whether the list of machines includes all machines that a previous
// leader provisioned. Planning with an earlier list would provision the same demand twice.
func (as *autoscaler) machineListCurrent() bool {
	if !as.settings.previousLeader {
		return true
	}
	return as.clock.Now() >= as.clock.TermStart().Add(2*as.settings.listLag)
}

// newPlanner returns a planner that counts machines that are booting or requested as capacity.
func (as *autoscaler) newPlanner() *fleet.Planner {
	planner := &fleet.Planner{
		Types:          as.cluster.Types(),
		Blocked:        as.blocked,
		MachinesBySite: map[placement.Site]int{},
		MaxMachines:    as.remainingMachines(),
	}
	for _, m := range as.cluster.Machines() {
		planner.MachinesBySite[m.Site()]++
		if m.Booting() && m.MachineType() != nil && !as.boots.late(m) {
			planner.AddCapacity(m.Site(), m.Free())
		}
	}
	as.zones.addRecoveringCapacity(planner.AddCapacity)
	as.addRequested(planner)
	return planner
}

// addRequested adds the machines of requests in flight to the planner.
func (as *autoscaler) addRequested(planner *fleet.Planner) {
	requested := as.provisioner.machinesInFlight
	for _, site := range slices.SortedFunc(maps.Keys(requested), placement.Site.Compare) {
		planner.MachinesBySite[site] += requested[site]
		machineType := as.cluster.Type(site.Type)
		if machineType == nil {
			continue
		}
		for range requested[site] {
			planner.AddCapacity(site, placement.MachineResources(machineType))
		}
	}
}

// remainingMachines returns how many more machines may be requested. The result is negative if
// the limit is already exceeded.
func (as *autoscaler) remainingMachines() int {
	if as.settings.maxMachines <= 0 {
		return math.MaxInt32
	}
	remaining := as.settings.maxMachines - len(as.cluster.Machines())
	for _, count := range as.provisioner.machinesInFlight {
		remaining -= count
	}
	return remaining
}

// blocked reports whether no machine should be requested at a site now.
func (as *autoscaler) blocked(site placement.Site) bool {
	return as.health.zonePartitioned(site.Zone) || as.zones.blocksProvisioning(site.Zone) || as.provisioner.backsOff(site)
}

// takeDecisions returns the requests for machines that were decided on since the last call.
func (as *autoscaler) takeDecisions() []wire.ProvisionRequest { return as.provisioner.takeDecisions() }

// recordArrival counts a job that became ready.
func (as *autoscaler) recordArrival(spec *wire.JobSpec) { as.classes.recordArrival(spec) }

// recordBoot records the boot time of a machine at its first heartbeat.
func (as *autoscaler) recordBoot(m *cluster.Machine) { as.boots.record(m) }

// recordSpotLoss counts a spot instance that the cloud reclaimed or announced to reclaim.
func (as *autoscaler) recordSpotLoss() { as.spot.record() }

// spotRisk returns the expected number of times that a spot instance is reclaimed while one task
// of a job runs on it.
func (as *autoscaler) spotRisk(j *cluster.Job) float64 { return as.spot.risk(j) }

// zoneRefused reports whether the cloud recently lacked capacity for every machine type in a zone.
func (as *autoscaler) zoneRefused(zone ids.Zone) bool { return as.provisioner.zoneRefused(zone) }

// bootingByZone returns the number of machines that are requested or booting in each zone.
func (as *autoscaler) bootingByZone() map[ids.Zone]int { return as.provisioner.bootingByZone() }
