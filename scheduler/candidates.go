package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// candidateList holds the machines that take tasks in the current scheduling round. It also counts
// the machines that rounds examine. This count measures the work of rounds without a clock.
type candidateList struct {
	machines []*cluster.Machine // sorted by ID
	zones    []ids.Zone
	// examined is the number of machines that all rounds of the term have examined.
	examined uint64
}

// collect updates the list to the machines that take tasks now, and counts all machines as examined.
func (l *candidateList) collect(all []*cluster.Machine, health machineUsability) {
	l.machines, l.zones = l.machines[:0], l.zones[:0]
	for _, m := range all {
		if !health.takesTasks(m) {
			continue
		}
		l.machines = append(l.machines, m)
		if !slices.Contains(l.zones, m.Zone()) {
			l.zones = append(l.zones, m.Zone())
		}
	}
	l.examined += uint64(len(all))
}
