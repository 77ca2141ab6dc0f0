package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// bench is a core with machines that are up, driven by hand.
type bench struct {
	t    *testing.T
	c    *Core
	now  ids.Instant
	tick ids.Sequence
}

func newBench(t *testing.T, opt Options, types ...wire.MachineType) *bench {
	t.Helper()
	if opt.Teams == nil {
		opt.Teams = []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 64}, Limit: quota.Amount{CPUs: 64}, Lend: quota.Amount{CPUs: 64}}}
	}
	if opt.Revision == 0 {
		opt.Revision = 5
	}
	opt.Report, opt.Lease, opt.Cancel = simReport, simLease, simCancel
	opt.TxnOps, opt.SliceTasks, opt.MaxSkippedJobs, opt.BootFactor, opt.MaxMachines = 8, 4, 100, 4, 100
	opt.Idle, opt.HeadroomIdle = time.Hour, time.Hour
	if types == nil {
		types = []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []ids.Zone{"a", "b"}}}
	}
	return &bench{t: t, c: New(opt, types), now: ids.Instant(time.Hour)}
}

func (b *bench) job(id ids.JobID, spec wire.Spec) {
	if spec.CPUs == 0 {
		spec.CPUs = 2
	}
	if spec.Team == "" {
		spec.Team = "red"
	}
	spec.Image = "i"
	b.c.ObserveJob(b.now, id, &ledger.Job{Status: wire.StatusQueued, Tasks: spec.Tasks, Spec: &spec, SubmittedMS: int64(len(b.c.jobs))}, ids.Revision(100+len(b.c.jobs)))
}

// inherit loads job-1 and its admission record as a predecessor left them.
func (b *bench) inherit(spec wire.Spec, rec ledger.Slice) {
	b.t.Helper()
	spec.Class, spec.Team, spec.CPUs, spec.Image = "c", "red", 2, "i"
	b.c.LoadJob("job-1", &ledger.Job{Status: wire.StatusQueued, Tasks: spec.Tasks, Spec: &spec}, 3)
	if err := b.c.LoadSlice("job-1", 0, &rec, 4); err != nil {
		b.t.Fatal(err)
	}
}

// randomTeams makes three teams that lend the given part of their guarantee.
func randomTeams(rng *rand.Rand, lend func() float64) []quota.Team {
	var teams []quota.Team
	for n := range 3 {
		nominal := float64(4 * rng.IntN(6))
		teams = append(teams, quota.Team{Name: ids.Team(fmt.Sprintf("t%d", n)), Nominal: quota.Amount{CPUs: nominal},
			Limit: quota.Amount{CPUs: nominal + float64(4*rng.IntN(8))}, Lend: quota.Amount{CPUs: nominal * lend()}})
	}
	return teams
}

// randomMachines brings machines up in random zones.
func (b *bench) randomMachines(rng *rand.Rand, count int) {
	for n := range count {
		b.report(ids.Host(fmt.Sprintf("n-%d", n)), []ids.Zone{"a", "b", "c"}[rng.IntN(3)], 0)
	}
}

func (b *bench) report(host ids.Host, zone ids.Zone, token ids.Token, tasks ...wire.Task) wire.ReportAnswer {
	b.tick++
	o, ok := b.c.Report(b.now, &wire.Report{Host: host, Endpoint: string(host), Type: "m", Zone: zone, Session: 1, Sequence: b.tick,
		Token: token, Tasks: tasks}, false)
	if !ok {
		b.t.Fatalf("report of %s not answered", host)
	}
	return o
}

// step runs the core and commits whatever it decides, at once.
func (b *bench) step() Effects {
	e := b.c.Step(b.now)
	for _, ch := range e.Changes {
		b.c.ChangeResult(b.now, ledger.Outcome{Change: ch, Applied: true, Revision: ids.Revision(1000 + ch.ID)})
	}
	return e
}

func verbs(orders []wire.Command, verb string) []string {
	var out []string
	for _, o := range orders {
		if o.Verb == verb {
			out = append(out, fmt.Sprintf("%s#%d", o.Name, o.Attempt))
		}
	}
	return out
}

