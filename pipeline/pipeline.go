// Package pipeline decides which jobs wait for others, which are ready and
// which are withdrawn because one that they need is. It is the only place that
// does: the leader and every node's copy of the jobs ask it.
//
// A job that waits never had a task, so it can be neither running nor done. Done
// and withdrawn are final. So the answer follows from the records alone, and
// whoever has newer records never takes an answer back.
package pipeline

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// State is where a job stands. What is waiting becomes ready or withdrawn, what is
// ready done or withdrawn, and nothing goes back.
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
	// Withdrawn is final too: by the job's own record, or because a job that it
	// needs is withdrawn.
	Withdrawn
)

// Record is what a job's record says that matters here.
type Record struct {
	Status   string
	Needs    []ids.JobID
	Priority wire.Priority
	// SubmittedMS and DoneMS are times of day; 0: not known.
	SubmittedMS, DoneMS int64
	// DueMS is when the job should be done, as the time of day; 0: no deadline.
	// Takes is how long its tasks should run.
	DueMS int64
	Takes time.Duration
}

// Standing is what follows for a job from all records.
type Standing struct {
	State State
	// Priority is the highest of the job's own and of those that need it,
	// directly or through others, withdrawn ones aside.
	Priority wire.Priority
	// ReadyMS is when the job became ready, or will have been at the least.
	ReadyMS int64
	// StartByMS is the latest time at which the job may start, if it and all that
	// need it are to be done by their deadlines; 0: there are none. It counts those
	// that were withdrawn since.
	StartByMS int64
}

// levels is how many priorities there are.
const levels = int(wire.Critical) + 1

type node struct {
	id    ids.JobID
	state State
	// open counts the needed jobs that are not done.
	open         int32
	needs, after []*node // unfinished ones
	own, prio    wire.Priority
	// by counts those that need this job and still wait, by their priority. A
	// crowd that needs one job may then change without being looked through.
	by              [levels]int32
	readyMS, doneMS int64
	endBy           int64 // as StartByMS, for its end
	takes           time.Duration
}

func (n *node) over() bool { return n.state >= Done }

func (n *node) startBy() int64 {
	if n.endBy == 0 {
		return 0
	}
	return n.endBy - n.takes.Milliseconds()
}

// Graph holds all jobs and who needs whom. Its work is in proportion to what
// changes: chains may be long and fans wide.
type Graph struct{ nodes map[ids.JobID]*node }

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[ids.JobID]*node{}} }

// Of tells where a job stands.
func (g *Graph) Of(id ids.JobID) Standing {
	n := g.nodes[id]
	if n == nil {
		return Standing{}
	}
	return Standing{State: n.state, Priority: n.prio, ReadyMS: n.readyMS, StartByMS: n.startBy()}
}

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
	w := &walk{}
	switch {
	case r.Status == wire.StatusDone:
		n.doneMS = r.DoneMS
		w.change(n)
		w.done(n)
	case r.Status == wire.StatusWithdrawn:
		w.withdraw(n)
	case n.state == Unknown:
		w.accept(g, n, r)
	}
	return w.changed
}

// walk is one change and what follows from it.
type walk struct {
	changed []ids.JobID
	seen    map[*node]bool
}

func (w *walk) change(n *node) {
	if w.seen == nil {
		w.seen = map[*node]bool{}
	}
	if !w.seen[n] {
		w.seen[n] = true
		w.changed = append(w.changed, n.id)
	}
}

func (w *walk) accept(g *Graph, n *node, r Record) {
	w.change(n)
	n.state, n.own, n.readyMS = Waiting, r.Priority, r.SubmittedMS
	n.prio = n.highest()
	n.takes = r.Takes
	n.due(r.DueMS)
	doomed := false
	named := slices.Clone(r.Needs)
	slices.Sort(named)
	for _, id := range slices.Compact(named) {
		m := g.node(id)
		switch m.state {
		case Done:
			n.readyMS = max(n.readyMS, m.doneMS)
		case Withdrawn:
			doomed = true
		default:
			n.open++
			n.needs = append(n.needs, m)
			m.after = append(m.after, n)
			m.by[n.prio]++
		}
	}
	switch {
	case doomed:
		w.withdraw(n)
		return
	case n.open == 0:
		n.state = Ready
	}
	for _, m := range n.needs {
		w.raise(m)
	}
	w.hurry(n)
}

// leave takes a job that is over out of the count of those that still need others.
func (w *walk) leave(n *node) {
	for _, m := range n.needs {
		if !m.over() {
			m.by[n.prio]--
			w.raise(m)
		}
	}
	n.after, n.needs = nil, nil
}

// done lets those go on that needed the job.
func (w *walk) done(n *node) {
	n.state = Done
	for _, a := range n.after {
		if a.over() {
			continue
		}
		a.open--
		a.readyMS = max(a.readyMS, n.doneMS)
		if a.open == 0 && a.state == Waiting {
			a.state, a.needs = Ready, nil
			w.change(a)
		}
	}
	w.leave(n)
}

// withdraw takes a job out, and all that need it, directly or through others. A
// chain may be long, so it goes by a list and not by calls.
func (w *walk) withdraw(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if n.over() {
			continue
		}
		n.state = Withdrawn
		w.change(n)
		todo = append(todo, n.after...)
		w.leave(n)
	}
}

// due notes a time by which a job should be done, and tells whether it is the
// earliest.
func (n *node) due(by int64) bool {
	if by == 0 || n.endBy != 0 && by >= n.endBy {
		return false
	}
	n.endBy = by
	return true
}

// hurry brings the times by which what a job needs should be done up to date.
func (w *walk) hurry(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, m := range n.needs {
			if !m.over() && m.due(n.startBy()) {
				w.change(m)
				todo = append(todo, m)
			}
		}
	}
}

// highest is the priority that follows for a job.
func (n *node) highest() wire.Priority {
	for p := levels - 1; p > int(n.own); p-- {
		if n.by[p] > 0 {
			return wire.Priority(p)
		}
	}
	return n.own
}

// raise brings a job's priority, and those of all that it needs, up to date.
func (w *walk) raise(first *node) {
	todo := []*node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := n.highest()
		if n.over() || p == n.prio {
			continue
		}
		for _, m := range n.needs {
			if !m.over() {
				m.by[n.prio]--
				m.by[p]++
				todo = append(todo, m)
			}
		}
		n.prio = p
		w.change(n)
	}
}
