// Package placement decides which machine a task goes to: which machines a job allows, which
// have free resources, and which of them is best. It is pure: its functions hold no state, and the
// scheduler calls them with what it knows of jobs and machines.
package placement

import (
	"cmp"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Site is the type, zone and purchase option of machines.
type Site struct {
	Type ids.MachineType
	Zone ids.Zone
	Spot bool
}

// Compare orders sites: by type, then zone, ordinary machines before spot.
func (s Site) Compare(o Site) int {
	return cmp.Or(cmp.Compare(s.Type, o.Type), cmp.Compare(s.Zone, o.Zone), compareSpot(s.Spot, o.Spot))
}

// compareSpot orders ordinary machines before spot.
func compareSpot(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Allowed tells whether a job may use machines of a site.
func Allowed(s *wire.JobSpec, at Site) bool {
	if at.Spot && !s.Spot {
		return false
	}
	if s.Zone != "" && s.Zone != at.Zone {
		return false
	}
	return allowsType(s, at.Type)
}

// allowsType tells whether a job may use a machine type.
func allowsType(s *wire.JobSpec, name ids.MachineType) bool {
	return len(s.Types) == 0 || slices.Contains(s.Types, name)
}

// Fits tells whether a task of the job fits an empty machine of a type that the job allows.
func Fits(s *wire.JobSpec, t *wire.MachineType) bool {
	return allowsType(s, t.Name) && TaskResources(s).FitsIn(MachineResources(t))
}

// TasksByZone counts a job's tasks by zone, with those that may still run. Under the empty
// name it counts tasks whose zone is not known, which may be in any.
type TasksByZone map[ids.Zone]int

// Allows tells whether one more task in a zone keeps the job's OneZone and Spread. A spread
// job has at most half of its tasks, rounded up, in one zone.
func (z TasksByZone) Allows(s *wire.JobSpec, zone ids.Zone) bool {
	if s.OneZone && z.anyOutside(zone) {
		return false
	}
	if s.Spread && z[zone]+z[""]+1 > (s.Tasks+1)/2 {
		return false
	}
	return true
}

// anyOutside tells whether a task is, or may be, outside a zone.
func (z TasksByZone) anyOutside(zone ids.Zone) bool {
	for other, n := range z {
		if other != zone && n > 0 {
			return true
		}
	}
	return false
}
