package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
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
	jobs      []*cluster.Job // in the order of admission
	free      map[ids.MachineID]placement.Resources
	used      map[ids.Team]quota.Amount
	totalCPUs float64 // of all machines
	placed    map[ids.TaskRef]*cluster.Machine
	// borrowers holds by team the highest priority of a job that fits only with borrowed
	// quota. Jobs of the team with a lower priority get no nominal quota before it.
	borrowers map[ids.Team]wire.Priority
}

// modelQuotaCheck tells whether a number of tasks of a job fits the quota of a pass.
type modelQuotaCheck func(j *cluster.Job, tasks int) bool

// modelAttempt is a job whose waiting tasks a pass tries to place.
type modelAttempt struct {
	job     *cluster.Job
	waiting []int // indexes of tasks
	fits    modelQuotaCheck
	atomic  bool // all tasks are placed together or none is
}

// newPlainModel reads the machines, the jobs and the used quota of a core.
func newPlainModel(c *Core) *plainModel {
	p := &plainModel{core: c, free: map[ids.MachineID]placement.Resources{}, used: map[ids.Team]quota.Amount{},
		placed: map[ids.TaskRef]*cluster.Machine{}, borrowers: map[ids.Team]wire.Priority{}}
	for _, m := range c.cluster.Machines() {
		p.free[m.ID] = m.Total().Minus(m.Used())
		p.totalCPUs += m.Total().CPUs
	}
	for _, j := range c.cluster.Jobs() {
		p.jobs = append(p.jobs, j)
		p.used[j.Spec.Team] = p.used[j.Spec.Team].Plus(j.Amount().Times(len(j.Active())))
	}
	slices.SortFunc(p.jobs, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(a.Queue.ReadyMS, b.Queue.ReadyMS), cmp.Compare(a.ID, b.ID))
	})
	return p
}

// admit runs both passes and returns the placements, sorted, as TASK@MACHINE.
func (p *plainModel) admit() []string {
	p.admitWithinNominal()
	p.admitBorrowing()
	var out []string
	for ref, m := range p.placed {
		out = append(out, fmt.Sprintf("%s@%s", ref, m.ID))
	}
	slices.Sort(out)
	return out
}

// admitWithinNominal is the pass that uses nominal quota alone.
func (p *plainModel) admitWithinNominal() {
	for _, j := range p.jobs {
		if j.Spec.Priority < p.borrowers[j.Spec.Team] {
			continue
		}
		a := p.newAttempt(j, p.fitsNominal)
		p.try(a)
		p.noteBorrower(a)
	}
}

