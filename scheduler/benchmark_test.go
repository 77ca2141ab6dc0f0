package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// This file simulates a large fleet for a long time, to measure the cost of the core alone. It injects
// no faults and checks no rules: sim_test.go does that.
//
//	go test ./scheduler -run - -bench LongSimulation -cpuprofile cpu.out

const (
	longSimWriteTime = 5 * time.Millisecond
	longSimCallTime  = 3 * time.Millisecond
	longSimCloudTime = 250 * time.Millisecond
	longSimCapacity  = 1900 // machines
)

// longSim simulates a fleet and its cloud, store and users. It injects no faults.
type longSim struct {
	rng         *rand.Rand
	c           *Core
	now         monotonic.Instant
	queue       simQueue
	sequence    int
	workers     map[ids.MachineID]*longSimWorker
	provisioned int
	machines    int
	jobs        int
	done        int
	specs       map[ids.JobID]*wire.JobSpec
	revision    ids.Revision
}

// longSimWorker simulates a machine and its agent.
type longSimWorker struct {
	id            ids.MachineID
	site          wire.ProvisionRequest
	sequence      ids.Sequence
	token         ids.FencingToken
	tasks         []wire.TaskStatus
	statusChanged bool
}

// newLongSim returns a simulation of 630 machines, which boot immediately.
func newLongSim() *longSim {
	l := &longSim{rng: rand.New(rand.NewPCG(3, 5)), now: monotonic.Instant(time.Hour), workers: map[ids.MachineID]*longSimWorker{},
		specs: map[ids.JobID]*wire.JobSpec{}, revision: 100}
	team := func(name ids.Team, nominal, limit float64) quota.Team {
		return quota.Team{Name: name, Nominal: quota.Amount{CPUs: nominal}, Limit: quota.Amount{CPUs: limit}, LendingLimit: quota.Amount{CPUs: nominal}}
	}
	opt := Options{
		Revision: 5,
		Teams:    []quota.Team{team("red", 9000, 27000), team("blue", 27000, 60000), team("gold", 10500, 45000), team("lime", 10500, 37500)},
		LeaseOptions: LeaseOptions{
			HeartbeatInterval: 5 * time.Second,
			AgentLease:        27 * time.Second,
			CancelDeadline:    simCancelDeadline,
		},
		FleetOptions: FleetOptions{
			ListLag:             3 * time.Second,
			IdleTimeout:         30 * time.Second,
			SpotIdleFactor:      1.5,
			HeadroomIdleTimeout: 15 * time.Minute,
			Headroom:            0.3,
			BootFactor:          4,
			CapacityBackoff:     10 * time.Second,
		},
		RecordOptions: RecordOptions{
			MaxTxnOps:      24,
			SliceTasks:     64,
			LazyWriteDelay: 3 * time.Second,
			WriteRate:      63,
		},
		AdmissionOptions: AdmissionOptions{
			MaxSkippedJobs:      2000,
			LendingSuspension:   5 * time.Second,
			RoundInterval:       50 * time.Millisecond,
			RoundCostPerMachine: 900 * time.Nanosecond,
			ReserveAfter:        time.Minute,
			ReserveFor:          90 * time.Second,
			LatencySensitive:    map[string]time.Duration{"map": time.Second, "push": 5 * time.Second},
		},
		CommandOptions: CommandOptions{
			MaxWorkerCalls: 64,
		},
	}
	types := []wire.MachineType{{Name: "m", CPUs: 32, MemoryGB: 64, CacheGB: 80, FetchGBps: 0.25, Price: 2, SpotPrice: 0.5, BootS: 25, Zones: []ids.Zone{"a", "b", "c"}}}
	l.c = New(opt, types)
	l.c.Begin(l.now)
	for range 630 {
		l.boot(wire.ProvisionRequest{Type: "m", Zone: types[0].Zones[l.provisioned%3]}, 0)
	}
	return l
}

