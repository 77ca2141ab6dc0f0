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

// This file plays a long day of a large fleet to measure the cost of the core alone. Nothing
// fails in it and no rule is checked: sim_test.go does that.
//
//	go test ./scheduler -run - -bench LongDay -cpuprofile cpu.out

const (
	longDayWriteTime = 5 * time.Millisecond
	longDayCallTime  = 3 * time.Millisecond
	longDayCloudTime = 250 * time.Millisecond
	longDayCapacity  = 1900 // machines
)

// longDay stands in for a whole fleet, its cloud, store and users. It injects no faults.
type longDay struct {
	rng         *rand.Rand
	c           *Core
	now         monotonic.Instant
	queue       simQueue
	sequence    int
	workers     map[ids.MachineID]*longWorker
	provisioned int
	machines    int
	jobs        int
	done        int
	specs       map[ids.JobID]*wire.JobSpec
	revision    ids.Revision
}

// longWorker is a machine of the fleet and its agent.
type longWorker struct {
	id            ids.MachineID
	site          wire.ProvisionRequest
	sequence      ids.Sequence
	token         ids.FencingToken
	tasks         []wire.TaskStatus
	statusChanged bool
}

// newLongDay is a fleet of 630 machines, which boot at once.
func newLongDay() *longDay {
	l := &longDay{rng: rand.New(rand.NewPCG(3, 5)), now: monotonic.Instant(time.Hour), workers: map[ids.MachineID]*longWorker{},
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

// after has a function called after a time.
func (l *longDay) after(t time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.queue, simEvent{l.now.Add(t), l.sequence, f})
}

// boot adds a machine that sends its first heartbeat after a time.
func (l *longDay) boot(r wire.ProvisionRequest, in time.Duration) ids.MachineID {
	l.provisioned++
	l.machines++
	w := &longWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", l.provisioned)), site: r}
	l.after(in, func() { l.workers[w.id] = w; l.heartbeat(w) })
	return w.id
}

// newHeartbeat is the next heartbeat of a worker.
func (w *longWorker) newHeartbeat() *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: w.id, Endpoint: string(w.id), Type: w.site.Type, Zone: w.site.Zone, Spot: w.site.Spot, Incarnation: 1, Sequence: w.sequence,
		FencingToken: w.token, Tasks: slices.Clone(w.tasks)}
}

// heartbeat sends a heartbeat, and the next one after an interval without another.
func (l *longDay) heartbeat(w *longWorker) {
	if l.workers[w.id] != w {
		return
	}
	w.statusChanged = false
	o, _ := l.c.Heartbeat(l.now, w.newHeartbeat())
	w.token = max(w.token, o.FencingToken)
	l.execute(w, o.Commands)
	tick := w.sequence
	l.after(5*time.Second, func() {
		if w.sequence == tick {
			l.heartbeat(w)
		}
	})
}

// markStatusChanged has a worker send a heartbeat soon, as a status has changed.
func (l *longDay) markStatusChanged(w *longWorker) {
	if !w.statusChanged {
		w.statusChanged = true
		l.after(500*time.Millisecond, func() { l.heartbeat(w) })
	}
}

// execute carries commands out.
func (l *longDay) execute(w *longWorker, orders []wire.Command) {
	for _, o := range orders {
		i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
		switch {
		case o.Verb == wire.VerbRun && i < 0:
			ref, _ := ids.ParseTask(o.Name)
			spec := l.specs[ref.Job]
			w.tasks = append(w.tasks, wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning})
			if !spec.Service {
				l.after(monotonic.Seconds(spec.EstimateS*(0.7+0.6*l.rng.Float64())), func() { l.endTask(w, o) })
			}
		case o.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskEnded:
			w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
		case o.Verb == wire.VerbReap && i >= 0:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
		l.markStatusChanged(w)
	}
}

// endTask ends a task that has run for its time.
func (l *longDay) endTask(w *longWorker, o wire.Command) {
	i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
	if i >= 0 && w.tasks[i].State == wire.TaskRunning {
		w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		l.done++
		l.markStatusChanged(w)
	}
}

// submit submits a job of a random team and image.
func (l *longDay) submit(spec wire.JobSpec) {
	l.jobs++
	id := ids.JobID(fmt.Sprintf("job-%05d", l.jobs))
	spec.Team = []ids.Team{"red", "blue", "blue", "gold", "lime"}[l.rng.IntN(5)]
	spec.Image = ids.Image(fmt.Sprintf("i-%s-%d", spec.Class, l.rng.IntN(8)))
	spec.ImageGB = 1
	l.specs[id] = &spec
	l.revision++
	l.c.ObserveJob(l.now, id, &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec, SubmittedMS: int64(l.jobs)}, l.revision)
}

