package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

const (
	// modelSlack absorbs the rounding of decimal sums, as the trackers of quota do.
	modelSlack = 1e-9
	// modelSingleTaskAfter and modelStarvingAfter are multiples of Options.ReserveAfter: a
	// job that has waited for the first gets one task a pass, and one that has waited for
	// the second is starving and has the first choice of borrowed quota.
	modelSingleTaskAfter = 2
	modelStarvingAfter   = 2.5
)

// plainModel is a slow and simple model of one round of admission, to compare with the
// core. It starts from the machines and the jobs alone, adds everything up again for each
// task, and follows the documented rule: nominal quota first, then borrowing; by priority,
// creation time and identifier; a job that does not fit is skipped.
type plainModel struct {
	core      *Core
	jobs      []*job // in the order of admission
	free      map[ids.MachineID]placement.Resources
	used      map[ids.Team]quota.Amount
	totalCPUs float64 // of all machines
	placed    map[ids.TaskRef]*machine
	// borrowers holds by team the highest priority of a job that fits only with borrowed
	// quota. Jobs of the team with a lower priority get no nominal quota before it.
	borrowers map[ids.Team]wire.Priority
}

// modelQuotaCheck tells whether a number of tasks of a job fits the quota of a pass.
type modelQuotaCheck func(j *job, tasks int) bool

// modelAttempt is a job whose waiting tasks a pass tries to place.
type modelAttempt struct {
	job     *job
	waiting []int // indexes of tasks
	fits    modelQuotaCheck
	atomic  bool // all tasks are placed together or none is
}

// newPlainModel reads the machines, the jobs and the used quota of a core.
func newPlainModel(c *Core) *plainModel {
	p := &plainModel{core: c, free: map[ids.MachineID]placement.Resources{}, used: map[ids.Team]quota.Amount{},
		placed: map[ids.TaskRef]*machine{}, borrowers: map[ids.Team]wire.Priority{}}
	for _, m := range c.registry.machines {
		p.free[m.host] = m.total.Minus(m.used)
		p.totalCPUs += m.total.CPUs
	}
	for _, j := range c.jobs {
		p.jobs = append(p.jobs, j)
		p.used[j.spec.Team] = p.used[j.spec.Team].Plus(j.amount().Times(len(j.active)))
	}
	slices.SortFunc(p.jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.spec.Priority, a.spec.Priority), cmp.Compare(a.readyMS, b.readyMS), cmp.Compare(a.id, b.id))
	})
	return p
}

// admit runs both passes and returns the placements, sorted, as TASK@MACHINE.
func (p *plainModel) admit() []string {
	p.admitWithinNominal()
	p.admitBorrowing()
	var out []string
	for ref, m := range p.placed {
		out = append(out, fmt.Sprintf("%s@%s", ref, m.host))
	}
	slices.Sort(out)
	return out
}

// admitWithinNominal is the pass that uses nominal quota alone.
func (p *plainModel) admitWithinNominal() {
	for _, j := range p.jobs {
		if j.spec.Priority < p.borrowers[j.spec.Team] {
			continue
		}
		a := p.newAttempt(j, p.fitsNominal)
		p.try(a)
		p.noteBorrower(a)
	}
}

// admitBorrowing is the pass that uses lent quota. Starving jobs go first.
func (p *plainModel) admitBorrowing() {
	starving := map[*job]bool{}
	for _, j := range p.jobs {
		starving[j] = p.hasWaited(j, modelStarvingAfter)
	}
	moveToFront(p.jobs, func(j *job) bool { return starving[j] })
	for _, j := range p.jobs {
		p.try(p.newAttempt(j, p.fitsBorrowing))
	}
}

// moveToFront moves the elements that are chosen to the front and keeps the order otherwise.
func moveToFront[E any](list []E, chosen func(E) bool) {
	rank := func(e E) int {
		if chosen(e) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b E) int { return rank(a) - rank(b) })
}

func (p *plainModel) newAttempt(j *job, fits modelQuotaCheck) modelAttempt {
	return modelAttempt{job: j, waiting: p.waiting(j), fits: fits, atomic: j.spec.Gang || j.spec.Service && len(j.active) == 0}
}

// waiting lists the tasks of a job that have no machine yet.
func (p *plainModel) waiting(j *job) []int {
	var out []int
	for i := range j.tasks {
		if j.tasks[i].state == taskPending && p.placed[ids.TaskRef{Job: j.id, Index: i}] == nil {
			out = append(out, i)
		}
	}
	return out
}

// hasWaited tells whether a job that has not begun has waited for longer than a multiple
// of the time after which capacity is reserved.
func (p *plainModel) hasWaited(j *job, multiple float64) bool {
	for ref := range p.placed {
		if ref.Job == j.id {
			return false
		}
	}
	reserveAfter := p.core.opt.ReserveAfter
	return !j.started && reserveAfter > 0 && p.core.now.Sub(j.readyAt) > time.Duration(multiple*float64(reserveAfter))
}

