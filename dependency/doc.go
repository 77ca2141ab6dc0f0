// Package dependency implements the directed acyclic graph of jobs that depend on other jobs. It
// derives which jobs are waiting, which are ready, and which are cancelled because a dependency is
// cancelled. It also derives the effective priority of each job and the time by which it must start.
// No other package derives these. The scheduler and every controller's job replica query a Graph.
//
// A waiting job has never had a task, so it can be neither running nor done. The states done and
// cancelled are final. Therefore the result depends only on the set of the jobs' records and not on
// their order, and a newer record never moves a job back to an earlier state.
//
// A Graph does no I/O and reads no clock. It is not safe for concurrent use.
package dependency