// admitBorrowing is the pass that uses lent quota. Starving jobs go first.
func (p *plainModel) admitBorrowing() {
	starving := map[*cluster.Job]bool{}
	for _, j := range p.jobs {
		starving[j] = p.hasWaited(j, modelStarvingAfter)
	}
	moveToFront(p.jobs, func(j *cluster.Job) bool { return starving[j] })
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

func (p *plainModel) newAttempt(j *cluster.Job, fits modelQuotaCheck) modelAttempt {
	return modelAttempt{job: j, waiting: p.waiting(j), fits: fits, atomic: j.Spec.Gang || j.Spec.Service && len(j.Active()) == 0}
}

// waiting lists the tasks of a job that have no machine yet.
func (p *plainModel) waiting(j *cluster.Job) []int {
	var out []int
	for i := range j.Tasks() {
		if j.Task(i).State() == cluster.TaskPending && p.placed[ids.TaskRef{Job: j.ID, Index: i}] == nil {
			out = append(out, i)
		}
	}
	return out
}

// hasWaited tells whether a job that has not begun has waited for longer than a multiple
// of the time after which capacity is reserved.
func (p *plainModel) hasWaited(j *cluster.Job, multiple float64) bool {
	for ref := range p.placed {
		if ref.Job == j.ID {
			return false
		}
	}
	reserveAfter := p.core.opt.ReserveAfter
	return !j.Started() && reserveAfter > 0 && p.core.clock.Now().Sub(j.Queue.ReadyAt) > time.Duration(multiple*float64(reserveAfter))
}

// cpusWith is what a team uses once some more tasks of a job are placed.
func (p *plainModel) cpusWith(team ids.Team, j *cluster.Job, tasks int) float64 {
	cpus := p.used[team].CPUs
	if team == j.Spec.Team {
		cpus += j.Spec.CPUs * float64(tasks)
	}
	return cpus
}

// team is the quota of a job's team.
func (p *plainModel) team(j *cluster.Job) quota.Team {
	i := slices.IndexFunc(p.core.opt.Teams, func(t quota.Team) bool { return t.Name == j.Spec.Team })
	return p.core.opt.Teams[i]
}

func (p *plainModel) fitsLimit(j *cluster.Job, tasks int) bool {
	return p.cpusWith(j.Spec.Team, j, tasks) <= p.team(j).Limit.CPUs+modelSlack
}

func (p *plainModel) fitsNominal(j *cluster.Job, tasks int) bool {
	return p.fitsLimit(j, tasks) && p.cpusWith(j.Spec.Team, j, tasks) <= p.team(j).Nominal.CPUs+modelSlack
}

func (p *plainModel) fitsBorrowing(j *cluster.Job, tasks int) bool {
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
		team := a.job.Spec.Team
		p.borrowers[team] = max(p.borrowers[team], a.job.Spec.Priority)
	}
}

// zonesToTry lists the zones that an atomic job is placed in, one after the other. The zone
// of the best machine for its first task goes first. The empty name stands for all zones.
func (p *plainModel) zonesToTry(a modelAttempt) []ids.Zone {
	if !a.job.Spec.OneZone || len(a.job.Active()) > 0 {
		return []ids.Zone{""}
	}
	var zones []ids.Zone
	for _, m := range p.core.cluster.Machines() {
		if !slices.Contains(zones, m.Zone()) {
			zones = append(zones, m.Zone())
		}
	}
	if got := p.place(a, ""); len(got) > 0 {
		best := p.placed[ids.TaskRef{Job: a.job.ID, Index: got[0]}].Zone()
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
		p.placed[ids.TaskRef{Job: a.job.ID, Index: i}] = best
		p.free[best.ID] = p.free[best.ID].Minus(placement.TaskResources(a.job.Spec))
		p.used[a.job.Spec.Team] = p.used[a.job.Spec.Team].Plus(a.job.Amount())
		got = append(got, i)
	}
	return got
}

// undo takes placements of a job back.
func (p *plainModel) undo(j *cluster.Job, tasks []int) {
	for _, i := range tasks {
		ref := ids.TaskRef{Job: j.ID, Index: i}
		host := p.placed[ref].ID
		p.free[host] = p.free[host].Plus(placement.TaskResources(j.Spec))
		p.used[j.Spec.Team] = p.used[j.Spec.Team].Minus(j.Amount())
		delete(p.placed, ref)
	}
}

