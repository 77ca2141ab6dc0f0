// Package dependency holds the graph of jobs that depend on other jobs. It derives which
// jobs wait, which are ready, and which are cancelled because a job that they depend on is.
// It also derives the effective priority of each job and the time by which it must start.
// No other package does; the scheduler and every controller's job replica ask a Graph.
//
// A waiting job never had a task, so it can be neither running nor done. Done and cancelled
// are final. So the result follows from the jobs' records alone, in any order, and newer
// records never move a job back to an earlier state.
//
// A Graph does no I/O and reads no clock. It is not safe for concurrent use.
package dependency
