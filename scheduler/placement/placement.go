// Package placement decides which machine a task goes to.
package placement

import (
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// slack keeps sums of decimal amounts from failing a comparison by rounding.
const slack = 1e-9

// Resources is what a task takes of a machine, or a machine offers.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources is what one task of a job takes.
func TaskResources(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// MachineResources is what a machine of a type offers.
func MachineResources(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus adds.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus subtracts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// FitsIn tells whether r fits into o.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUs <= o.CPUs+slack && r.GPUs <= o.GPUs+slack && r.MemoryGB <= o.MemoryGB+slack
}

// Site is where a machine stands and what kind it is.
type Site struct {
	Type ids.MachineType
	Zone ids.Zone
	Spot bool
}

// Compare orders sites: by type, then zone, ordinary machines before spot.
func (s Site) Compare(o Site) int {
	switch {
	case s.Type != o.Type:
		return strings.Compare(string(s.Type), string(o.Type))
	case s.Zone != o.Zone:
		return strings.Compare(string(s.Zone), string(o.Zone))
	case s.Spot == o.Spot:
		return 0
	case o.Spot:
		return -1
	}
	return 1
}

// Allowed tells whether a job may use a site at all.
func Allowed(s *wire.JobSpec, at Site) bool {
	if at.Spot && !s.Spot {
		return false
	}
	if s.Zone != "" && s.Zone != at.Zone {
		return false
	}
	return len(s.Types) == 0 || slices.Contains(s.Types, at.Type)
}

// Fits tells whether a task of the job fits an empty machine of a type.
func Fits(s *wire.JobSpec, t *wire.MachineType) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && TaskResources(s).FitsIn(MachineResources(t))
}

// TasksByZone counts a job's tasks by zone. What may still be on a machine counts.
// Tasks whose zone is not known, under the empty name, may be in any.
type TasksByZone map[ids.Zone]int

// Allows tells whether one more task in a zone keeps oneZone and spread.
func (z TasksByZone) Allows(s *wire.JobSpec, zone ids.Zone) bool {
	if s.OneZone {
		for other, n := range z {
			if other != zone && n > 0 {
				return false
			}
		}
	}
	if s.Spread && z[zone]+z[""]+1 > (s.Tasks+1)/2 {
		return false
	}
	return true
}

// Candidate is one machine as seen by a task that looks for a place.
type Candidate struct {
	Site
	Free, Total      Resources
	Cached           bool    // the image is there
	Fetching         bool    // the image is on its way
	SameJob          int     // tasks of the same job on the machine
	SameZone         int     // tasks of the same job in the zone
	RunsServices     bool    // services keep the machine
	LatencySensitive bool    // the job's class must start within seconds
	SpotRisk         float64 // chance that a spot machine is taken during the task
	Suspect          bool    // the machine failed tasks or runs them slowly
	Preferred        bool    // a replica was stopped to be moved there
	Unproven         bool    // the zone has been lost and has yet to show that it works
}

// unprovenZonePenalty is what a zone that was lost a moment ago counts for a service: more
// than a cached image, less than one where starts must come within seconds.
const unprovenZonePenalty = 40

// preferredZoneBonus outweighs all but a machine that fails its tasks.
const preferredZoneBonus = 300

// Score ranks offers for a job; the largest goes first. Kind of machine weighs
// most, since spot work on ordinary machines takes room from work that has no
// choice, and for classes that must start within seconds the image does.
func Score(s *wire.JobSpec, o *Candidate) float64 {
	score := 0.0
	image := 25.0
	if o.LatencySensitive {
		image = 100
	}
	switch {
	case o.Cached:
		score += image
	case o.Fetching:
		score += image * 0.4
	}
	// A service stays for long. Where one stays already, the next costs
	// nothing more; elsewhere it keeps a machine from being returned.
	if o.RunsServices && !o.Spot {
		score += 20
	}
	if s.Spot && o.Spot && !o.LatencySensitive {
		score += 60 - min(200, 800*o.SpotRisk)
	}
	if o.Suspect {
		score -= 500
	}
	if o.Preferred {
		score += preferredZoneBonus
	}
	if s.Service && o.Unproven {
		score -= unprovenZonePenalty
	}
	if s.Service {
		score -= 15*float64(o.SameJob) + 5*float64(o.SameZone)
	}
	if o.Total.CPUs > 0 {
		left := (o.Free.CPUs - s.CPUs) / o.Total.CPUs
		score += 10 * (1 - left)
	}
	return score
}
