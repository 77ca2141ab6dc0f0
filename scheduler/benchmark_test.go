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
	d := &longDay{rng: rand.New(rand.NewPCG(3, 5)), now: monotonic.Instant(time.Hour), workers: map[ids.MachineID]*longWorker{},
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
	d.c = New(opt, types)
	d.c.Begin(d.now)
	for range 630 {
		d.boot(wire.ProvisionRequest{Type: "m", Zone: types[0].Zones[d.provisioned%3]}, 0)
	}
	return d
}

// after has a function called after a time.
func (d *longDay) after(t time.Duration, f func()) {
	d.sequence++
	heap.Push(&d.queue, simEvent{d.now.Add(t), d.sequence, f})
}

// boot adds a machine that sends its first heartbeat after a time.
func (d *longDay) boot(r wire.ProvisionRequest, in time.Duration) ids.MachineID {
	d.provisioned++
	d.machines++
	w := &longWorker{id: ids.MachineID(fmt.Sprintf("n-%06d", d.provisioned)), site: r}
	d.after(in, func() { d.workers[w.id] = w; d.heartbeat(w) })
	return w.id
}

// newHeartbeat is the next heartbeat of a worker.
func (w *longWorker) newHeartbeat() *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: w.id, Endpoint: string(w.id), Type: w.site.Type, Zone: w.site.Zone, Spot: w.site.Spot, Incarnation: 1, Sequence: w.sequence,
		FencingToken: w.token, Tasks: slices.Clone(w.tasks)}
}

// heartbeat sends a heartbeat, and the next one after an interval without another.
func (d *longDay) heartbeat(w *longWorker) {
	if d.workers[w.id] != w {
		return
	}
	w.statusChanged = false
	o, _ := d.c.Heartbeat(d.now, w.newHeartbeat())
	w.token = max(w.token, o.FencingToken)
	d.execute(w, o.Commands)
	tick := w.sequence
	d.after(5*time.Second, func() {
		if w.sequence == tick {
			d.heartbeat(w)
		}
	})
}

// markStatusChanged has a worker send a heartbeat soon, as a status has changed.
func (d *longDay) markStatusChanged(w *longWorker) {
	if !w.statusChanged {
		w.statusChanged = true
		d.after(500*time.Millisecond, func() { d.heartbeat(w) })
	}
}

// execute carries commands out.
func (d *longDay) execute(w *longWorker, orders []wire.Command) {
	for _, o := range orders {
		i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
		switch {
		case o.Verb == wire.VerbRun && i < 0:
			ref, _ := ids.ParseTask(o.Name)
			spec := d.specs[ref.Job]
			w.tasks = append(w.tasks, wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning})
			if !spec.Service {
				d.after(monotonic.Seconds(spec.EstimateS*(0.7+0.6*d.rng.Float64())), func() { d.endTask(w, o) })
			}
		case o.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskEnded:
			w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
		case o.Verb == wire.VerbReap && i >= 0:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
		d.markStatusChanged(w)
	}
}

// endTask ends a task that has run for its time.
func (d *longDay) endTask(w *longWorker, o wire.Command) {
	i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
	if i >= 0 && w.tasks[i].State == wire.TaskRunning {
		w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		d.done++
		d.markStatusChanged(w)
	}
}

// submit submits a job of a random team and image.
func (d *longDay) submit(spec wire.JobSpec) {
	d.jobs++
	id := ids.JobID(fmt.Sprintf("job-%05d", d.jobs))
	spec.Team = []ids.Team{"red", "blue", "blue", "gold", "lime"}[d.rng.IntN(5)]
	spec.Image = ids.Image(fmt.Sprintf("i-%s-%d", spec.Class, d.rng.IntN(8)))
	spec.ImageGB = 1
	d.specs[id] = &spec
	d.revision++
	d.c.ObserveJob(d.now, id, &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec, SubmittedMS: int64(d.jobs)}, d.revision)
}

