// Package scheduler is the core of the leader. It admits jobs against quotas, places their
// tasks, decides which machines to provision or terminate, and sends commands to agents.
//
// Core is the entry point. It owns the state of one term: jobs, machines and assignments (package
// cluster), quota in use (package quota), and the internal state of each component. Its only
// caller is the event loop of the leader in package controller/leader. The event loop loads the
// records, calls Begin, passes each event to a method of Core, and calls Step. It executes the
// Decisions that Step returns and passes the results back as events.
//
// A machine is provisioned by the cloud and runs one agent. The agent sends heartbeats, executes
// commands and runs tasks. Other packages also call the agent a worker.
//
// The same events at the same times must give the same decisions. So nothing in this package
// and the packages below it may
//   - do I/O or log,
//   - start a goroutine or take a lock: all types belong to the goroutine of the event loop,
//   - read a clock: time is passed as an argument, and wall-clock time in Options.WallClockMS,
//   - let the iteration order of a map affect a decision: sort, or use an ordered list.
//
// TestSameEventsGiveTheSameDecisions repeats simulation runs and compares the decisions.
//
// The components, in the order of a step:
//   - healthMonitor checks machines for missed heartbeats, lease expiry and spot reclaims, and
//     terminates unusable ones.
//   - zoneGate observes zone outages and admits work to recovering zones in steps.
//   - jobQueue lists the waiting jobs in the order in which they are admitted.
//   - quotaCheck determines which jobs may use nominal, borrowed and cohort quota.
//   - admitter admits jobs, and searcher finds a machine for each task.
//   - preemption.Policy stops tasks to free resources for jobs that are entitled to them.
//   - reservations reserves machines for jobs that have waited too long.
//   - autoscaler provisions machines and terminates idle ones.
//   - recordWriter writes jobs and admission slices to the key-value store.
//   - commandDispatcher decides which agents are called and which commands they get.
//
// Between steps, heartbeatHandler, jobRecordReader and machineRegistry receive events, and
// taskLifecycle ends tasks. restartDetector recognizes agents that restarted and lost their token.
// failureHistory, slownessDetector and runEstimates learn from how
// tasks end. previousLeaders bounds what previous leaders may still do.
//
// cluster.State.CheckInvariants verifies the state. The simulation in the tests of this package
// calls it after its steps. sim_rules_test.go also checks the guarantees given to users.
package scheduler