// cpusWith is what a team uses once some more tasks of a job are placed.
func (p *plainModel) cpusWith(team ids.Team, j *job, tasks int) float64 {
	cpus := p.used[team].CPUs
	if team == j.spec.Team {
		cpus += j.spec.CPUs * float64(tasks)
	}
	return cpus
}

// team is the quota of a job's team.
func (p *plainModel) team(j *job) quota.Team {
	i := slices.IndexFunc(p.core.opt.Teams, func(t quota.Team) bool { return t.Name == j.spec.Team })
	return p.core.opt.Teams[i]
}

func (p *plainModel) fitsLimit(j *job, tasks int) bool {
	return p.cpusWith(j.spec.Team, j, tasks) <= p.team(j).Limit.CPUs+modelSlack
}

func (p *plainModel) fitsNominal(j *job, tasks int) bool {
	return p.fitsLimit(j, tasks) && p.cpusWith(j.spec.Team, j, tasks) <= p.team(j).Nominal.CPUs+modelSlack
}

func (p *plainModel) fitsBorrowing(j *job, tasks int) bool {
	if !p.fitsLimit(j, tasks) {
		return false
	}
	var borrowed, lendable, nominal float64
	for _, t := range p.core.opt.Teams {
		cpus := p.cpusWith(t.Name, j, tasks)
		borrowed += max(0, cpus-t.Nominal.CPUs)
		lendable += min(max(0, t.Nominal.CPUs-cpus), t.LendingLimit.CPUs)
		nominal += t.Nominal.CPUs
	}
	return borrowed <= lendable+max(0, p.totalCPUs-nominal)+modelSlack
}

// try places the waiting tasks of a job as far as quota and machines allow.
func (p *plainModel) try(a modelAttempt) {
	if a.atomic && len(a.waiting) > 0 && !a.fits(a.job, len(a.waiting)) {
		return
	}
	if !a.atomic {
		if p.hasWaited(a.job, modelSingleTaskAfter) && len(a.waiting) > 1 {
			a.waiting = a.waiting[:1]
		}
		p.place(a, "")
		return
	}
	for _, zone := range p.zonesToTry(a) {
		got := p.place(a, zone)
		if len(got) == len(a.waiting) {
			return
		}
		p.undo(a.job, got)
	}
}

// noteBorrower remembers a job whose remaining tasks fit with borrowed quota alone.
func (p *plainModel) noteBorrower(a modelAttempt) {
	rest := len(p.waiting(a.job))
	if rest == 0 {
		return
	}
	if !a.atomic {
		rest = 1
	}
	if !p.fitsNominal(a.job, rest) && p.fitsBorrowing(a.job, rest) {
		team := a.job.spec.Team
		p.borrowers[team] = max(p.borrowers[team], a.job.spec.Priority)
	}
}

