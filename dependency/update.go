package dependency

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
)

// update applies one record and propagates the change to other jobs. It visits jobs iteratively, with
// an explicit stack, because chains of dependencies may be too long for recursion.
type update struct {
	graph   *Graph
	changed []ids.JobID
	marked  map[*job]bool // set of the jobs in changed
}

// markChanged adds a job to the changed jobs, unless it is already among them.
func (u *update) markChanged(j *job) {
	if u.marked == nil {
		u.marked = map[*job]bool{}
	}
	if !u.marked[j] {
		u.marked[j] = true
		u.changed = append(u.changed, j.id)
	}
}

// accept applies the first record of a job.
func (u *update) accept(j *job, record Record) {
	u.markChanged(j)
	j.state, j.readyMS = Waiting, record.SubmittedMS
	j.expectedRunMS = record.ExpectedRun.Milliseconds()
	j.ownPriority = record.Priority
	j.priority = j.effectivePriority()
	j.tightenEndBy(record.DueMS)
	if cancelled := u.addDependencies(j, record.DependsOn); cancelled {
		u.cancel(j)
		return
	}
	if j.unfinished == 0 {
		j.state = Ready
		return
	}
	for _, dependency := range j.dependencies {
		u.propagatePriority(dependency)
	}
	u.propagateDeadline(j)
}

// addDependencies adds the edges to a job's dependencies, and reports whether one of the dependencies
// is cancelled.
func (u *update) addDependencies(j *job, dependencyIDs []ids.JobID) (cancelled bool) {
	dependencyIDs = slices.Clone(dependencyIDs)
	slices.Sort(dependencyIDs)
	for _, id := range slices.Compact(dependencyIDs) {
		dependency := u.graph.job(id)
		switch dependency.state {
		case Done:
			j.readyMS = max(j.readyMS, dependency.doneMS)
		case Cancelled:
			cancelled = true
		default:
			j.unfinished++
			j.dependencies = append(j.dependencies, dependency)
			dependency.dependents = append(dependency.dependents, j)
			dependency.waitingDependents[j.priority]++
		}
	}
	return cancelled
}

// finish marks a job as done, and marks as ready the jobs whose last unfinished dependency it was.
func (u *update) finish(j *job, doneMS int64) {
	u.markChanged(j)
	j.state, j.doneMS = Done, doneMS
	for _, dependent := range j.dependents {
		if dependent.ended() {
			continue
		}
		dependent.unfinished--
		dependent.readyMS = max(dependent.readyMS, doneMS)
		if dependent.unfinished == 0 && dependent.state == Waiting {
			dependent.state, dependent.dependencies = Ready, nil
			u.markChanged(dependent)
		}
	}
	u.detach(j)
}

// cancel marks a job as cancelled, and all jobs that depend on it directly or transitively.
func (u *update) cancel(first *job) {
	pending := []*job{first}
	for len(pending) > 0 {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if j.ended() {
			continue
		}
		j.state = Cancelled
		u.markChanged(j)
		pending = append(pending, j.dependents...)
		u.detach(j)
	}
}

// detach removes the edges of a job that has ended. Its dependencies no longer inherit its priority.
func (u *update) detach(j *job) {
	for dependency := range j.unfinishedDependencies() {
		dependency.waitingDependents[j.priority]--
		u.propagatePriority(dependency)
	}
	j.dependents, j.dependencies = nil, nil
}