// A successor placed a replacement replica into a zone that already held half
// of the service: it had not heard from the machines yet and counted their
// tasks to no zone.
func TestSuccessorKeepsSpreadBeforeItHearsFromMachines(t *testing.T) {
	for _, zones := range [][]ids.Zone{{"a", "a"}, nil} {
		b := newBench(t, Options{Predecessor: true, Grace: time.Minute})
		b.inherit(wire.Spec{Service: true, Spread: true, Tasks: 3},
			ledger.Slice{Hosts: []ids.Host{"n-1", "n-2"}, Zones: zones, Tasks: []int{0, 1, 0, 1, 1, 1, 2, 1, -1}})
		b.c.Begin(b.now)
		b.report("n-3", "a", ids.NewToken(5, 0))
		b.step()
		if a := b.c.jobs["job-1"].tasks[2].assignment; a != nil {
			t.Errorf("zones %v: the third replica went to %s in zone %s", zones, a.machine.host, a.machine.Zone)
		}
		b.report("n-4", "b", ids.NewToken(5, 0))
		b.step()
		if a := b.c.jobs["job-1"].tasks[2].assignment; zones != nil && (a == nil || a.machine.Zone != "b") {
			t.Errorf("zones %v: the third replica did not go to zone b", zones)
		}
	}
}

// A direct command can be carried out once more, late. Were reap sent under
// the same token as the run, the copy would start a task that is over.
func TestReapGoesAboveEveryDirectRun(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Tasks: 2})
	b.step()
	e := b.step()
	if !slices.Contains(e.Direct, "n-1") {
		t.Fatalf("nothing goes to the worker at once: %+v", e)
	}
	d, _, _ := b.c.TakeDirect(b.now, "n-1")
	if got := verbs(d.Commands, wire.VerbRun); len(got) != 2 {
		t.Fatalf("runs sent: %v", got)
	}
	b.c.DirectResult(b.now, "n-1", nil)
	ended := wire.Task{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}
	if o := b.report("n-1", "a", d.Token, ended); len(verbs(o.Commands, wire.VerbReap)) != 0 {
		t.Fatalf("reaped before the end is recorded: %+v", o)
	}
	b.step()
	o := b.report("n-1", "a", d.Token, ended)
	if got := verbs(o.Commands, wire.VerbReap); !slices.Equal(got, []string{"job-1/0#1"}) {
		t.Fatalf("reaped: %v", got)
	}
	if o.Token <= d.Token {
		t.Errorf("reap goes out under token %d, the run under %d", o.Token, d.Token)
	}
}

// A task whose start was sent but never seen moves only when the worker shows
// a token above the one it was sent under.
func TestUnansweredRunStaysUntilFenced(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Tasks: 1})
	b.step()
	b.step()
	d, _, _ := b.c.TakeDirect(b.now, "n-1")
	b.c.DirectResult(b.now, "n-1", nil)
	b.c.ObserveJob(b.now, "job-1", &ledger.Job{Status: wire.StatusCancelled, Tasks: 1, Spec: b.c.jobs["job-1"].spec}, 500)
	b.step()
	o := b.report("n-1", "a", d.Token)
	if b.c.quotas.Used("red").CPUs != 2 {
		t.Fatal("the task was counted as gone while its start may still arrive")
	}
	if o.Token <= d.Token {
		t.Fatalf("the counter was not raised: %d after %d", o.Token, d.Token)
	}
	b.report("n-1", "a", o.Token)
	if used := b.c.quotas.Used("red").CPUs; used != 0 {
		t.Fatalf("%v CPUs still count after the worker was fenced", used)
	}
}

