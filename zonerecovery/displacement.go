package zonerecovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// displacedJob is a job that lost tasks with a zone in the present incident.
type displacedJob struct {
	// losses counts the times that the zone was dark and took tasks of the job, lastSpell
	// the newest of them.
	losses    int
	lastSpell int
	// restored counts the replicas that were moved back.
	restored int
	// lostAt is when it last lost a task: its patience counts from then.
	lostAt monotonic.Instant
	// returns counts the times that a task of the job was placed in the zone again after
	// a loss, at most once for each; those that patience forced are not counted.
	returns       int
	returnedSpell int
}

// displacements are the jobs that an incident displaced.
type displacements struct {
	// spell numbers the times that the zone got dark in this incident.
	spell int
	jobs  map[ids.JobID]*displacedJob
}

// lose notes that the zone took a task of a job. It tells whether the record changed.
func (d *displacements) lose(job ids.JobID, now monotonic.Instant) bool {
	entry := d.jobs[job]
	if entry == nil {
		entry = &displacedJob{}
		d.jobs[job] = entry
	}
	entry.lostAt = now
	spell := max(1, d.spell) // a suspicion may still become the first
	if entry.lastSpell == spell {
		return false
	}
	entry.losses++
	entry.lastSpell = spell
	return true
}

// comeBack notes that a task of a job was placed in the zone. It tells whether that is a
// bounce: the first task of the job that comes back since the zone displaced it. forced
// tells that the budget was exhausted, and only a long wait, or that it can go nowhere else,
// let it come.
func (d *displacements) comeBack(job ids.JobID, budget int, mayForce bool) (bounced, forced bool) {
	entry := d.jobs[job]
	if entry == nil || entry.lastSpell <= entry.returnedSpell {
		return false, false
	}
	forced = entry.returns >= budget && mayForce
	if !forced {
		entry.returns++
	}
	entry.returnedSpell = entry.lastSpell
	return true, forced
}

// exhausted tells whether a job came back as often as the budget allows and was displaced
// again. Until then the rest of the job may follow its first task.
func (d *displacements) exhausted(job ids.JobID, budget int) bool {
	entry := d.jobs[job]
	return entry != nil && entry.returns >= budget && entry.lastSpell > entry.returnedSpell
}

// patientUntil is until when a job that was displaced waits for room elsewhere.
func (d *displacements) patientUntil(job ids.JobID, patience time.Duration) monotonic.Instant {
	if entry := d.jobs[job]; entry != nil {
		return entry.lostAt.Add(patience)
	}
	return 0
}

// worst is how often the job that came back most often did so.
func (d *displacements) worst() int {
	most := 0
	for _, entry := range d.jobs {
		most = max(most, entry.returns)
	}
	return most
}

// clear ends the incident.
func (d *displacements) clear() { d.spell, d.jobs = 0, map[ids.JobID]*displacedJob{} }

// mostReturned lists the jobs that a successor must know of first: those that came back
// most often, then those that lost most, then by id.
func (d *displacements) mostReturned() []ids.JobID {
	return slices.SortedFunc(maps.Keys(d.jobs), func(a, b ids.JobID) int {
		x, y := d.jobs[a], d.jobs[b]
		return cmp.Or(cmp.Compare(y.returns, x.returns), cmp.Compare(y.losses, x.losses), strings.Compare(string(a), string(b)))
	})
}
