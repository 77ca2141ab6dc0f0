// Package dependency holds the DAG of jobs that depend on other jobs. It derives which jobs
// wait, which are ready, and which are cancelled because a dependency is. It also derives the
// effective priority of each job and the time by which it must start. No other package derives
// these; the scheduler and every controller's job replica query a Graph.
//
// A waiting job never had a task, so it can be neither running nor done. Done and cancelled are
// final. So the result follows from the set of jobs' records, independent of their order, and a
// newer record never moves a job back to an earlier state.
//
// A Graph does no I/O and reads no clock. It is not safe for concurrent use.
package dependency