// after schedules a call of f after a duration.
func (l *longSim) after(d time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.queue, simEvent{l.now.Add(d), l.sequence, f})
}

// boot adds a machine that sends its first heartbeat after a boot time.
func (l *longSim) boot(request wire.ProvisionRequest, bootTime time.Duration) ids.MachineID {
	l.provisioned++
	l.machines++
	w := &longSimWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", l.provisioned)), site: request}
	l.after(bootTime, func() { l.workers[w.id] = w; l.heartbeat(w) })
	return w.id
}

// nextHeartbeat returns the next heartbeat of a worker.
func (w *longSimWorker) nextHeartbeat() *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: w.id, Endpoint: string(w.id), Type: w.site.Type, Zone: w.site.Zone, Spot: w.site.Spot, Incarnation: 1, Sequence: w.sequence,
		FencingToken: w.token, Tasks: slices.Clone(w.tasks)}
}

// heartbeat sends a heartbeat, and the next one after an interval in which no other was sent.
func (l *longSim) heartbeat(w *longSimWorker) {
	if l.workers[w.id] != w {
		return
	}
	w.statusChanged = false
	response, _ := l.c.Heartbeat(l.now, w.nextHeartbeat())
	w.token = max(w.token, response.FencingToken)
	l.execute(w, response.Commands)
	sequence := w.sequence
	l.after(5*time.Second, func() {
		if w.sequence == sequence {
			l.heartbeat(w)
		}
	})
}

// markStatusChanged has a worker send a heartbeat after the debounce interval, because a status has
// changed.
func (l *longSim) markStatusChanged(w *longSimWorker) {
	if !w.statusChanged {
		w.statusChanged = true
		l.after(500*time.Millisecond, func() { l.heartbeat(w) })
	}
}

// execute executes commands.
func (l *longSim) execute(w *longSimWorker, commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == command.Name && t.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbRun && i < 0:
			ref, _ := ids.ParseTask(command.Name)
			spec := l.specs[ref.Job]
			w.tasks = append(w.tasks, wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
			if !spec.Service {
				l.after(monotonic.Seconds(spec.EstimateS*(0.7+0.6*l.rng.Float64())), func() { l.endTask(w, command) })
			}
		case command.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskEnded:
			w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
		case command.Verb == wire.VerbReap && i >= 0:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
		l.markStatusChanged(w)
	}
}

// endTask ends a task whose run time has passed.
func (l *longSim) endTask(w *longSimWorker, command wire.Command) {
	i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == command.Name && t.Attempt == command.Attempt })
	if i >= 0 && w.tasks[i].State == wire.TaskRunning {
		w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		l.done++
		l.markStatusChanged(w)
	}
}

// submit submits a job of a random team and image.
func (l *longSim) submit(spec wire.JobSpec) {
	l.jobs++
	id := ids.JobID(fmt.Sprintf("job-%05d", l.jobs))
	spec.Team = []ids.Team{"red", "blue", "blue", "gold", "lime"}[l.rng.IntN(5)]
	spec.Image = ids.Image(fmt.Sprintf("i-%s-%d", spec.Class, l.rng.IntN(8)))
	spec.ImageGB = 1
	l.specs[id] = &spec
	l.revision++
	l.c.ObserveJob(l.now, id, &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec, SubmittedMS: int64(l.jobs)}, l.revision)
}

// submitRandomJobs submits the jobs of one second.
func (l *longSim) submitRandomJobs() {
	randomSize := func(limit int) int { return 20 + l.rng.IntN(limit-20) }
	for range 1 + l.rng.IntN(2) {
		l.submit(wire.JobSpec{Class: "render", Priority: wire.Normal, Tasks: randomSize(200), CPUs: 4, MemoryGB: 4, Spot: true, EstimateS: 60})
	}
	for range 1 + l.rng.IntN(3) {
		l.submit(wire.JobSpec{Class: "push", Priority: wire.High, Tasks: randomSize(120), CPUs: 2, MemoryGB: 2.3, Spot: true, EstimateS: 20})
	}
	if l.rng.IntN(3) == 0 {
		l.submit(wire.JobSpec{Class: "map", Priority: wire.Critical, Service: true, Spread: true, Tasks: 12, CPUs: 2, MemoryGB: 3.3})
	}
}

