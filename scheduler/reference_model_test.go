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
	// modelSlack absorbs the rounding of decimal sums, as quota.Tracker does.
	modelSlack = 1e-9
	// modelSingleTaskAfter and modelStarvingAfter are multiples of Options.ReserveAfter. A job
	// that has waited longer than the first gets one task per pass. A job that has waited longer
	// than the second is starving and is the first to borrow quota.
	modelSingleTaskAfter = 2
	modelStarvingAfter   = 2.5
)

// referenceModel is a slow and simple model of one round of admission, with which the core is compared.
// It reads only the machines and the jobs, recomputes all sums for each task, and follows the documented
// rule. Nominal quota is used first, then quota is borrowed. Jobs are ordered by priority, creation time
// and identifier. A job that does not fit is skipped.
type referenceModel struct {
	core      *Core
	jobs      []*cluster.Job // in the order of admission
	free      map[ids.MachineID]placement.Resources
	used      map[ids.Team]quota.Amount
	totalCPUs float64 // CPUs of all machines
	placed    map[ids.TaskRef]*cluster.Machine
	// borrowerPriorities holds, by team, the highest priority of a job that fits only with borrowed
	// quota. Jobs of the team with a lower priority get no nominal quota before that job.
	borrowerPriorities map[ids.Team]wire.Priority
}

// modelQuotaCheck reports whether a number of tasks of a job is within the quota of a pass.
type modelQuotaCheck func(j *cluster.Job, tasks int) bool

// modelAttempt holds a job whose waiting tasks a pass tries to place.
type modelAttempt struct {
	job     *cluster.Job
	waiting []int // indexes of tasks
	fits    modelQuotaCheck
	atomic  bool // whether either all tasks are placed or none
}

// newReferenceModel returns a model with the machines, the jobs and the used quota of a core.
func newReferenceModel(c *Core) *referenceModel {
	r := &referenceModel{core: c, free: map[ids.MachineID]placement.Resources{}, used: map[ids.Team]quota.Amount{},
		placed: map[ids.TaskRef]*cluster.Machine{}, borrowerPriorities: map[ids.Team]wire.Priority{}}
	for _, m := range c.cluster.Machines() {
		r.free[m.ID] = m.Total().Minus(m.Used())
		r.totalCPUs += m.Total().CPUs
	}
	for _, j := range c.cluster.Jobs() {
		r.jobs = append(r.jobs, j)
		r.used[j.Spec.Team] = r.used[j.Spec.Team].Plus(j.Amount().Times(len(j.Active())))
	}
	slices.SortFunc(r.jobs, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(a.Queue.ReadyMS, b.Queue.ReadyMS), cmp.Compare(a.ID, b.ID))
	})
	return r
}

// admit runs both passes and returns the sorted placements as TASK@MACHINE.
func (r *referenceModel) admit() []string {
	r.admitWithinNominal()
	r.admitBorrowing()
	var out []string
	for ref, m := range r.placed {
		out = append(out, fmt.Sprintf("%s@%s", ref, m.ID))
	}
	slices.Sort(out)
	return out
}

// admitWithinNominal runs the pass that uses only nominal quota.
func (r *referenceModel) admitWithinNominal() {
	for _, j := range r.jobs {
		if j.Spec.Priority < r.borrowerPriorities[j.Spec.Team] {
			continue
		}
		a := r.newAttempt(j, r.fitsNominal)
		r.tryPlace(a)
		r.recordBorrower(a)
	}
}

// admitBorrowing runs the pass that also uses borrowed quota. Starving jobs are first.
func (r *referenceModel) admitBorrowing() {
	starving := map[*cluster.Job]bool{}
	for _, j := range r.jobs {
		starving[j] = r.waitedLongerThan(j, modelStarvingAfter)
	}
	moveToFront(r.jobs, func(j *cluster.Job) bool { return starving[j] })
	for _, j := range r.jobs {
		r.tryPlace(r.newAttempt(j, r.fitsBorrowing))
	}
}

// moveToFront moves the preferred elements to the front. The order is otherwise unchanged.
func moveToFront[E any](list []E, preferred func(E) bool) {
	rank := func(e E) int {
		if preferred(e) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b E) int { return rank(a) - rank(b) })
}

