// Package dependency decides which jobs wait for others, which are ready and
// which are cancelled because one that they need is. It is the only place that
// does: the leader and every node's copy of the jobs ask it.
//
// A job that waits never had a task, so it can be neither running nor done. Done
// and cancelled are final. So the answer follows from the records alone, and
// whoever has newer records never takes an answer back.
package dependency

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// State is where a job stands. What is waiting becomes ready or cancelled, what is
// ready done or cancelled, and nothing goes back.
type State uint8

const (
	// Unknown is a job of which no record was seen, though others may name it. It
	// is unfinished, never done and never gone.
	Unknown State = iota
	// Waiting is a job that needs one which is not done yet.
	Waiting
	// Ready is a job of which all that it needs is done, in settled commits.
	Ready
	// Done is final.
	Done
	// Cancelled is final too: by the job's own record, or because a job that it
	// needs is cancelled.
	Cancelled
)

// Record is what a job's record says that matters here.
type Record struct {
	Status    wire.JobState
	DependsOn []ids.JobID
	Priority  wire.Priority
	// SubmittedMS and DoneMS are times of day; 0: not known.
	SubmittedMS, DoneMS int64
	// DueMS is when the job should be done, as the time of day; 0: no deadline.
	// Takes is how long its tasks should run.
	DueMS       int64
	ExpectedRun time.Duration
}

// Readiness is what follows for a job from all records.
type Readiness struct {
	State State
	// Priority is the highest of the job's own and of those that need it,
	// directly or through others, cancelled ones aside.
	Priority wire.Priority
	// ReadyMS is when the job became ready, or will have been at the least.
	ReadyMS int64
	// StartByMS is the latest time at which the job may start, if it and all that
	// need it are to be done by their deadlines; 0: there are none. It counts those
	// that were cancelled since.
	StartByMS int64
}

// priorityLevels is how many priorities there are.
const priorityLevels = int(wire.Critical) + 1

// node is one job in the graph.
type node struct {
	id    ids.JobID
	state State
	// open counts the needed jobs that are not done.
	unfinished               int32
	dependencies, dependents []*node // unfinished ones
	ownPriority, priority    wire.Priority
	// by counts those that need this job and still wait, by their priority. A
	// crowd that needs one job may then change without being looked through.
	dependentsByPriority [priorityLevels]int32
	readyMS, doneMS      int64
	endByMS              int64 // as StartByMS, for its end
	expectedRun          time.Duration
}

// over tells whether the job is done or cancelled, for good.
func (n *node) over() bool { return n.state >= Done }

// startByMS is when the job must start to end by endByMS; 0: at any time.
func (n *node) startByMS() int64 {
	if n.endByMS == 0 {
		return 0
	}
	return n.endByMS - n.expectedRun.Milliseconds()
}

// Graph holds all jobs and who needs whom. Its work is in proportion to what
// changes: chains may be long and fans wide.
type Graph struct{ nodes map[ids.JobID]*node }

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[ids.JobID]*node{}} }

// ReadinessOf tells where a job stands.
func (g *Graph) ReadinessOf(id ids.JobID) Readiness {
	n := g.nodes[id]
	if n == nil {
		return Readiness{}
	}
	return Readiness{State: n.state, Priority: n.priority, ReadyMS: n.readyMS, StartByMS: n.startByMS()}
}

// node finds a job, or makes one that is unknown.
func (g *Graph) node(id ids.JobID) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id}
		g.nodes[id] = n
	}
	return n
}

// Put takes a job's record in, and lists the jobs whose standing changed, this
// one first. Records may come in any order, and older ones again.
func (g *Graph) Put(id ids.JobID, r Record) []ids.JobID {
	n := g.node(id)
	if n.over() {
		return nil
	}
	w := &update{}
	switch {
	case r.Status == wire.JobDone:
		n.doneMS = r.DoneMS
		w.markChanged(n)
		w.finish(n)
	case r.Status == wire.JobCancelled:
		w.cancel(n)
	case n.state == Unknown:
		w.accept(g, n, r)
	}
	return w.changed
}

