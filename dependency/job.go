package dependency

import (
	"iter"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// priorityLevels is the number of priorities.
const priorityLevels = int(wire.Critical) + 1

// job is a vertex of the graph.
type job struct {
	id    ids.JobID
	state State
	// dependencies and dependents are the edges of the job. They may include jobs that have
	// ended.
	dependencies, dependents []*job
	// unfinished is the number of dependencies that are not done. Counts have 32 bits to save
	// memory, because a controller holds very many jobs.
	unfinished int32

	ownPriority, priority wire.Priority
	// waitingDependents is the number of waiting dependents by effective priority. Because of
	// it, a change of one dependent does not require a visit to the others.
	waitingDependents [priorityLevels]int32

	// Unix times in milliseconds; see Record and Readiness.
	readyMS, doneMS int64
	// endByMS is the latest end of the job with which all deadlines can be met; 0 means that
	// there is no limit.
	endByMS       int64
	expectedRunMS int64
}

// ended reports whether the job is done or cancelled.
func (j *job) ended() bool { return j.state >= Done }

// startByMS returns the latest start with which the job is expected to end by endByMS; 0 means that
// there is no limit.
func (j *job) startByMS() int64 {
	if j.endByMS == 0 {
		return 0
	}
	return j.endByMS - j.expectedRunMS
}

// tightenEndBy lowers endByMS to a new value if that is earlier, and reports whether it is. It
// ignores the value 0, which means no limit.
func (j *job) tightenEndBy(endByMS int64) bool {
	if endByMS == 0 || j.endByMS != 0 && endByMS >= j.endByMS {
		return false
	}
	j.endByMS = endByMS
	return true
}

// effectivePriority returns the highest of the job's own priority and the effective priorities of
// its waiting dependents.
func (j *job) effectivePriority() wire.Priority {
	for level := priorityLevels - 1; level > int(j.ownPriority); level-- {
		if j.waitingDependents[level] > 0 {
			return wire.Priority(level)
		}
	}
	return j.ownPriority
}

// unfinishedDependencies yields the dependencies that have not ended.
func (j *job) unfinishedDependencies() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, dependency := range j.dependencies {
			if !dependency.ended() && !yield(dependency) {
				return
			}
		}
	}
}