func (r *referenceModel) newAttempt(j *cluster.Job, fits modelQuotaCheck) modelAttempt {
	return modelAttempt{job: j, waiting: r.waiting(j), fits: fits, atomic: j.Spec.Gang || j.Spec.Service && len(j.Active()) == 0}
}

// waiting returns the tasks of a job that have no machine yet.
func (r *referenceModel) waiting(j *cluster.Job) []int {
	var out []int
	for i := range j.Tasks() {
		if j.Task(i).State() == cluster.TaskPending && r.placed[ids.TaskRef{Job: j.ID, Index: i}] == nil {
			out = append(out, i)
		}
	}
	return out
}

// waitedLongerThan reports whether a job that has not started has waited longer than a multiple of the
// time after which capacity is reserved.
func (r *referenceModel) waitedLongerThan(j *cluster.Job, multiple float64) bool {
	for ref := range r.placed {
		if ref.Job == j.ID {
			return false
		}
	}
	reserveAfter := r.core.opt.ReserveAfter
	return !j.Started() && reserveAfter > 0 && r.core.clock.Now().Sub(j.Queue.ReadyAt) > time.Duration(multiple*float64(reserveAfter))
}

// cpusAfterPlacing returns the CPUs that a team uses once more tasks of a job are placed.
func (r *referenceModel) cpusAfterPlacing(team ids.Team, j *cluster.Job, tasks int) float64 {
	cpus := r.used[team].CPUs
	if team == j.Spec.Team {
		cpus += j.Spec.CPUs * float64(tasks)
	}
	return cpus
}

// team returns the team of a job.
func (r *referenceModel) team(j *cluster.Job) quota.Team {
	i := slices.IndexFunc(r.core.opt.Teams, func(t quota.Team) bool { return t.Name == j.Spec.Team })
	return r.core.opt.Teams[i]
}

func (r *referenceModel) fitsLimit(j *cluster.Job, tasks int) bool {
	return r.cpusAfterPlacing(j.Spec.Team, j, tasks) <= r.team(j).Limit.CPUs+modelSlack
}

func (r *referenceModel) fitsNominal(j *cluster.Job, tasks int) bool {
	return r.fitsLimit(j, tasks) && r.cpusAfterPlacing(j.Spec.Team, j, tasks) <= r.team(j).Nominal.CPUs+modelSlack
}

func (r *referenceModel) fitsBorrowing(j *cluster.Job, tasks int) bool {
	if !r.fitsLimit(j, tasks) {
		return false
	}
	var borrowed, lendable, nominal float64
	for _, t := range r.core.opt.Teams {
		cpus := r.cpusAfterPlacing(t.Name, j, tasks)
		borrowed += max(0, cpus-t.Nominal.CPUs)
		lendable += min(max(0, t.Nominal.CPUs-cpus), t.LendingLimit.CPUs)
		nominal += t.Nominal.CPUs
	}
	return borrowed <= lendable+max(0, r.totalCPUs-nominal)+modelSlack
}

// tryPlace places the waiting tasks of a job as far as quota and machines allow.
func (r *referenceModel) tryPlace(a modelAttempt) {
	if a.atomic && len(a.waiting) > 0 && !a.fits(a.job, len(a.waiting)) {
		return
	}
	if !a.atomic {
		if r.waitedLongerThan(a.job, modelSingleTaskAfter) && len(a.waiting) > 1 {
			a.waiting = a.waiting[:1]
		}
		r.place(a, "")
		return
	}
	for _, zone := range r.zonesToTry(a) {
		got := r.place(a, zone)
		if len(got) == len(a.waiting) {
			return
		}
		r.undo(a.job, got)
	}
}

// recordBorrower records the priority of a job whose remaining tasks fit only with borrowed quota.
func (r *referenceModel) recordBorrower(a modelAttempt) {
	remaining := len(r.waiting(a.job))
	if remaining == 0 {
		return
	}
	if !a.atomic {
		remaining = 1
	}
	if !r.fitsNominal(a.job, remaining) && r.fitsBorrowing(a.job, remaining) {
		team := a.job.Spec.Team
		r.borrowerPriorities[team] = max(r.borrowerPriorities[team], a.job.Spec.Priority)
	}
}

