// Package scheduler is the core of the leader. It admits jobs against quotas, places their
// tasks, decides which machines to provision or terminate, and sends commands to agents.
//
// Core is the type to start with. It owns the state of one term: jobs, machines and
// assignments (package cluster), quota in use (package quota) and what each part notes. The
// leader's event loop, in package controller/leader, is its only caller. It loads the records,
// calls Begin, passes each event to a method of Core, and calls Step. It carries out the
// Decisions that Step returns and passes the results back as events.
//
// The same events at the same times must give the same decisions. So nothing in this package
// and the packages below it may
//   - do I/O or log,
//   - start a goroutine or take a lock: all types belong to the goroutine of the event loop,
//   - read a clock: time comes in as an argument, and wall time through Options.WallClockMS,
//   - let the order of a walk over a map reach a decision: sort, or use an ordered list.
//
// TestSameEventsGiveTheSameDecisions repeats simulated days and compares the decisions.
//
// The parts, in the order of a step:
//   - healthMonitor checks machines for silence, lease expiry and spot reclaims, and terminates
//     useless ones.
//   - zoneGate observes zone outages and admits work to recovering zones in steps.
//   - jobQueue lists the waiting jobs in the order in which they are admitted.
//   - quotaCheck tells which jobs may use nominal, borrowed and cohort quota.
//   - admitter admits jobs, and searcher finds a machine for each task.
//   - preemption.Policy stops tasks to free resources for jobs that are entitled to them.
//   - reservations keeps machines for jobs that have waited too long.
//   - autoscaler provisions machines and terminates idle ones.
//   - recordWriter writes jobs and admission slices to the key-value store.
//   - commandDispatcher decides which agents are called and which commands they get.
//
// Between steps, heartbeatHandler, jobRecordReader and machineRegistry receive events, and
// taskLifecycle ends tasks. failureHistory, slownessDetector and runEstimates learn from how
// tasks end. previousLeaders bounds what earlier leaders may still do.
//
// cluster.State.CheckInvariants verifies the state. The simulation in the tests of this package
// calls it after its steps; sim_rules_test.go also checks what users may rely on.
package scheduler
