package scheduler

import (
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// testAgents simulates the agents of machines in zone a for a harness. The agents carry out each
// command when they receive it and run tasks for a set time. They inject no faults.
type testAgents struct {
	machines []ids.MachineID
	// tokens holds the highest fencing token that each agent was told. A first heartbeat shows 0.
	tokens map[ids.MachineID]ids.FencingToken
	tasks  map[ids.MachineID][]wire.TaskStatus
	endsAt map[string]monotonic.Instant // by name of a running task; a task without an entry does not end
	// runTime returns how long a task runs that is the count-th on its machine; 0 means indefinitely.
	runTime func(name string, count int) time.Duration
	// observe is called with each command before it is carried out; nil means no observer.
	observe func(wire.Command)
}

func newTestAgents(runTime func(name string, count int) time.Duration, machines ...ids.MachineID) *testAgents {
	return &testAgents{machines: machines, tokens: map[ids.MachineID]ids.FencingToken{}, tasks: map[ids.MachineID][]wire.TaskStatus{},
		endsAt: map[string]monotonic.Instant{}, runTime: runTime}
}

// sendHeartbeats makes each machine end the tasks whose run time is over, send a heartbeat, and carry
// out the commands of the response.
func (g *testAgents) sendHeartbeats(h *harness) {
	h.t.Helper()
	for _, machine := range g.machines {
		g.endTasks(machine, h.now)
		response := h.heartbeat(machine, "a", g.tokens[machine], g.tasks[machine]...)
		g.tokens[machine] = max(g.tokens[machine], response.FencingToken)
		for _, command := range response.Commands {
			if g.observe != nil {
				g.observe(command)
			}
			g.execute(machine, command, h.now)
		}
	}
}

// endTasks ends the tasks of a machine whose run time is over.
func (g *testAgents) endTasks(machine ids.MachineID, now monotonic.Instant) {
	tasks := g.tasks[machine]
	for i := range tasks {
		if at, ends := g.endsAt[tasks[i].Name]; ends && now > at {
			tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		}
	}
}

// execute carries out a command on a machine.
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

// count returns the number of tasks on all machines whose names begin with prefix.
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

// instantAgents simulates agents whose tasks end as soon as they start. Only one heartbeat reports the
// end of each task. The agents inject no faults other than task failures.
type instantAgents struct {
	machines []ids.MachineID
	ended    map[ids.MachineID][]wire.TaskStatus
}

// run simulates the machines' heartbeats for a duration, in which each task ends with the given cause.
// It calls inspect after each step of the core, and returns the number of task starts.
func (g *instantAgents) run(h *harness, cause wire.ExitCause, d time.Duration, inspect func()) int {
	h.t.Helper()
	starts := 0
	for until := h.now.Add(d); h.now < until; {
		h.now = h.now.Add(500 * time.Millisecond)
		h.step()
		inspect()
		for _, machine := range g.machines {
			token := ids.NewFencingToken(h.c.opt.Revision, h.c.cluster.Machine(machine).Commands.TokenCounter)
			response := h.heartbeat(machine, "a", token, g.ended[machine]...)
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