// arrive submits the jobs of a second.
func (l *longDay) arrive() {
	size := func(most int) int { return 20 + l.rng.IntN(most-20) }
	for range 1 + l.rng.IntN(2) {
		l.submit(wire.JobSpec{Class: "render", Priority: wire.Normal, Tasks: size(200), CPUs: 4, MemoryGB: 4, Spot: true, EstimateS: 60})
	}
	for range 1 + l.rng.IntN(3) {
		l.submit(wire.JobSpec{Class: "push", Priority: wire.High, Tasks: size(120), CPUs: 2, MemoryGB: 2.3, Spot: true, EstimateS: 20})
	}
	if l.rng.IntN(3) == 0 {
		l.submit(wire.JobSpec{Class: "map", Priority: wire.Critical, Service: true, Spread: true, Tasks: 12, CPUs: 2, MemoryGB: 3.3})
	}
}

// step runs the core and carries its decisions out.
func (l *longDay) step() {
	e := l.c.Step(l.now)
	for _, change := range e.RecordChanges {
		l.commit(change)
	}
	for _, machine := range e.SendCommands {
		l.sendCommands(machine)
	}
	for _, request := range e.Provision {
		l.provision(request)
	}
	if len(e.Terminate) > 0 {
		l.terminate(e.Terminate)
	}
}

// commit applies a change after the time of a write.
func (l *longDay) commit(change records.Change) {
	l.after(longDayWriteTime, func() {
		l.revision++
		l.c.CommitResult(l.now, records.CommitResult{Change: change, Revision: l.revision})
		l.step()
	})
}

// sendCommands sends a machine the commands that wait for it.
func (l *longDay) sendCommands(machine ids.MachineID) {
	batch, _, ok := l.c.TakeCommands(l.now, machine)
	if !ok {
		return
	}
	l.after(longDayCallTime, func() {
		var response *wire.Heartbeat
		if w := l.workers[machine]; w != nil {
			w.token = max(w.token, batch.FencingToken)
			l.execute(w, batch.Commands)
			response = w.newHeartbeat()
		}
		l.c.CommandsResult(l.now, machine, response)
		l.step()
	})
}

// provision boots the machines of a request, as many as the cloud has capacity for.
func (l *longDay) provision(r wire.ProvisionRequest) {
	l.after(longDayCloudTime, func() {
		var machines []ids.MachineID
		for range r.Count {
			if l.machines < longDayCapacity {
				machines = append(machines, l.boot(r, time.Duration(15+l.rng.IntN(22))*time.Second))
			}
		}
		if len(machines) == 0 {
			l.c.ProvisioningRefused(l.now, r)
			return
		}
		l.c.ProvisioningGranted(l.now, r, machines)
	})
}

// terminate terminates machines.
func (l *longDay) terminate(machines []ids.MachineID) {
	l.after(longDayCloudTime, func() {
		for _, machine := range machines {
			delete(l.workers, machine)
			l.machines--
		}
		l.c.MachinesTerminated(l.now, machines)
	})
}

// run plays for a time, with a step of the core every 20 ms.
func (l *longDay) run(t time.Duration) {
	l.after(0, l.arriving)
	for end := l.now.Add(t); l.now < end; {
		next := l.now.Add(20 * time.Millisecond)
		for len(l.queue) > 0 && l.queue[0].at <= next {
			e := heap.Pop(&l.queue).(simEvent)
			l.now = max(l.now, e.at)
			e.do()
		}
		l.now = next
		l.step()
	}
}

// arriving submits jobs each second from now on.
func (l *longDay) arriving() {
	l.arrive()
	l.after(time.Second, l.arriving)
}

// BenchmarkLongDay reports the work of the core for each task that was done.
func BenchmarkLongDay(b *testing.B) {
	for b.Loop() {
		l := newLongDay()
		for range 150 {
			l.arrive()
		}
		l.run(3 * time.Minute)
		if l.done == 0 {
			b.Fatal("nothing was done, so nothing was measured")
		}
		b.ReportMetric(float64(l.c.candidates.examined)/float64(l.done), "looks/task")
		b.ReportMetric(float64(len(l.workers)), "machines")
		b.ReportMetric(float64(l.done), "tasks")
		b.Log(l.c.Summary())
	}
}