// A predecessor cut off from the state service may go on answering workers;
// until its grace and a lease are over, its tasks may run.
func TestPredecessorsGraceCounts(t *testing.T) {
	b := newBench(t, Options{Predecessor: true, Grace: time.Minute})
	b.inherit(wire.Spec{Tasks: 1}, ledger.Slice{Hosts: []ids.Host{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	for _, step := range []struct {
		after time.Duration
		held  bool
	}{{simLease + 5*time.Second, true}, {time.Minute + simLease - time.Second, true}, {time.Minute + simLease + 5*time.Second, false}} {
		b.now = ids.Instant(time.Hour).Add(step.after)
		b.step()
		if held := b.c.quotas.Used("red").CPUs > 0; held != step.held {
			t.Errorf("after %v: still counted %v, want %v", step.after, held, step.held)
		}
	}
}

// Once all other controllers follow this leader nobody else answers workers, and
// what a dead machine holds need not wait for the grace. A lease it does wait:
// a report sent just before may have been answered.
func TestOnceAllFollowThereIsNoGrace(t *testing.T) {
	b := newBench(t, Options{Predecessor: true, Grace: 10 * time.Minute})
	b.inherit(wire.Spec{Tasks: 1}, ledger.Slice{Hosts: []ids.Host{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	followed := 5 * time.Second
	b.c.AllFollow(b.now.Add(followed))
	for _, step := range []struct {
		after time.Duration
		held  bool
	}{{followed + simLease, true}, {followed + simLease + 2*time.Second, false}} {
		b.now = ids.Instant(time.Hour).Add(step.after)
		b.step()
		if held := b.c.quotas.Used("red").CPUs > 0; held != step.held {
			t.Errorf("after %v: still counted %v, want %v", step.after, held, step.held)
		}
	}
}

// A late record of a submission must not bring back a job that is over.
func TestOlderRecordDoesNotReviveAJob(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	spec := wire.Spec{Team: "red", Tasks: 1, CPUs: 1}
	b.c.ObserveJob(b.now, "job-1", &ledger.Job{Status: wire.StatusCancelled, Tasks: 1, Spec: &spec}, 9)
	b.c.ObserveJob(b.now, "job-1", &ledger.Job{Status: wire.StatusQueued, Tasks: 1, Spec: &spec}, 8)
	b.report("n-1", "a", 0)
	b.step()
	if b.c.jobs["job-1"] != nil {
		t.Fatal("the job came back")
	}
}

// A machine that fails tasks of two jobs gets no more of them.
func TestSickMachineIsSetAside(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	for n := range 2 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		b.job(id, wire.Spec{Tasks: 1})
		b.step()
		o := b.report("n-1", "a", 0)
		run := verbs(o.Commands, wire.VerbRun)
		if len(run) != 1 {
			t.Fatalf("job %d: runs %v", n, run)
		}
		b.report("n-1", "a", o.Token, wire.Task{Name: string(id) + "/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError})
		b.c.ObserveJob(b.now, id, &ledger.Job{Status: wire.StatusCancelled, Tasks: 1, Spec: b.c.jobs[id].spec}, 900)
		b.step()
		b.report("n-1", "a", o.Token)
	}
	b.job("job-9", wire.Spec{Tasks: 1})
	b.step()
	if a := b.c.jobs["job-9"].tasks[0].assignment; a != nil {
		t.Fatalf("placed on %s, which fails everything", a.machine.host)
	}
}

// A job of higher priority makes room inside its own team when the team is at
// its limit, and stops no more than it needs.
func TestPreemptsInsideATeamAtItsLimit(t *testing.T) {
	b := newBench(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 4}, Limit: quota.Amount{CPUs: 4}}}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-low", wire.Spec{Tasks: 2, Priority: wire.Normal})
	b.step()
	o := b.report("n-1", "a", 0)
	var shown []wire.Task
	for i := range 2 {
		shown = append(shown, wire.Task{Name: fmt.Sprintf("job-low/%d", i), Attempt: 1, State: wire.TaskRunning})
	}
	b.report("n-1", "a", o.Token, shown...)
	b.job("job-high", wire.Spec{Tasks: 1, Priority: wire.High})
	b.step()
	o = b.report("n-1", "a", o.Token, shown...)
	kills := verbs(o.Commands, wire.VerbKill)
	if len(kills) != 1 {
		t.Fatalf("killed: %v", kills)
	}
	i := slices.IndexFunc(shown, func(s wire.Task) bool { return s.Name+"#1" == kills[0] })
	shown[i].State, shown[i].Cause = wire.TaskEnded, wire.CauseStopped
	b.report("n-1", "a", o.Token, shown...)
	b.step()
	if b.c.jobs["job-high"].tasks[0].assignment == nil {
		t.Fatal("the higher job did not get the room")
	}
}

// plainPass is the slow plain model of one round of admission. It starts from
// nothing but the machines and the jobs, adds everything up again for every
// single task, and follows the written rule: within the guarantee first, then
// borrowing; by priority, creation time and id; what does not fit is passed.
func plainPass(c *Core) []string {
	type spot struct{ free, total placement.Resources }
	used := map[ids.Team]quota.Amount{}
	room := map[ids.Host]*spot{}
	var total quota.Amount
	for _, m := range c.registry.machines {
		room[m.host] = &spot{m.total.Minus(m.used), m.total}
		total.CPUs += m.total.CPUs
	}
	var jobs []*job
	for _, j := range c.jobs {
		jobs = append(jobs, j)
		used[j.spec.Team] = used[j.spec.Team].Plus(j.amount().Times(len(j.active)))
	}
	sort.Slice(jobs, func(i, k int) bool {
		a, b := jobs[i], jobs[k]
		return a.spec.Priority > b.spec.Priority || a.spec.Priority == b.spec.Priority &&
			(a.readyMS < b.readyMS || a.readyMS == b.readyMS && a.id < b.id)
	})
	fits := func(j *job, nominal bool, n int) bool {
		var over, idle, guaranteed float64
		for _, t := range c.opt.Teams {
			u := used[t.Name].CPUs
			if t.Name == j.spec.Team {
				u += j.spec.CPUs * float64(n)
				if u > t.Limit.CPUs+1e-9 || nominal && u > t.Nominal.CPUs+1e-9 {
					return false
				}
			}
			over += max(0, u-t.Nominal.CPUs)
			idle += min(max(0, t.Nominal.CPUs-u), t.Lend.CPUs)
			guaranteed += t.Nominal.CPUs
		}
		return nominal || over <= idle+max(0, total.CPUs-guaranteed)+1e-9
	}
	placedAt := map[ids.TaskRef]*machine{}
	var out []string
	// waited tells whether a job that has not begun has waited for so many times as long
	// as it takes to have room kept.
	waited := func(j *job, times float64) bool {
		for ref := range placedAt {
			if ref.Job == j.id {
				return false
			}
		}
		return !j.started && c.opt.ReserveAfter > 0 && c.now.Sub(j.readyAt) > time.Duration(times*float64(c.opt.ReserveAfter))
	}
	borrower := map[ids.Team]wire.Priority{}
	for _, nominal := range []bool{true, false} {
		if !nominal { // those that starve have the first choice of what is lent
			early := map[*job]bool{}
			for _, j := range jobs {
				early[j] = waited(j, 2.5)
			}
			sort.SliceStable(jobs, func(i, k int) bool { return early[jobs[i]] && !early[jobs[k]] })
		}
		for _, j := range jobs {
			if nominal && j.spec.Priority < borrower[j.spec.Team] {
				continue
			}
			var wait []int
			for i := range j.tasks {
				if j.tasks[i].state == taskPending && placedAt[ids.TaskRef{Job: j.id, Index: i}] == nil {
					wait = append(wait, i)
				}
			}
			whole := j.spec.Gang || j.spec.Service && len(j.active) == 0
			left := len(wait)
			if whole && left > 0 && !fits(j, nominal, left) {
				if nominal && fits(j, false, left) {
					borrower[j.spec.Team] = max(borrower[j.spec.Team], j.spec.Priority)
				}
				continue
			}
			zones := []ids.Zone{""}
			if whole && j.spec.OneZone && len(j.active) == 0 {
				zones = nil
				for _, m := range c.registry.machineList {
					if !slices.Contains(zones, m.Zone) {
						zones = append(zones, m.Zone)
					}
				}
			}
			var got []int
			// place puts tasks one by one, into the given zone only if one is given.
			one := !whole && waited(j, 2)
			place := func(only ids.Zone) {
				got = nil
				for n, i := range wait {
					if n > 0 && one {
						break // the rest has no more right than others
					}
					if !fits(j, nominal, 1) {
						break
					}
					var best *machine
					bestScore := 0.0
					for _, m := range c.registry.machineList {
						if only != "" && m.Zone != only {
							continue
						}
						zones := placement.Zones{}
						same := 0
						for _, a := range j.active {
							zones[a.machine.Zone]++
							if a.machine == m {
								same++
							}
						}
						for ref, p := range placedAt {
							if ref.Job == j.id {
								zones[p.Zone]++
								if p == m {
									same++
								}
							}
						}
						if k := m.reservedFor; k != nil && k != j &&
							(k.spec.Priority >= j.spec.Priority || j.spec.Priority < wire.Critical && waited(k, 2.5)) {
							continue
						}
						if !placement.Allowed(j.spec, m.Site) || !placement.Of(j.spec).Within(room[m.host].free) || !zones.Admits(j.spec, m.Zone) {
							continue
						}
						o := placement.Offer{Site: m.Site, Free: room[m.host].free, Total: m.total, SameZone: zones[m.Zone]}
						if j.spec.Service {
							o.SameJob = same
						}
						o.Fetching = len(m.tasks) > 0
						for _, a := range m.tasks {
							o.HostsServices = o.HostsServices || a.job.spec.Service
						}
						for ref, p := range placedAt {
							o.Fetching = o.Fetching || p == m
							o.HostsServices = o.HostsServices || p == m && c.jobs[ref.Job].spec.Service
						}
						if s := placement.Score(j.spec, &o); best == nil || s > bestScore {
							best, bestScore = m, s
						}
					}
					if best == nil {
						break
					}
					placedAt[ids.TaskRef{Job: j.id, Index: i}] = best
					room[best.host].free = room[best.host].free.Minus(placement.Of(j.spec))
					used[j.spec.Team] = used[j.spec.Team].Plus(j.amount())
					got = append(got, i)
				}
			}
			undo := func() {
				for _, i := range got {
					ref := ids.TaskRef{Job: j.id, Index: i}
					m := placedAt[ref]
					room[m.host].free = room[m.host].free.Plus(placement.Of(j.spec))
					used[j.spec.Team] = used[j.spec.Team].Minus(j.amount())
					delete(placedAt, ref)
				}
				got = nil
			}
			if len(zones) > 1 {
				// The zone of the best machine for the first task goes first.
				place("")
				var first ids.Zone
				if len(got) > 0 {
					first = placedAt[ids.TaskRef{Job: j.id, Index: got[0]}].Zone
				}
				undo()
				sort.SliceStable(zones, func(a, b int) bool { return zones[a] == first && zones[b] != first })
			}
			for _, z := range zones {
				place(z)
				if !whole || len(got) == len(wait) {
					break
				}
				undo()
			}
			rest := 1
			if whole {
				rest = len(wait)
			}
			if nominal && len(got) < len(wait) && !fits(j, true, rest) && fits(j, false, rest) {
				borrower[j.spec.Team] = max(borrower[j.spec.Team], j.spec.Priority)
			}
		}
	}
	for ref, m := range placedAt {
		out = append(out, fmt.Sprintf("%s@%s", ref, m.host))
	}
	slices.Sort(out)
	return out
}

// samePass runs one round of the core and of the plain model, and returns how
// many tasks both have placed.
func (b *bench) samePass() int {
	b.t.Helper()
	want := plainPass(b.c)
	before := map[*assignment]bool{}
	for _, m := range b.c.registry.machineList {
		for _, a := range m.tasks {
			before[a] = true
		}
	}
	b.c.now = b.now
	// preempt is left out: the model knows only the placing pass.
	b.c.updateSurplus()
	b.c.admission.admitAll(b.c.waitingJobs())
	var got []string
	for _, m := range b.c.registry.machineList {
		for _, a := range m.tasks {
			if !before[a] {
				got = append(got, fmt.Sprintf("%s@%s", a.ref(), m.host))
			}
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		b.t.Fatalf("core  %v\n model %v", got, want)
	}
	return len(got)
}

func TestAdmissionMatchesPlainModel(t *testing.T) {
	placed, kept := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		teams := randomTeams(rng, func() float64 { return float64(rng.IntN(3)) / 2 })
		b := newBench(t, Options{Teams: teams, ReserveAfter: time.Second, ReserveFor: time.Hour})
		b.c.Begin(b.now)
		b.randomMachines(rng, 1+rng.IntN(6))
		for round := range 4 {
			for n := range rng.IntN(6) {
				spec := wire.Spec{Class: "c", Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 1 + rng.IntN(7),
					CPUs: float64(1 + rng.IntN(5)), MemoryGB: float64(rng.IntN(12)), Spread: rng.IntN(4) == 0, OneZone: rng.IntN(5) == 0}
				spec.Service = rng.IntN(4) == 0
				spec.Gang = !spec.Service && rng.IntN(4) == 0
				b.job(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), spec)
			}
			placed += b.samePass()
			if seed < 150 {
				continue // no room is kept in these
			}
			b.now = b.now.Add(time.Second)
			b.c.now = b.now
			b.c.updateReservations(b.c.waitingJobs())
			for _, m := range b.c.registry.machineList {
				if m.reservedFor != nil {
					kept++
				}
			}
		}
	}
	if placed < 1000 || kept < 50 {
		t.Fatalf("the comparison saw only %d placements and %d machines kept", placed, kept)
	}
}

// At over a thousand machines the round is still that of the plain model, and
// its work grows with machines times jobs at most, not times tasks. Work is
// counted, not timed.
func TestAdmissionAtScale(t *testing.T) {
	const machines = 1100
	rng := rand.New(rand.NewPCG(3, 1))
	teams := []quota.Team{
		{Name: "t0", Nominal: quota.Amount{CPUs: 2000}, Limit: quota.Amount{CPUs: 6000}, Lend: quota.Amount{CPUs: 2000}},
		{Name: "t1", Nominal: quota.Amount{CPUs: 3000}, Limit: quota.Amount{CPUs: 9000}, Lend: quota.Amount{CPUs: 3000}},
	}
	b := newBench(t, Options{Teams: teams})
	b.c.Begin(b.now)
	b.randomMachines(rng, machines)
	jobs, placed := 0, 0
	for range 3 {
		for range 5 {
			spec := wire.Spec{Class: "c", Team: teams[rng.IntN(2)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 10 + rng.IntN(12),
				CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, Service: rng.IntN(3) == 0}
			b.job(ids.JobID(fmt.Sprintf("job-%d", jobs)), spec)
			jobs++
		}
		placed += b.samePass()
	}
	if placed < 100 {
		t.Fatalf("only %d tasks placed", placed)
	}
	// Two looks around, for the guarantee and for borrowing, and a few more
	// for each task.
	if most := uint64((2*jobs+3)*machines + 8*placed); b.c.admission.MachinesExamined > most {
		t.Errorf("looked at %d machines for %d jobs and %d tasks, at most %d", b.c.admission.MachinesExamined, jobs, placed, most)
	}
	// Work that finds no room costs no more than a look around, however many
	// wait: those alike are not tried twice.
	for n := range 300 {
		b.job(ids.JobID(fmt.Sprintf("job-w%d", n)), wire.Spec{Class: "c", Team: "t0", Tasks: 200, CPUs: 7})
	}
	b.c.admission.scheduleRound()
	before := b.c.admission.MachinesExamined
	b.c.admission.scheduleRound()
	if work := b.c.admission.MachinesExamined - before; work > 20*machines {
		t.Errorf("a pass without room looked at %d machines", work)
	}
}

// Admission and the search for victims must agree on who goes first. Where
// they did not, a task was placed and stopped thousands of times: borrowers
// stopped work within its guarantee, and room for a second replica was made in
// the zone that only the first may use.
func TestNoTaskIsPlacedAndStoppedOverAndOver(t *testing.T) {
	stopped := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		teams := randomTeams(rng, func() float64 { return 1 })
		b := newBench(t, Options{Teams: teams, LatencySensitive: map[string]time.Duration{"hasty": time.Second}})
		b.c.Begin(b.now)
		b.randomMachines(rng, 1+rng.IntN(5))
		for round := range 4 {
			for n := range rng.IntN(5) {
				spec := wire.Spec{Class: []string{"hasty", "calm"}[rng.IntN(2)], Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(4)),
					Tasks: 1 + rng.IntN(5), CPUs: float64(1 + rng.IntN(5)), Spread: rng.IntN(3) == 0, OneZone: rng.IntN(5) == 0}
				spec.Service = rng.IntN(3) == 0
				spec.Gang = !spec.Service && rng.IntN(4) == 0
				b.job(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), spec)
			}
			attempts := func() (sum int) {
				for _, j := range b.c.jobs {
					for i := range j.tasks {
						sum += int(j.tasks[i].attempt)
					}
				}
				return sum
			}
			before := attempts()
			for range 8 {
				b.c.schedulingDue = true
				b.step()
			}
			settled := attempts()
			for range 8 {
				b.c.schedulingDue = true
				b.step()
			}
			if now := attempts(); now != settled {
				t.Fatalf("seed %d round %d: %d attempts at first, then %d, then %d, with nothing happening", seed, round, before, settled, now)
			}
		}
		for _, j := range b.c.jobs {
			if j.retryAt > 0 {
				stopped++
			}
		}
	}
	if stopped == 0 {
		t.Fatal("nothing was ever stopped, so nothing was tested")
	}
}

// A service on a machine that was cut off was replaced only once the machine's
// lease had run out, and then waited for a boot as well. A successor may never
// have heard of the machine.
func TestRentsAheadForServicesOnSilentMachines(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		b := newBench(t, Options{Predecessor: inherited})
		if inherited {
			b.inherit(wire.Spec{Tasks: 1, Service: true}, ledger.Slice{Hosts: []ids.Host{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
			b.c.Begin(b.now)
		} else {
			b.c.Begin(b.now)
			b.report("n-1", "a", 0)
			b.job("job-1", wire.Spec{Tasks: 1, Service: true})
			b.step()
		}
		rented := time.Duration(0)
		for start := b.now; b.now < start.Add(simLease) && rented == 0; b.now = b.now.Add(500 * time.Millisecond) {
			if e := b.step(); len(e.Rent) > 0 {
				rented = b.now.Sub(start)
				if e.Rent[0].Count != 1 || e.Rent[0].Spot {
					t.Errorf("rented %+v", e.Rent)
				}
			}
		}
		if rented < silentReports*simReport || rented > simLease/2 {
			t.Errorf("inherited %v: rented after %v", inherited, rented)
		}
	}
}

// A machine whose lease ran out in silence holds nothing any more, but often
// comes back sooner than another boots: it hung, or lost the network.
func TestSilentMachineIsKeptForAWhile(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	start := b.now
	for ; b.now < start.Add(3*simLease); b.now = b.now.Add(time.Second) {
		if e := b.step(); len(e.Return) > 0 {
			if silent := b.now.Sub(start); silent < silentLeases*simLease {
				t.Errorf("returned after %v", silent)
			}
			return
		}
	}
	t.Error("never returned")
}

// A zone that is cut off is known by its silence within seconds, and what its
// services need is rented before their leases run out. When all zones are
// silent at once, or the leader itself was paused, it is not the zone.
func TestCutZoneIsNoticedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		silent []ids.Zone
		stands time.Duration
		rents  bool
	}{
		"a zone is cut off":       {[]ids.Zone{"a"}, 0, true},
		"no zone is heard":        {[]ids.Zone{"a", "b"}, 0, false},
		"the leader stood still":  {nil, 8 * time.Second, false},
		"nothing is out of order": {nil, 0, false},
	} {
		b := newBench(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 999}, Limit: quota.Amount{CPUs: 999}}}})
		b.c.Begin(b.now)
		hosts := map[ids.Zone][]ids.Host{}
		for n := range 60 {
			zone := []ids.Zone{"a", "b"}[n%2]
			hosts[zone] = append(hosts[zone], ids.Host(fmt.Sprintf("n-%02d", n)))
			b.report(hosts[zone][n/2], zone, 0)
		}
		b.job("job-1", wire.Spec{Tasks: 60, Service: true, CPUs: 8}) // no room is left
		b.step()
		rented := 0
		start := b.now
		for tick := range 80 {
			b.now = b.now.Add(100 * time.Millisecond)
			if tick == 10 {
				b.now = b.now.Add(c.stands)
			}
			for zone, list := range hosts {
				if !slices.Contains(c.silent, zone) {
					b.report(list[tick%30], zone, 0)
				}
			}
			if tick == 10 && c.stands > 0 {
				// Of what came meanwhile only one zone's has been read yet.
				b.c.health.zoneStates["a"].lastHeard = start
			}
			for _, r := range b.step().Rent {
				rented += r.Count
			}
		}
		if (rented > 0) != c.rents {
			t.Errorf("%s: rented %d", name, rented)
		}
	}
}