// zonesToTry returns the zones in which the placement of an atomic job is tried, in order. The zone of
// the best machine for its first task is first. The empty name means all zones.
func (r *referenceModel) zonesToTry(a modelAttempt) []ids.Zone {
	if !a.job.Spec.OneZone || len(a.job.Active()) > 0 {
		return []ids.Zone{""}
	}
	var zones []ids.Zone
	for _, m := range r.core.cluster.Machines() {
		if !slices.Contains(zones, m.Zone()) {
			zones = append(zones, m.Zone())
		}
	}
	if got := r.place(a, ""); len(got) > 0 {
		best := r.placed[ids.TaskRef{Job: a.job.ID, Index: got[0]}].Zone()
		r.undo(a.job, got)
		moveToFront(zones, func(z ids.Zone) bool { return z == best })
	}
	return zones
}

// place places each task on its best machine, in the given zone if there is one. It stops at the first
// task that does not fit, and returns the placed tasks.
func (r *referenceModel) place(a modelAttempt, zone ids.Zone) []int {
	var got []int
	for _, i := range a.waiting {
		if !a.fits(a.job, 1) {
			break
		}
		best := r.bestMachine(a.job, zone)
		if best == nil {
			break
		}
		r.placed[ids.TaskRef{Job: a.job.ID, Index: i}] = best
		r.free[best.ID] = r.free[best.ID].Minus(a.job.TaskResources())
		r.used[a.job.Spec.Team] = r.used[a.job.Spec.Team].Plus(a.job.Amount())
		got = append(got, i)
	}
	return got
}

// undo reverts placements of a job.
func (r *referenceModel) undo(j *cluster.Job, tasks []int) {
	for _, i := range tasks {
		ref := ids.TaskRef{Job: j.ID, Index: i}
		machine := r.placed[ref].ID
		r.free[machine] = r.free[machine].Plus(j.TaskResources())
		r.used[j.Spec.Team] = r.used[j.Spec.Team].Minus(j.Amount())
		delete(r.placed, ref)
	}
}

