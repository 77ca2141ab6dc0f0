package dependency

// propagateDeadline updates endByMS of the jobs on which a job depends directly or transitively.
func (u *update) propagateDeadline(first *job) {
	pending := []*job{first}
	for len(pending) > 0 {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for dependency := range j.unfinishedDependencies() {
			if dependency.tightenEndBy(j.startByMS()) {
				u.markChanged(dependency)
				pending = append(pending, dependency)
			}
		}
	}
}

// propagatePriority updates the effective priority of a job and of the jobs on which it depends
// directly or transitively.
func (u *update) propagatePriority(first *job) {
	pending := []*job{first}
	for len(pending) > 0 {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		priority := j.effectivePriority()
		if j.ended() || priority == j.priority {
			continue
		}
		for dependency := range j.unfinishedDependencies() {
			dependency.waitingDependents[j.priority]--
			dependency.waitingDependents[priority]++
			pending = append(pending, dependency)
		}
		j.priority = priority
		u.markChanged(j)
	}
}