// arrive submits the jobs of a second.
func (d *longDay) arrive() {
	size := func(most int) int { return 20 + d.rng.IntN(most-20) }
	for range 1 + d.rng.IntN(2) {
		d.submit(wire.JobSpec{Class: "render", Priority: wire.Normal, Tasks: size(200), CPUs: 4, MemoryGB: 4, Spot: true, EstimateS: 60})
	}
	for range 1 + d.rng.IntN(3) {
		d.submit(wire.JobSpec{Class: "push", Priority: wire.High, Tasks: size(120), CPUs: 2, MemoryGB: 2.3, Spot: true, EstimateS: 20})
	}
	if d.rng.IntN(3) == 0 {
		d.submit(wire.JobSpec{Class: "map", Priority: wire.Critical, Service: true, Spread: true, Tasks: 12, CPUs: 2, MemoryGB: 3.3})
	}
}

// step runs the core and carries its decisions out.
func (d *longDay) step() {
	e := d.c.Step(d.now)
	for _, change := range e.RecordChanges {
		d.commit(change)
	}
	for _, machine := range e.SendCommands {
		d.sendCommands(machine)
	}
	for _, request := range e.Provision {
		d.provision(request)
	}
	if len(e.Terminate) > 0 {
		d.terminate(e.Terminate)
	}
}

// commit applies a change after the time of a write.
func (d *longDay) commit(change records.Change) {
	d.after(longDayWriteTime, func() {
		d.revision++
		d.c.CommitResult(d.now, records.CommitResult{Change: change, Revision: d.revision})
		d.step()
	})
}

// sendCommands sends a machine the commands that wait for it.
func (d *longDay) sendCommands(machine ids.MachineID) {
	batch, _, ok := d.c.TakeCommands(d.now, machine)
	if !ok {
		return
	}
	d.after(longDayCallTime, func() {
		var response *wire.Heartbeat
		if w := d.workers[machine]; w != nil {
			w.token = max(w.token, batch.FencingToken)
			d.execute(w, batch.Commands)
			response = w.newHeartbeat()
		}
		d.c.CommandsResult(d.now, machine, response)
		d.step()
	})
}

// provision boots the machines of a request, as many as the cloud has capacity for.
func (d *longDay) provision(r wire.ProvisionRequest) {
	d.after(longDayCloudTime, func() {
		var machines []ids.MachineID
		for range r.Count {
			if d.machines < longDayCapacity {
				machines = append(machines, d.boot(r, time.Duration(15+d.rng.IntN(22))*time.Second))
			}
		}
		if len(machines) == 0 {
			d.c.ProvisioningRefused(d.now, r)
			return
		}
		d.c.ProvisioningGranted(d.now, r, machines)
	})
}

// terminate terminates machines.
func (d *longDay) terminate(machines []ids.MachineID) {
	d.after(longDayCloudTime, func() {
		for _, machine := range machines {
			delete(d.workers, machine)
			d.machines--
		}
		d.c.MachinesTerminated(d.now, machines)
	})
}

// run plays for a time, with a step of the core every 20 ms.
func (d *longDay) run(t time.Duration) {
	d.after(0, d.arriving)
	for end := d.now.Add(t); d.now < end; {
		next := d.now.Add(20 * time.Millisecond)
		for len(d.queue) > 0 && d.queue[0].at <= next {
			e := heap.Pop(&d.queue).(simEvent)
			d.now = max(d.now, e.at)
			e.do()
		}
		d.now = next
		d.step()
	}
}

// arriving submits jobs each second from now on.
func (d *longDay) arriving() {
	d.arrive()
	d.after(time.Second, d.arriving)
}

// BenchmarkLongDay reports the work of the core for each task that was done.
func BenchmarkLongDay(b *testing.B) {
	for b.Loop() {
		d := newLongDay()
		for range 150 {
			d.arrive()
		}
		d.run(3 * time.Minute)
		if d.done == 0 {
			b.Fatal("nothing was done, so nothing was measured")
		}
		b.ReportMetric(float64(d.c.candidates.examined)/float64(d.done), "looks/task")
		b.ReportMetric(float64(len(d.workers)), "machines")
		b.ReportMetric(float64(d.done), "tasks")
		b.Log(d.c.Summary())
	}
}
