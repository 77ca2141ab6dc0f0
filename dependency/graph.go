package dependency

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Graph holds all jobs and their dependencies. The cost of a change is proportional to the number of
// jobs whose readiness changes, even with long chains and many dependents.
type Graph struct{ jobs map[ids.JobID]*job }

// New returns an empty graph.
func New() *Graph { return &Graph{jobs: map[ids.JobID]*job{}} }

// ReadinessOf returns the readiness of a job, or the zero value if the job is unknown.
func (g *Graph) ReadinessOf(id ids.JobID) Readiness {
	j := g.jobs[id]
	if j == nil {
		return Readiness{}
	}
	return Readiness{State: j.state, Priority: j.priority, ReadyMS: j.readyMS, StartByMS: j.startByMS()}
}

// Put applies a job's record and returns the jobs whose readiness changed, each once and the job
// itself first. Records may be put in any order. Outdated and repeated records change nothing.
func (g *Graph) Put(id ids.JobID, record Record) []ids.JobID {
	j := g.job(id)
	if j.ended() {
		return nil
	}
	u := &update{graph: g}
	switch {
	case record.Status == wire.JobDone:
		u.finish(j, record.DoneMS)
	case record.Status == wire.JobCancelled:
		u.cancel(j)
	case j.state == Unknown:
		u.accept(j, record)
	}
	return u.changed
}

// job returns the job with an ID. If there is none, it adds one in state Unknown.
func (g *Graph) job(id ids.JobID) *job {
	j := g.jobs[id]
	if j == nil {
		j = &job{id: id}
		g.jobs[id] = j
	}
	return j
}