// A machine on which tasks take much longer than their siblings elsewhere is
// taken last, and after more of them not at all.
func TestSlowMachinesAreTakenLast(t *testing.T) {
	b := newBench(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 640}, Limit: quota.Amount{CPUs: 640}}}})
	b.c.Begin(b.now)
	hosts := []ids.Host{"n-1", "n-2", "n-3"}
	token := ids.NewToken(5, 0)
	for round := range 8 {
		id := ids.JobID(fmt.Sprintf("job-%d", round))
		for _, h := range hosts {
			b.report(h, "a", token)
		}
		b.job(id, wire.Spec{Tasks: 12})
		b.step()
		on := map[ids.Host][]wire.Task{}
		for i, tk := range b.c.jobs[id].tasks {
			if tk.assignment == nil {
				continue
			}
			on[tk.assignment.machine.host] = append(on[tk.assignment.machine.host], wire.Task{Name: fmt.Sprintf("%s/%d", id, i), Attempt: tk.attempt, State: wire.TaskRunning})
		}
		if m := b.c.registry.machines["n-3"]; m.slowStreak >= slowStreakLimit {
			if len(on["n-3"]) > 0 {
				t.Fatalf("round %d: the slow machine was set aside and got %d tasks", round, len(on["n-3"]))
			}
			return
		}
		for _, h := range hosts {
			b.report(h, "a", token)
			b.report(h, "a", token, on[h]...)
		}
		end := func(h ids.Host) {
			for i := range on[h] {
				on[h][i].State, on[h][i].Cause = wire.TaskEnded, wire.CauseDone
			}
			b.report(h, "a", token, on[h]...)
		}
		// The leader runs meanwhile: what it sleeps through counts for nobody.
		running := func(d time.Duration) {
			for until := b.now.Add(d); b.now < until; {
				b.now = b.now.Add(500 * time.Millisecond)
				for _, h := range hosts {
					b.report(h, "a", token, on[h]...)
				}
				b.step()
			}
		}
		running(10 * time.Second)
		end("n-1")
		end("n-2")
		running(20 * time.Second)
		end("n-3")
		b.step()
	}
	t.Fatalf("the slow machine was never set aside: pace %v", b.c.registry.machines["n-3"].slowness)
}