// bestMachine is the first machine with the highest score that may take a task, or nil.
func (p *plainModel) bestMachine(j *cluster.Job, zone ids.Zone) *cluster.Machine {
	zones := p.tasksByZone(j)
	var best *cluster.Machine
	bestScore := 0.0
	for _, m := range p.core.cluster.Machines() {
		if zone != "" && m.Zone() != zone || p.reservedForOther(m, j) || !p.mayTake(m, j, zones) {
			continue
		}
		if score := placement.Score(j.Spec, p.candidate(m, j, zones)); best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// mayTake tells whether a machine's site, free resources and zone allow a task of a job.
func (p *plainModel) mayTake(m *cluster.Machine, j *cluster.Job, zones placement.TasksByZone) bool {
	return placement.Allowed(j.Spec, m.Site()) && placement.TaskResources(j.Spec).FitsIn(p.free[m.ID]) && zones.Allows(j.Spec, m.Zone())
}

// reservedForOther tells whether a machine is reserved for a job that goes before this one.
func (p *plainModel) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	owner := m.Admission.ReservedFor
	if owner == nil || owner == j {
		return false
	}
	return owner.Spec.Priority >= j.Spec.Priority || j.Spec.Priority < wire.Critical && p.hasWaited(owner, modelStarvingAfter)
}

// tasksByZone counts the tasks of a job by zone, with those that the model placed.
func (p *plainModel) tasksByZone(j *cluster.Job) placement.TasksByZone {
	zones := placement.TasksByZone{}
	for _, a := range j.Active() {
		zones[a.Machine.Zone()]++
	}
	for ref, m := range p.placed {
		if ref.Job == j.ID {
			zones[m.Zone()]++
		}
	}
	return zones
}

// tasksOn counts the tasks of a job on a machine, with those that the model placed.
func (p *plainModel) tasksOn(m *cluster.Machine, j *cluster.Job) int {
	count := 0
	for _, a := range j.Active() {
		if a.Machine == m {
			count++
		}
	}
	for ref, at := range p.placed {
		if ref.Job == j.ID && at == m {
			count++
		}
	}
	return count
}

// candidate describes a machine to a task of a job. All jobs have the same image, so that
// it is being fetched wherever there is any task.
func (p *plainModel) candidate(m *cluster.Machine, j *cluster.Job, zones placement.TasksByZone) *placement.Candidate {
	c := &placement.Candidate{Site: m.Site(), Free: p.free[m.ID], Total: m.Total(), SameZone: zones[m.Zone()]}
	if j.Spec.Service {
		c.SameJob = p.tasksOn(m, j)
	}
	c.Fetching = len(m.Assignments()) > 0
	for _, a := range m.Assignments() {
		c.RunsServices = c.RunsServices || a.Job.Spec.Service
	}
	for ref, at := range p.placed {
		if at == m {
			c.Fetching = true
			c.RunsServices = c.RunsServices || p.core.cluster.Job(ref.Job).Spec.Service
		}
	}
	return c
}

// placements lists what is on the machines, as TASK@MACHINE by assignment.
func (h *harness) placements() map[*cluster.Assignment]string {
	out := map[*cluster.Assignment]string{}
	for _, m := range h.c.cluster.Machines() {
		for _, a := range m.Assignments() {
			out[a] = fmt.Sprintf("%s@%s", a.Ref(), m.ID)
		}
	}
	return out
}

// compareWithModel runs one round of the core and of the plain model, and returns how many
// tasks both have placed. Preemption is left out, as the model knows only admission.
func (h *harness) compareWithModel() int {
	h.t.Helper()
	want := newPlainModel(h.c).admit()
	before := h.placements()
	h.c.clock.Set(h.now)
	h.c.quota.updateSurplus()
	h.c.admission.admitAll(h.c.queue.waitingJobs())
	var got []string
	for a, name := range h.placements() {
		if _, old := before[a]; !old {
			got = append(got, name)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		h.t.Fatalf("placements of the core  %v\nplacements of the model %v", got, want)
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
func (h *harness) reserveCapacity() int {
	h.now = h.now.Add(time.Second)
	h.c.clock.Set(h.now)
	h.c.reservations.update(h.c.queue.waitingJobs())
	reserved := 0
	for _, m := range h.c.cluster.Machines() {
		if m.Admission.ReservedFor != nil {
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
		h := newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{ReserveAfter: time.Second, ReserveFor: time.Hour}})
		h.c.Begin(h.now)
		h.randomMachines(rng, 1+rng.IntN(6))
		for round := range rounds {
			for n := range rng.IntN(6) {
				h.submit(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), randomModelSpec(rng, teams))
			}
			placed += h.compareWithModel()
			if seed >= firstWithReservations {
				reserved += h.reserveCapacity()
			}
		}
	}
	t.Logf("%d placements compared, %d machines reserved", placed, reserved)
	if placed < 1000 || reserved < 50 {
		t.Fatalf("only %d placements compared and %d machines reserved", placed, reserved)
	}
}