// bestMachine returns the machine with the highest score that can host a task, or nil if there is none.
// Of machines with the same score, it returns the first.
func (r *referenceModel) bestMachine(j *cluster.Job, zone ids.Zone) *cluster.Machine {
	zones := r.tasksByZone(j)
	var best *cluster.Machine
	bestScore := 0.0
	for _, m := range r.core.cluster.Machines() {
		if zone != "" && m.Zone() != zone || r.reservedForOther(m, j) || !r.canHost(m, j, zones) {
			continue
		}
		if score := placement.Score(j.Spec, r.candidate(m, j, zones)); best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// canHost reports whether the site, the free resources and the zone of a machine allow a task of a job.
func (r *referenceModel) canHost(m *cluster.Machine, j *cluster.Job, zones placement.TasksByZone) bool {
	return placement.Allowed(j.Spec, m.Site()) && j.TaskResources().FitsIn(r.free[m.ID]) && zones.Allows(j.Spec, m.Zone())
}

// reservedForOther reports whether a machine is reserved for another job that precedes this one.
func (r *referenceModel) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	owner := m.Admission.ReservedFor
	if owner == nil || owner == j {
		return false
	}
	return owner.Spec.Priority >= j.Spec.Priority || j.Spec.Priority < wire.Critical && r.waitedLongerThan(owner, modelStarvingAfter)
}

// tasksByZone returns the number of tasks of a job in each zone, including those that the model placed.
func (r *referenceModel) tasksByZone(j *cluster.Job) placement.TasksByZone {
	zones := placement.TasksByZone{}
	for _, a := range j.Active() {
		zones[a.Machine.Zone()]++
	}
	for ref, m := range r.placed {
		if ref.Job == j.ID {
			zones[m.Zone()]++
		}
	}
	return zones
}

// tasksOn returns the number of tasks of a job on a machine, including those that the model placed.
func (r *referenceModel) tasksOn(m *cluster.Machine, j *cluster.Job) int {
	count := 0
	for _, a := range j.Active() {
		if a.Machine == m {
			count++
		}
	}
	for ref, machine := range r.placed {
		if ref.Job == j.ID && machine == m {
			count++
		}
	}
	return count
}

// candidate returns a machine as a candidate for a task of a job. All jobs have the same image, so every
// machine with a task is fetching it.
func (r *referenceModel) candidate(m *cluster.Machine, j *cluster.Job, zones placement.TasksByZone) *placement.Candidate {
	c := &placement.Candidate{Site: m.Site(), Free: r.free[m.ID], Total: m.Total(), SameZone: zones[m.Zone()]}
	if j.Spec.Service {
		c.SameJob = r.tasksOn(m, j)
	}
	c.Fetching = len(m.Assignments()) > 0
	for _, a := range m.Assignments() {
		c.RunsServices = c.RunsServices || a.Job.Spec.Service
	}
	for ref, machine := range r.placed {
		if machine == m {
			c.Fetching = true
			c.RunsServices = c.RunsServices || r.core.cluster.Job(ref.Job).Spec.Service
		}
	}
	return c
}

// placements returns the assignments on the machines as TASK@MACHINE.
func (h *harness) placements() map[*cluster.Assignment]string {
	out := map[*cluster.Assignment]string{}
	for _, m := range h.c.cluster.Machines() {
		for _, a := range m.Assignments() {
			out[a] = fmt.Sprintf("%s@%s", a.Ref(), m.ID)
		}
	}
	return out
}

// compareWithModel runs one round of admission of the core and of the reference model, and returns the
// number of tasks that both placed. Preemption is left out because the model has only admission.
func (h *harness) compareWithModel() int {
	h.t.Helper()
	want := newReferenceModel(h.c).admit()
	before := h.placements()
	h.c.clock.Set(h.now)
	h.c.quota.updateSurplus()
	h.c.admission.admitAll(h.c.queue.waitingJobs())
	var got []string
	for a, name := range h.placements() {
		if _, known := before[a]; !known {
			got = append(got, name)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		h.t.Fatalf("placements of the core  %v\nplacements of the model %v", got, want)
	}
	return len(got)
}

// randomModelSpec returns the specification of a random job of one of three teams.
func randomModelSpec(rng *rand.Rand, teams []quota.Team) wire.JobSpec {
	spec := wire.JobSpec{Class: "c", Team: teams[rng.IntN(3)].Name, Priority: wire.Priority(rng.IntN(2)), Tasks: 1 + rng.IntN(7),
		CPUs: float64(1 + rng.IntN(5)), MemoryGB: float64(rng.IntN(12)), Spread: rng.IntN(4) == 0, OneZone: rng.IntN(5) == 0}
	spec.Service = rng.IntN(4) == 0
	spec.Gang = !spec.Service && rng.IntN(4) == 0
	return spec
}

// reserveCapacity advances the time by a second, updates the reservations and returns the number of
// reserved machines.
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

// TestAdmissionMatchesReferenceModel checks that the core places the same tasks on the same machines as
// the reference model, with random teams, machines and jobs. Some seeds also have reservations, and the last ones more
// equal waiting jobs of one team than a pass may search for in vain. They must not keep the core from other jobs.
func TestAdmissionMatchesReferenceModel(t *testing.T) {
	const seeds, firstWithReservations, firstWithCrowd, crowd, rounds = 230, 150, 200, 150, 4
	placed, reserved := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		teams := randomTeams(rng, func() float64 { return float64(rng.IntN(3)) / 2 })
		h := newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{ReserveAfter: time.Second, ReserveFor: time.Hour}})
		h.c.Begin(h.now)
		h.randomMachines(rng, 1+rng.IntN(6))
		for n := range crowd {
			if seed >= firstWithCrowd {
				h.submit(ids.JobID(fmt.Sprintf("job-crowd-%d", n)), wire.JobSpec{Class: "c", Team: teams[2].Name, Priority: 1, Tasks: 1, CPUs: 1, MemoryGB: 1})
			}
		}
		for round := range rounds {
			for n := range rng.IntN(6) {
				h.submit(ids.JobID(fmt.Sprintf("job-%d-%d", round, n)), randomModelSpec(rng, teams))
			}
			placed += h.compareWithModel()
			if seed >= firstWithReservations && seed < firstWithCrowd {
				reserved += h.reserveCapacity()
			}
		}
	}
	t.Logf("%d placements compared, %d machines reserved", placed, reserved)
	if placed < 1000 || reserved < 50 {
		t.Fatalf("only %d placements compared and %d machines reserved", placed, reserved)
	}
}
