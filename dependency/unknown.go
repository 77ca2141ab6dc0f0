package dependency

import "ospreystile.example/ospreystile/ids"

// UnknownDependency returns a job without a record on whose state the state of another job depends, directly
// or through other jobs. It returns false if there is none. Jobs that have ended depend on no other.
func (g *Graph) UnknownDependency(id ids.JobID) (unknown ids.JobID, found bool) {
	first := g.jobs[id]
	if first == nil || first.ended() {
		return "", false
	}
	visited := map[*job]bool{first: true}
	pending := []*job{first}
	for len(pending) > 0 {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for dependency := range j.unfinishedDependencies() {
			if dependency.state == Unknown {
				return dependency.id, true
			}
			if !visited[dependency] {
				visited[dependency] = true
				pending = append(pending, dependency)
			}
		}
	}
	return "", false
}
