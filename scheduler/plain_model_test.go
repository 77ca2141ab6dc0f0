package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// plainPass is the slow plain model of one round of admission. It starts from
// nothing but the machines and the jobs, adds everything up again for every
// single task, and follows the written rule: within the guarantee first, then
// borrowing; by priority, creation time and id; what does not fit is passed.
func plainPass(c *Core) []string {
	type spot struct{ free, total placement.Resources }
	used := map[ids.Team]quota.Amount{}
	room := map[ids.MachineID]*spot{}
	var total quota.Amount
	for _, m := range c.cluster.Machines() {
		room[m.ID] = &spot{m.Total().Minus(m.Used()), m.Total()}
		total.CPUs += m.Total().CPUs
	}
	var jobs []*cluster.Job
	for _, j := range c.cluster.Jobs() {
		jobs = append(jobs, j)
		used[j.Spec.Team] = used[j.Spec.Team].Plus(j.Amount().Times(len(j.Active())))
	}
	sort.Slice(jobs, func(i, k int) bool {
		a, b := jobs[i], jobs[k]
		return a.Spec.Priority > b.Spec.Priority || a.Spec.Priority == b.Spec.Priority &&
			(a.Queue.ReadyMS < b.Queue.ReadyMS || a.Queue.ReadyMS == b.Queue.ReadyMS && a.ID < b.ID)
	})
	fits := func(j *cluster.Job, nominal bool, n int) bool {
		var over, idle, guaranteed float64
		for _, t := range c.opt.Teams {
			u := used[t.Name].CPUs
			if t.Name == j.Spec.Team {
				u += j.Spec.CPUs * float64(n)
				if u > t.Limit.CPUs+1e-9 || nominal && u > t.Nominal.CPUs+1e-9 {
					return false
				}
			}
			over += max(0, u-t.Nominal.CPUs)
			idle += min(max(0, t.Nominal.CPUs-u), t.LendingLimit.CPUs)
			guaranteed += t.Nominal.CPUs
		}
		return nominal || over <= idle+max(0, total.CPUs-guaranteed)+1e-9
	}
	placedAt := map[ids.TaskRef]*cluster.Machine{}
	var out []string
	// waited tells whether a job that has not begun has waited for so many times as long
	// as it takes to have room kept.
	waited := func(j *cluster.Job, times float64) bool {
		for ref := range placedAt {
			if ref.Job == j.ID {
				return false
			}
		}
		return !j.Started() && c.opt.ReserveAfter > 0 && c.clock.Now().Sub(j.Queue.ReadyAt) > time.Duration(times*float64(c.opt.ReserveAfter))
	}
	borrower := map[ids.Team]wire.Priority{}
	for _, nominal := range []bool{true, false} {
		if !nominal { // those that starve have the first choice of what is lent
			early := map[*cluster.Job]bool{}
			for _, j := range jobs {
				early[j] = waited(j, 2.5)
			}
			sort.SliceStable(jobs, func(i, k int) bool { return early[jobs[i]] && !early[jobs[k]] })
		}
		for _, j := range jobs {
			if nominal && j.Spec.Priority < borrower[j.Spec.Team] {
				continue
			}
			var wait []int
			for i := range j.Tasks() {
				if j.Task(i).State() == cluster.TaskPending && placedAt[ids.TaskRef{Job: j.ID, Index: i}] == nil {
					wait = append(wait, i)
				}
			}
			whole := j.Spec.Gang || j.Spec.Service && len(j.Active()) == 0
			left := len(wait)
			if whole && left > 0 && !fits(j, nominal, left) {
				if nominal && fits(j, false, left) {
					borrower[j.Spec.Team] = max(borrower[j.Spec.Team], j.Spec.Priority)
				}
				continue
			}
			zones := []ids.Zone{""}
			if whole && j.Spec.OneZone && len(j.Active()) == 0 {
				zones = nil
				for _, m := range c.cluster.Machines() {
					if !slices.Contains(zones, m.Zone()) {
						zones = append(zones, m.Zone())
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
					var best *cluster.Machine
					bestScore := 0.0
					for _, m := range c.cluster.Machines() {
						if only != "" && m.Zone() != only {
							continue
						}
						zones := placement.TasksByZone{}
						same := 0
						for _, a := range j.Active() {
							zones[a.Machine.Zone()]++
							if a.Machine == m {
								same++
							}
						}
						for ref, p := range placedAt {
							if ref.Job == j.ID {
								zones[p.Zone()]++
								if p == m {
									same++
								}
							}
						}
						if k := m.Admission.ReservedFor; k != nil && k != j &&
							(k.Spec.Priority >= j.Spec.Priority || j.Spec.Priority < wire.Critical && waited(k, 2.5)) {
							continue
						}
						if !placement.Allowed(j.Spec, m.Site()) || !placement.TaskResources(j.Spec).FitsIn(room[m.ID].free) || !zones.Allows(j.Spec, m.Zone()) {
							continue
						}
						o := placement.Candidate{Site: m.Site(), Free: room[m.ID].free, Total: m.Total(), SameZone: zones[m.Zone()]}
						if j.Spec.Service {
							o.SameJob = same
						}
						o.Fetching = len(m.Assignments()) > 0
						for _, a := range m.Assignments() {
							o.RunsServices = o.RunsServices || a.Job.Spec.Service
						}
						for ref, p := range placedAt {
							o.Fetching = o.Fetching || p == m
							o.RunsServices = o.RunsServices || p == m && c.cluster.Job(ref.Job).Spec.Service
						}
						if s := placement.Score(j.Spec, &o); best == nil || s > bestScore {
							best, bestScore = m, s
						}
					}
					if best == nil {
						break
					}
					placedAt[ids.TaskRef{Job: j.ID, Index: i}] = best
					room[best.ID].free = room[best.ID].free.Minus(placement.TaskResources(j.Spec))
					used[j.Spec.Team] = used[j.Spec.Team].Plus(j.Amount())
					got = append(got, i)
				}
			}
			undo := func() {
				for _, i := range got {
					ref := ids.TaskRef{Job: j.ID, Index: i}
					m := placedAt[ref]
					room[m.ID].free = room[m.ID].free.Plus(placement.TaskResources(j.Spec))
					used[j.Spec.Team] = used[j.Spec.Team].Minus(j.Amount())
					delete(placedAt, ref)
				}
				got = nil
			}
			if len(zones) > 1 {
				// The zone of the best machine for the first task goes first.
				place("")
				var first ids.Zone
				if len(got) > 0 {
					first = placedAt[ids.TaskRef{Job: j.ID, Index: got[0]}].Zone()
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
				borrower[j.Spec.Team] = max(borrower[j.Spec.Team], j.Spec.Priority)
			}
		}
	}
	for ref, m := range placedAt {
		out = append(out, fmt.Sprintf("%s@%s", ref, m.ID))
	}
	slices.Sort(out)
	return out
}

// samePass runs one round of the core and of the plain model, and returns how
// many tasks both have placed.
func (b *harness) samePass() int {
	b.t.Helper()
	want := plainPass(b.c)
	before := map[*cluster.Assignment]bool{}
	for _, m := range b.c.cluster.Machines() {
		for _, a := range m.Assignments() {
			before[a] = true
		}
	}
	b.c.clock.Set(b.now)
	// preempt is left out: the model knows only the placing pass.
	b.c.quota.updateSurplus()
	b.c.admission.admitAll(b.c.queue.waitingJobs())
	var got []string
	for _, m := range b.c.cluster.Machines() {
		for _, a := range m.Assignments() {
			if !before[a] {
				got = append(got, fmt.Sprintf("%s@%s", a.Ref(), m.ID))
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
		b := newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{ReserveAfter: time.Second, ReserveFor: time.Hour}})
		b.c.Begin(b.now)
		b.randomMachines(rng, 1+rng.IntN(6))
		for round := range 4 {
			for n := range rng.IntN(6) {
				spec := wire.JobSpec{Class: "c", Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 1 + rng.IntN(7),
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
			b.c.clock.Set(b.now)
			b.c.reservations.update(b.c.queue.waitingJobs())
			for _, m := range b.c.cluster.Machines() {
				if m.Admission.ReservedFor != nil {
					kept++
				}
			}
		}
	}
	if placed < 1000 || kept < 50 {
		t.Fatalf("the comparison saw only %d placements and %d machines kept", placed, kept)
	}
}
