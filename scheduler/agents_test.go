package scheduler

import (
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// agentsTokenCounter is above the counters that a core reaches in a test, so that agents
// which show it have seen every command.
const agentsTokenCounter = 900

// testAgents stands in for the agents of machines in zone a beside a harness. They carry
// out each command when they get it and run tasks for a set time. They inject no faults.
type testAgents struct {
	machines []ids.MachineID
	tasks    map[ids.MachineID][]wire.TaskStatus
	endsAt   map[string]monotonic.Instant // by name of a running task; missing: it does not end
	// runTime is how long a task runs that is the count-th on its machine; 0: for ever.
	runTime func(name string, count int) time.Duration
	// observe sees each command before it is carried out; nil: no observer.
	observe func(wire.Command)
}

func newTestAgents(runTime func(name string, count int) time.Duration, machines ...ids.MachineID) *testAgents {
	return &testAgents{machines: machines, tasks: map[ids.MachineID][]wire.TaskStatus{}, endsAt: map[string]monotonic.Instant{}, runTime: runTime}
}

// heartbeats has each machine end the tasks whose time is over, send a heartbeat, and carry
// out the commands of the response.
func (g *testAgents) heartbeats(b *harness) {
	b.t.Helper()
	for _, machine := range g.machines {
		g.endTasks(machine, b.now)
		response := b.heartbeat(machine, "a", ids.NewFencingToken(b.c.opt.Revision, agentsTokenCounter), g.tasks[machine]...)
		for _, command := range response.Commands {
			if g.observe != nil {
				g.observe(command)
			}
			g.execute(machine, command, b.now)
		}
	}
}

// endTasks ends the tasks of a machine whose time is over.
func (g *testAgents) endTasks(machine ids.MachineID, now monotonic.Instant) {
	tasks := g.tasks[machine]
	for i := range tasks {
		if at, ends := g.endsAt[tasks[i].Name]; ends && now > at {
			tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		}
	}
}

// execute carries a command out.
func (g *testAgents) execute(machine ids.MachineID, command wire.Command, now monotonic.Instant) {
	tasks := g.tasks[machine]
	switch command.Verb {
	case wire.VerbRun:
		tasks = append(tasks, wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
		if d := g.runTime(command.Name, len(tasks)); d > 0 {
			g.endsAt[command.Name] = now.Add(d)
		}
	case wire.VerbKill:
		for i := range tasks {
			if tasks[i].Name == command.Name {
				tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
			}
		}
	case wire.VerbReap:
		tasks = slices.DeleteFunc(tasks, func(t wire.TaskStatus) bool {
			return t.Name == command.Name && t.Attempt == command.Attempt
		})
	}
	g.tasks[machine] = tasks
}

// count counts the tasks on all machines whose names begin with a prefix.
func (g *testAgents) count(prefix string) int {
	count := 0
	for _, tasks := range g.tasks {
		for _, t := range tasks {
			if strings.HasPrefix(t.Name, prefix) {
				count++
			}
		}
	}
	return count
}

// instantAgents stands in for agents whose tasks end as soon as they start. The end of a
// task is in one heartbeat alone. They inject no faults but the failures of tasks.
type instantAgents struct {
	machines []ids.MachineID
	ended    map[ids.MachineID][]wire.TaskStatus
}

// run has the machines send heartbeats for a time, in which each task ends with a cause,
// and returns the number of starts. After each step of the core it calls inspect.
func (g *instantAgents) run(b *harness, cause wire.ExitCause, d time.Duration, inspect func()) int {
	b.t.Helper()
	starts := 0
	for until := b.now.Add(d); b.now < until; {
		b.now = b.now.Add(500 * time.Millisecond)
		b.step()
		inspect()
		for _, machine := range g.machines {
			token := ids.NewFencingToken(b.c.opt.Revision, b.c.cluster.Machine(machine).Commands.TokenCounter)
			response := b.heartbeat(machine, "a", token, g.ended[machine]...)
			g.ended[machine] = nil
			for _, command := range response.Commands {
				if command.Verb == wire.VerbRun {
					starts++
					g.ended[machine] = append(g.ended[machine], wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskEnded, Cause: cause})
				}
			}
		}
	}
	return starts
}