// Spare room for classes in a hurry was once looked for in the free room that
// had already been counted, and so never rented.
func TestHeadroomIsRentedBesideFreeRoom(t *testing.T) {
	b := newBench(t, Options{Headroom: 3, LatencySensitive: map[string]time.Duration{"hasty": time.Second}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Class: "hasty", Tasks: 2, CPUs: 2})
	b.step()
	b.now = b.now.Add(2 * time.Second)
	b.report("n-1", "a", 0)
	e := b.step()
	rented := 0
	for _, r := range e.Rent {
		rented += r.Count
	}
	// The peak of 2 asks for 8 more tasks of 2 CPUs; 4 CPUs are free.
	if rented != 2 {
		t.Fatalf("rented %d machines of 8 CPUs: %+v", rented, e.Rent)
	}
}

// A machine died around a takeover. The successor never heard of it, never saw
// it listed, and held its tasks for two minutes.
func TestMachineThatDiedAtTheTakeoverIsNoticed(t *testing.T) {
	b := newBench(t, Options{Predecessor: true, Grace: 90 * time.Second, ListLag: 3 * time.Second})
	b.inherit(wire.Spec{Tasks: 1}, ledger.Slice{Hosts: []ids.Host{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	for s := range 20 {
		b.now = b.now.Add(time.Second)
		b.c.MachineList(b.now, b.now, nil)
		if e := b.step(); slices.Contains(e.Return, "n-1") {
			if s < 7 {
				t.Fatalf("given back after %d s, within the lag of the list", s+1)
			}
			b.c.ReturnResult(b.now, e.Return, true)
			if b.c.quotas.Used("red").CPUs != 0 {
				t.Fatal("the task still counts")
			}
			return
		}
	}
	t.Fatal("the machine was never given back")
}

// A zone was cut off: its machines were returned after their leases and rented
// again in the same zone, where they could not report either, and counted as
// coming.
func TestZoneThatIsCutOff(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	on := map[ids.Host][]wire.Task{}
	up := func(zone ids.Zone) {
		for n := range 5 {
			h := ids.Host(fmt.Sprintf("n-%s%d", zone, n))
			for _, o := range b.report(h, zone, ids.NewToken(5, 0), on[h]...).Commands {
				on[h] = append(on[h], wire.Task{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning})
			}
		}
	}
	up("a")
	up("b")
	wants := func(at int) {
		b.job(ids.JobID(fmt.Sprintf("job-%d", at)), wire.Spec{Tasks: 30, CPUs: 2, EstimateS: 1000})
	}
	rented := map[ids.Zone]int{}
	for s := range 240 {
		b.now = b.now.Add(time.Second)
		if s%3 == 0 {
			up("a")
		}
		if s == 20 || s == 200 {
			wants(s)
		}
		e := b.step()
		if s < 170 && len(e.Return) > 0 {
			t.Fatalf("after %d s: returned %v", s, e.Return)
		}
		for _, r := range e.Rent {
			if s < 170 {
				rented[r.Zone] += r.Count
			} else {
				rented[r.Zone+" again"] += r.Count
			}
			b.c.RentResult(b.now, r, nil, false)
		}
	}
	if rented["a"] == 0 || rented["b"] != 0 {
		t.Errorf("while zone b was cut off: %v", rented)
	}
	if rented["b again"] == 0 {
		t.Errorf("zone b was never tried again: %v", rented)
	}
}

// With a zone cut off, hundreds of services waited for it, and each round ended
// with them: arrays behind them waited beside idle machines.
func TestCrowdWithoutRoomDoesNotEndThePass(t *testing.T) {
	b := newBench(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 6400}, Limit: quota.Amount{CPUs: 6400}}}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	for n := range 300 { // more than pass_over; there is no machine in zone b
		b.job(ids.JobID(fmt.Sprintf("job-s%d", n)), wire.Spec{Tasks: 1 + n%3, Service: true, Zone: "b", Priority: wire.Critical})
	}
	b.job("job-array", wire.Spec{Tasks: 2, Priority: wire.Normal})
	b.step()
	if n := len(b.c.jobs["job-array"].active); n != 2 {
		t.Fatalf("%d tasks of the array were placed", n)
	}
}

// Room of tasks that end within a boot is not rented for, but work that has
// waited for a boot has seen others take it: there a backlog stayed for a
// minute while hardly anything was rented.
func TestWorkThatWaitedForABootIsRentedFor(t *testing.T) {
	b := newBench(t, Options{})
	b.c.Begin(b.now)
	o := b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Tasks: 4, CPUs: 2, EstimateS: 3})
	b.step()
	o = b.report("n-1", "a", o.Token)
	var on []wire.Task
	for _, order := range o.Commands {
		on = append(on, wire.Task{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
	}
	b.report("n-1", "a", o.Token, on...)
	b.job("job-2", wire.Spec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for s := range 15 { // the type boots in 10 s
		b.now = b.now.Add(time.Second)
		b.report("n-1", "a", o.Token, on...)
		if e := b.step(); len(e.Rent) > 0 {
			if s < 9 {
				t.Fatalf("rented after %d s, although room was about to come", s+1)
			}
			return
		}
	}
	t.Fatal("nothing was rented for work that had waited for a boot")
}
