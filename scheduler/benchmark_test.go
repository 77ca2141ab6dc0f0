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

// This file plays a long day of a large fleet to measure what the core itself
// costs. Nothing fails in it and no rule is checked: sim_test.go does that.
//
//	go test ./scheduler -run - -bench LongDay -cpuprofile cpu.out

// longDay is a fleet that works without faults.
type longDay struct {
	rng      *rand.Rand
	c        *Core
	now      monotonic.Instant
	queue    simQueue
	seq      int
	workers  map[ids.MachineID]*longWorker
	hosts    int
	held     int
	jobs     int
	done     int
	specs    map[ids.JobID]*wire.JobSpec
	revision ids.Revision
}

type longWorker struct {
	host       ids.MachineID
	site       wire.ProvisionRequest
	sequence   ids.Sequence
	token      ids.FencingToken
	tasks      []wire.TaskStatus
	reportSoon bool
}

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
			CancelDeadline:    simCancel,
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
			TxnOps:         24,
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
		d.boot(wire.ProvisionRequest{Type: "m", Zone: types[0].Zones[d.hosts%3]}, 0)
	}
	return d
}

func (d *longDay) after(t time.Duration, f func()) {
	d.seq++
	heap.Push(&d.queue, simEvent{d.now.Add(t), d.seq, f})
}

func (d *longDay) boot(r wire.ProvisionRequest, in time.Duration) ids.MachineID {
	d.hosts++
	d.held++
	w := &longWorker{host: ids.MachineID(fmt.Sprintf("n-%06d", d.hosts)), site: r}
	d.after(in, func() { d.workers[w.host] = w; d.report(w) })
	return w.host
}

func (d *longDay) newReport(w *longWorker) *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: w.host, Endpoint: string(w.host), Type: w.site.Type, Zone: w.site.Zone, Spot: w.site.Spot, Incarnation: 1, Sequence: w.sequence,
		FencingToken: w.token, Tasks: slices.Clone(w.tasks)}
}

func (d *longDay) report(w *longWorker) {
	if d.workers[w.host] != w {
		return
	}
	w.reportSoon = false
	o, _ := d.c.Heartbeat(d.now, d.newReport(w))
	w.token = max(w.token, o.FencingToken)
	d.execute(w, o.Commands)
	tick := w.sequence
	d.after(5*time.Second, func() {
		if w.sequence == tick {
			d.report(w)
		}
	})
}

func (d *longDay) change(w *longWorker) {
	if !w.reportSoon {
		w.reportSoon = true
		d.after(500*time.Millisecond, func() { d.report(w) })
	}
}

func (d *longDay) execute(w *longWorker, orders []wire.Command) {
	for _, o := range orders {
		i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
		switch {
		case o.Verb == wire.VerbRun && i < 0:
			ref, _ := ids.ParseTask(o.Name)
			spec := d.specs[ref.Job]
			w.tasks = append(w.tasks, wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning})
			if !spec.Service {
				d.after(monotonic.Seconds(spec.EstimateS*(0.7+0.6*d.rng.Float64())), func() { d.end(w, o) })
			}
		case o.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskEnded:
			w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
		case o.Verb == wire.VerbReap && i >= 0:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
		d.change(w)
	}
}

func (d *longDay) end(w *longWorker, o wire.Command) {
	i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Name == o.Name && t.Attempt == o.Attempt })
	if i >= 0 && w.tasks[i].State == wire.TaskRunning {
		w.tasks[i].State, w.tasks[i].Cause = wire.TaskEnded, wire.CauseDone
		d.done++
		d.change(w)
	}
}

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

func (d *longDay) step() {
	e := d.c.Step(d.now)
	for _, ch := range e.RecordChanges {
		d.after(5*time.Millisecond, func() {
			d.revision++
			d.c.CommitResult(d.now, records.CommitResult{Change: ch, Applied: true, Revision: d.revision})
			d.step()
		})
	}
	for _, h := range e.SendCommands {
		if x, _, ok := d.c.TakeCommands(d.now, h); ok {
			d.after(3*time.Millisecond, func() {
				var rep *wire.Heartbeat
				if w := d.workers[h]; w != nil {
					w.token = max(w.token, x.FencingToken)
					d.execute(w, x.Commands)
					rep = d.newReport(w)
				}
				d.c.CommandsResult(d.now, h, rep)
				d.step()
			})
		}
	}
	for _, r := range e.Provision {
		d.after(250*time.Millisecond, func() {
			var hosts []ids.MachineID
			for range r.Count {
				if d.held < 1900 {
					hosts = append(hosts, d.boot(r, time.Duration(15+d.rng.IntN(22))*time.Second))
				}
			}
			d.c.ProvisionResult(d.now, r, hosts, len(hosts) > 0)
		})
	}
	if hosts := e.Terminate; len(hosts) > 0 {
		d.after(250*time.Millisecond, func() {
			for _, h := range hosts {
				delete(d.workers, h)
				d.held--
			}
			d.c.MachinesTerminated(d.now, hosts)
		})
	}
}

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

func (d *longDay) arriving() {
	d.arrive()
	d.after(time.Second, d.arriving)
}

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
