// Package fleet decides which machines to provision for tasks that could not be placed, and for tasks
// that are expected to need resources soon.
//
// The scheduler's autoscaler creates a Planner for each decision, adds the machines whose free resources
// the tasks may use, adds the demand job by job, and reads the machines to request. A Backoff lives as
// long as the autoscaler. The package reads no clock and starts no goroutine. Its types aren't safe for
// concurrent use.
package fleet

import (
	"maps"
	"slices"

	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Demand represents a number of tasks of one job, or with the requirements of one job, that need
// resources.
type Demand struct {
	Spec  *wire.JobSpec
	Need  placement.Resources // of each task
	Count int
	Zones placement.TasksByZone // the tasks of the job that are already placed
}

// MachineRequest represents a number of machines to provision at a site.
type MachineRequest struct {
	placement.Site
	Count int
}

// Planner packs demand into the capacity that was added and requests machines for the rest.
// The exported fields are set before the first Add.
type Planner struct {
	Types []wire.MachineType
	// Blocked reports whether no machine may be requested at a site.
	Blocked func(placement.Site) bool
	// MachinesBySite holds the number of existing machines, so that requests spread over zones.
	MachinesBySite map[placement.Site]int
	// MaxMachines is the number of machines that may still be requested.
	MaxMachines int

	// BinsExamined is the number of times that a bin was examined, as a measure of the work done.
	BinsExamined int

	bins     []*bin
	requests map[placement.Site]int
	// firstBin holds the index of the first bin that may still accept a task with the given
	// requirements. Free resources only shrink, so earlier bins are not examined again: with
	// thousands of waiting jobs and booting machines, that would take millions of comparisons.
	firstBin map[requirements]int
}

// AddCapacity adds the free resources of a machine that exists or is already requested. Demand that is
// added later uses them before another machine is requested.
func (p *Planner) AddCapacity(s placement.Site, free placement.Resources) {
	p.bins = append(p.bins, &bin{s, free})
}

// Add packs the tasks of a job into the bins, and requests machines for those that do not
// fit, as long as a site is available for them.
func (p *Planner) Add(d Demand) {
	if p.requests == nil {
		p.requests, p.firstBin = map[placement.Site]int{}, map[requirements]int{}
	}
	zones := placement.TasksByZone{}
	maps.Copy(zones, d.Zones)
	remaining := p.fillBins(d, zones)
	for remaining > 0 {
		best, ok := p.cheapestOffer(d, zones)
		if !ok {
			return
		}
		p.requests[best.site]++
		p.MaxMachines--
		b := &bin{best.site, placement.MachineResources(best.machineType)}
		p.bins = append(p.bins, b)
		remaining -= b.fill(d, zones, remaining)
	}
}

// fillBins packs the tasks of a job into the bins, and returns how many did not fit.
func (p *Planner) fillBins(d Demand, zones placement.TasksByZone) int {
	remaining := d.Count
	for _, b := range p.bins[p.skipFullBins(d):] {
		if remaining == 0 {
			return 0
		}
		p.BinsExamined++
		remaining -= b.fill(d, zones, remaining)
	}
	return remaining
}

// skipFullBins returns the index of the first bin that may accept a task of a job.
func (p *Planner) skipFullBins(d Demand) int {
	key := requirementsOf(d)
	first := p.firstBin[key]
	for first < len(p.bins) && !p.bins[first].accepts(d) {
		p.BinsExamined++
		first++
	}
	p.firstBin[key] = first
	return first
}

// MachineRequests returns the requests in the order of their sites.
func (p *Planner) MachineRequests() []MachineRequest {
	var machineRequests []MachineRequest
	for s, n := range p.requests {
		machineRequests = append(machineRequests, MachineRequest{s, n})
	}
	slices.SortFunc(machineRequests, func(a, b MachineRequest) int { return a.Site.Compare(b.Site) })
	return machineRequests
}