// zonesToTry lists the zones that an atomic job is placed in, one after the other. The zone
// of the best machine for its first task goes first. The empty name stands for all zones.
func (p *plainModel) zonesToTry(a modelAttempt) []ids.Zone {
	if !a.job.spec.OneZone || len(a.job.active) > 0 {
		return []ids.Zone{""}
	}
	var zones []ids.Zone
	for _, m := range p.core.registry.machineList {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	if got := p.place(a, ""); len(got) > 0 {
		best := p.placed[ids.TaskRef{Job: a.job.id, Index: got[0]}].Zone
		p.undo(a.job, got)
		moveToFront(zones, func(z ids.Zone) bool { return z == best })
	}
	return zones
}

// place puts tasks on their best machines one by one, in a zone if one is given, until one
// finds none. It returns the tasks that were placed.
func (p *plainModel) place(a modelAttempt, zone ids.Zone) []int {
	var got []int
	for _, i := range a.waiting {
		if !a.fits(a.job, 1) {
			break
		}
		best := p.bestMachine(a.job, zone)
		if best == nil {
			break
		}
		p.placed[ids.TaskRef{Job: a.job.id, Index: i}] = best
		p.free[best.host] = p.free[best.host].Minus(placement.TaskResources(a.job.spec))
		p.used[a.job.spec.Team] = p.used[a.job.spec.Team].Plus(a.job.amount())
		got = append(got, i)
	}
	return got
}

// undo takes placements of a job back.
func (p *plainModel) undo(j *job, tasks []int) {
	for _, i := range tasks {
		ref := ids.TaskRef{Job: j.id, Index: i}
		host := p.placed[ref].host
		p.free[host] = p.free[host].Plus(placement.TaskResources(j.spec))
		p.used[j.spec.Team] = p.used[j.spec.Team].Minus(j.amount())
		delete(p.placed, ref)
	}
}

// bestMachine is the first machine with the highest score that may take a task, or nil.
func (p *plainModel) bestMachine(j *job, zone ids.Zone) *machine {
	zones := p.tasksByZone(j)
	var best *machine
	bestScore := 0.0
	for _, m := range p.core.registry.machineList {
		if zone != "" && m.Zone != zone || p.reservedForOther(m, j) || !p.mayTake(m, j, zones) {
			continue
		}
		if score := placement.Score(j.spec, p.candidate(m, j, zones)); best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// mayTake tells whether a machine's site, free resources and zone allow a task of a job.
func (p *plainModel) mayTake(m *machine, j *job, zones placement.TasksByZone) bool {
	return placement.Allowed(j.spec, m.Site) && placement.TaskResources(j.spec).FitsIn(p.free[m.host]) && zones.Allows(j.spec, m.Zone)
}

// reservedForOther tells whether a machine is reserved for a job that goes before this one.
func (p *plainModel) reservedForOther(m *machine, j *job) bool {
	owner := m.reservedFor
	if owner == nil || owner == j {
		return false
	}
	return owner.spec.Priority >= j.spec.Priority || j.spec.Priority < wire.Critical && p.hasWaited(owner, modelStarvingAfter)
}

// tasksByZone counts the tasks of a job by zone, with those that the model placed.
func (p *plainModel) tasksByZone(j *job) placement.TasksByZone {
	zones := placement.TasksByZone{}
	for _, a := range j.active {
		zones[a.machine.Zone]++
	}
	for ref, m := range p.placed {
		if ref.Job == j.id {
			zones[m.Zone]++
		}
	}
	return zones
}

// tasksOn counts the tasks of a job on a machine, with those that the model placed.
func (p *plainModel) tasksOn(m *machine, j *job) int {
	count := 0
	for _, a := range j.active {
		if a.machine == m {
			count++
		}
	}
	for ref, at := range p.placed {
		if ref.Job == j.id && at == m {
			count++
		}
	}
	return count
}

// candidate describes a machine to a task of a job. All jobs have the same image, so that
// it is being fetched wherever there is any task.
func (p *plainModel) candidate(m *machine, j *job, zones placement.TasksByZone) *placement.Candidate {
	c := &placement.Candidate{Site: m.Site, Free: p.free[m.host], Total: m.total, SameZone: zones[m.Zone]}
	if j.spec.Service {
		c.SameJob = p.tasksOn(m, j)
	}
	c.Fetching = len(m.tasks) > 0
	for _, a := range m.tasks {
		c.RunsServices = c.RunsServices || a.job.spec.Service
	}
	for ref, at := range p.placed {
		if at == m {
			c.Fetching = true
			c.RunsServices = c.RunsServices || p.core.jobs[ref.Job].spec.Service
		}
	}
	return c
}

// placements lists what is on the machines, as TASK@MACHINE by assignment.
func (b *harness) placements() map[*assignment]string {
	out := map[*assignment]string{}
	for _, m := range b.c.registry.machineList {
		for _, a := range m.tasks {
			out[a] = fmt.Sprintf("%s@%s", a.ref(), m.host)
		}
	}
	return out
}

// compareWithModel runs one round of the core and of the plain model, and returns how many
// tasks both have placed. Preemption is left out, as the model knows only admission.
func (b *harness) compareWithModel() int {
	b.t.Helper()
	want := newPlainModel(b.c).admit()
	before := b.placements()
	b.c.now = b.now
	b.c.updateSurplus()
	b.c.admission.admitAll(b.c.waitingJobs())
	var got []string
	for a, name := range b.placements() {
		if _, old := before[a]; !old {
			got = append(got, name)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		b.t.Fatalf("placements of the core  %v\nplacements of the model %v", got, want)
	}
	return len(got)
}

// randomModelSpec is a random job of one of three teams.
func randomModelSpec(rng *rand.Rand, teams []quota.Team) wire.JobSpec {
	spec := wire.JobSpec{Class: "c", Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 1 + rng.IntN(7),
		CPUs: float64(1 + rng.IntN(5)), MemoryGB: float64(rng.IntN(12)), Spread: rng.IntN(4) == 0, OneZone: rng.IntN(5) == 0}
	spec.Service = rng.IntN(4) == 0
	spec.Gang = !spec.Service && rng.IntN(4) == 0
	return spec
}

// reserveCapacity lets a second pass, updates the reservations and counts the machines
// that are reserved.
func (b *harness) reserveCapacity() int {
	b.now = b.now.Add(time.Second)
	b.c.now = b.now
	b.c.updateReservations(b.c.waitingJobs())
	reserved := 0
	for _, m := range b.c.registry.machineList {
		if m.reservedFor != nil {
			reserved++
		}
	}
	return reserved
}

func TestAdmissionMatchesPlainModel(t *testing.T) {
	const seeds, firstWithReservations, rounds = 200, 150, 4
	placed, reserved := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		teams := randomTeams(rng, func() float64 { return float64(rng.IntN(3)) / 2 })
		b := newHarness(t, Options{Teams: teams, ReserveAfter: time.Second, ReserveFor: time.Hour})
		b.c.Begin(b.now)
		b.randomMachines(rng, 1+rng.IntN(6))
		for round := range rounds {
			for n := range rng.IntN(6) {
				b.job(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), randomModelSpec(rng, teams))
			}
			placed += b.compareWithModel()
			if seed >= firstWithReservations {
				reserved += b.reserveCapacity()
			}
		}
	}
	t.Logf("%d placements compared, %d machines reserved", placed, reserved)
	if placed < 1000 || reserved < 50 {
		t.Fatalf("only %d placements compared and %d machines reserved", placed, reserved)
	}
}
