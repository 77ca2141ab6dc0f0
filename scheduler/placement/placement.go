// Package placement decides on which machine a task is placed: which machines a job may use, which
// have enough free resources, and which of them scores best. Its functions are pure: the scheduler
// passes in the state of jobs and machines.
package placement

import (
	"cmp"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Site represents the type, zone and purchase option of machines.
type Site struct {
	Type ids.MachineType
	Zone ids.Zone
	Spot bool
}

// Compare orders sites by type, then zone, with on-demand machines before spot instances.
func (s Site) Compare(o Site) int {
	return cmp.Or(cmp.Compare(s.Type, o.Type), cmp.Compare(s.Zone, o.Zone), compareSpot(s.Spot, o.Spot))
}

// compareSpot orders on-demand machines before spot instances.
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

// Allowed reports whether a job may use machines of a site.
func Allowed(s *wire.JobSpec, at Site) bool {
	if at.Spot && !s.Spot {
		return false
	}
	if s.Zone != "" && s.Zone != at.Zone {
		return false
	}
	return allowsType(s, at.Type)
}

// allowsType reports whether a job may use a machine type.
func allowsType(s *wire.JobSpec, name ids.MachineType) bool {
	return len(s.Types) == 0 || slices.Contains(s.Types, name)
}

// TypesKey returns a string that is equal for two jobs if and only if both list the same machine types in the same
// order: the names, each ended by a zero byte.
func TypesKey(s *wire.JobSpec) string {
	var key strings.Builder
	for _, name := range s.Types {
		key.WriteString(string(name))
		key.WriteByte(0)
	}
	return key.String()
}

// Fits reports whether the job may use a machine type, and a task of the job fits on an empty machine
// of that type.
func Fits(s *wire.JobSpec, t *wire.MachineType) bool {
	// A single task never exceeds the space in the heartbeats, whatever the job's ID.
	return allowsType(s, t.Name) && TaskResources("", s).FitsIn(MachineResources(t))
}

// TasksByZone holds the number of a job's tasks in each zone, including tasks that may still run. The
// empty zone name counts tasks whose zone is unknown. They may be in any zone.
type TasksByZone map[ids.Zone]int

// Allows reports whether one more task in a zone satisfies the job's OneZone and Spread constraints.
// A spread job has at most half of its tasks, rounded up, in one zone.
func (z TasksByZone) Allows(s *wire.JobSpec, zone ids.Zone) bool {
	if s.OneZone && z.anyOutside(zone) {
		return false
	}
	if s.Spread && z[zone]+z[""]+1 > (s.Tasks+1)/2 {
		return false
	}
	return true
}

// anyOutside reports whether a task is, or may be, outside a zone.
func (z TasksByZone) anyOutside(zone ids.Zone) bool {
	for other, n := range z {
		if other != zone && n > 0 {
			return true
		}
	}
	return false
}