// step runs one step of the core and executes its decisions.
func (l *longSim) step() {
	decisions := l.c.Step(l.now)
	for _, change := range decisions.RecordChanges {
		l.commit(change)
	}
	for _, machine := range decisions.SendCommands {
		l.sendCommands(machine)
	}
	for _, request := range decisions.Provision {
		l.provision(request)
	}
	if machines := slices.Concat(decisions.Terminate, decisions.TerminateCancelled); len(machines) > 0 {
		l.terminate(machines)
	}
}

// commit applies a change after the duration of a write.
func (l *longSim) commit(change records.Change) {
	l.after(longSimWriteTime, func() {
		l.revision++
		l.c.CommitResult(l.now, records.CommitResult{Change: change, Revision: l.revision})
		l.step()
	})
}

// sendCommands sends a machine its pending commands.
func (l *longSim) sendCommands(machine ids.MachineID) {
	batch, _, ok := l.c.TakeCommands(l.now, machine)
	if !ok {
		return
	}
	l.after(longSimCallTime, func() {
		var response *wire.Heartbeat
		if w := l.workers[machine]; w != nil {
			w.token = max(w.token, batch.FencingToken)
			l.execute(w, batch.Commands)
			response = w.nextHeartbeat()
		}
		l.c.CommandsResult(l.now, machine, response)
		l.step()
	})
}

// provision boots the machines of a request, as many as the cloud has capacity for.
func (l *longSim) provision(request wire.ProvisionRequest) {
	l.after(longSimCloudTime, func() {
		var machines []ids.MachineID
		for range request.Count {
			if l.machines < longSimCapacity {
				machines = append(machines, l.boot(request, time.Duration(15+l.rng.IntN(22))*time.Second))
			}
		}
		if len(machines) == 0 {
			l.c.ProvisioningRefused(l.now, request)
			return
		}
		l.c.ProvisioningGranted(l.now, request, machines)
	})
}

// terminate terminates machines.
func (l *longSim) terminate(machines []ids.MachineID) {
	l.after(longSimCloudTime, func() {
		for _, machine := range machines {
			delete(l.workers, machine)
			l.machines--
		}
		l.c.MachinesTerminated(l.now, machines)
	})
}

// run simulates a duration, with a step of the core every 20 ms.
func (l *longSim) run(d time.Duration) {
	l.after(0, l.submitEverySecond)
	for end := l.now.Add(d); l.now < end; {
		next := l.now.Add(20 * time.Millisecond)
		for len(l.queue) > 0 && l.queue[0].at <= next {
			event := heap.Pop(&l.queue).(simEvent)
			l.now = max(l.now, event.at)
			event.call()
		}
		l.now = next
		l.step()
	}
}

// submitEverySecond submits jobs now and every second from now on.
func (l *longSim) submitEverySecond() {
	l.submitRandomJobs()
	l.after(time.Second, l.submitEverySecond)
}

// BenchmarkLongSimulation reports the work of the core per completed task.
func BenchmarkLongSimulation(b *testing.B) {
	for b.Loop() {
		l := newLongSim()
		for range 150 {
			l.submitRandomJobs()
		}
		l.run(3 * time.Minute)
		if l.done == 0 {
			b.Fatal("no task was done, so nothing was measured")
		}
		b.ReportMetric(float64(l.c.candidates.examined)/float64(l.done), "looks/task")
		b.ReportMetric(float64(len(l.workers)), "machines")
		b.ReportMetric(float64(l.done), "tasks")
		b.Log(l.c.Summary())
	}
}