// update is one change of a record and what follows from it.
type update struct {
	changed []ids.JobID
	marked  map[*node]bool
}

// markChanged lists a job among those whose standing changed, once.
func (w *update) markChanged(n *node) {
	if w.marked == nil {
		w.marked = map[*node]bool{}
	}
	if !w.marked[n] {
		w.marked[n] = true
		w.changed = append(w.changed, n.id)
	}
}

// accept takes in the record of a job that was not known.
func (w *update) accept(g *Graph, n *node, r Record) {
	w.markChanged(n)
	n.state, n.ownPriority, n.readyMS = Waiting, r.Priority, r.SubmittedMS
	n.priority = n.effectivePriority()
	n.expectedRun = r.ExpectedRun
	n.tightenEndBy(r.DueMS)
	doomed := false
	named := slices.Clone(r.DependsOn)
	slices.Sort(named)
	for _, id := range slices.Compact(named) {
		m := g.node(id)
		switch m.state {
		case Done:
			n.readyMS = max(n.readyMS, m.doneMS)
		case Cancelled:
			doomed = true
		default:
			n.unfinished++
			n.dependencies = append(n.dependencies, m)
			m.dependents = append(m.dependents, n)
			m.dependentsByPriority[n.priority]++
		}
	}
	switch {
	case doomed:
		w.cancel(n)
		return
	case n.unfinished == 0:
		n.state = Ready
	}
	for _, m := range n.dependencies {
		w.propagatePriority(m)
	}
	w.propagateDeadline(n)
}

// detachFromDependencies takes a job that is over out of the counts of those that it
// depends on.
func (w *update) detachFromDependencies(n *node) {
	for _, m := range n.dependencies {
		if !m.over() {
			m.dependentsByPriority[n.priority]--
			w.propagatePriority(m)
		}
	}
	n.dependents, n.dependencies = nil, nil
}

// finish marks a job as done and makes those ready that waited for it alone.
func (w *update) finish(n *node) {
	n.state = Done
	for _, a := range n.dependents {
		if a.over() {
			continue
		}
		a.unfinished--
		a.readyMS = max(a.readyMS, n.doneMS)
		if a.unfinished == 0 && a.state == Waiting {
			a.state, a.dependencies = Ready, nil
			w.markChanged(a)
		}
	}
	w.detachFromDependencies(n)
}

// cancel marks a job as cancelled, and all that depend on it, directly or through others.
// A chain may be long, so it is worked off from a list rather than by recursion.
func (w *update) cancel(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.over() {
			continue
		}
		n.state = Cancelled
		w.markChanged(n)
		todo = append(todo, n.dependents...)
		w.detachFromDependencies(n)
	}
}

// tightenEndBy notes a time by which a job should be done, and tells whether it is the
// earliest so far.
func (n *node) tightenEndBy(by int64) bool {
	if by == 0 || n.endByMS != 0 && by >= n.endByMS {
		return false
	}
	n.endByMS = by
	return true
}

// propagateDeadline brings the times up to date by which a job's dependencies should be
// done.
func (w *update) propagateDeadline(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, m := range n.dependencies {
			if !m.over() && m.tightenEndBy(n.startByMS()) {
				w.markChanged(m)
				todo = append(todo, m)
			}
		}
	}
}

// effectivePriority is the highest of the job's own priority and of those that depend on
// it.
func (n *node) effectivePriority() wire.Priority {
	for p := priorityLevels - 1; p > int(n.ownPriority); p-- {
		if n.dependentsByPriority[p] > 0 {
			return wire.Priority(p)
		}
	}
	return n.ownPriority
}

// propagatePriority brings a job's priority, and those of all that it depends on, up to
// date.
func (w *update) propagatePriority(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := n.effectivePriority()
		if n.over() || p == n.priority {
			continue
		}
		for _, m := range n.dependencies {
			if !m.over() {
				m.dependentsByPriority[n.priority]--
				m.dependentsByPriority[p]++
				todo = append(todo, m)
			}
		}
		n.priority = p
		w.markChanged(n)
	}
}
