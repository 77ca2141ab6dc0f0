package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// demandWindow is how long a class's peak is remembered.
const demandWindow = 2 * time.Minute

// classDemand is the recent demand of one class of jobs.
type classDemand struct {
	spec    *wire.JobSpec
	current int
	peaks   [4]int // by half minute
	slot    int
	// Jobs and tasks that came, by half minute.
	jobs, tasks [4]int
}

// expectedArrivals is how many tasks to expect within a time: those that arrived in the
// window, and three times their spread. Tasks arrive in jobs, which widens the spread.
func (p *classDemand) expectedArrivals(within time.Duration) float64 {
	jobs, tasks := 0, 0
	for i := range p.jobs {
		jobs += p.jobs[i]
		tasks += p.tasks[i]
	}
	if jobs == 0 {
		return 0
	}
	part := within.Seconds() / demandWindow.Seconds()
	size := float64(tasks) / float64(jobs)
	return size * (float64(jobs)*part + 3*math.Sqrt(float64(jobs)*part))
}

// advance moves on to the window's slot of the given time.
func (p *classDemand) advance(now monotonic.Instant) {
	slot := int(time.Duration(now) / (demandWindow / 4))
	for ; p.slot < slot; p.slot++ {
		if slot-p.slot > 4 {
			p.slot = slot - 5
			continue
		}
		next := (p.slot + 1) % 4
		p.peaks[next], p.jobs[next], p.tasks[next] = 0, 0, 0
	}
}

// peakTasks is the largest number of tasks at once in the window.
func (p *classDemand) peakTasks() int {
	m := p.current
	for _, v := range p.peaks {
		m = max(m, v)
	}
	return m
}

// recordArrival takes note of a job that became ready.
func (as *autoscaler) recordArrival(s *wire.JobSpec) {
	if p := as.demandByClass[s.Class]; p != nil {
		p.advance(as.core.clock.Now())
		p.jobs[p.slot%4]++
		p.tasks[p.slot%4] += s.Tasks
	}
}

// updateDemand counts the tasks of each class that wait or run.
func (as *autoscaler) updateDemand() {
	count := map[string]int{}
	first := map[string]*cluster.Job{} // by id, of the classes that are new
	for _, j := range as.core.cluster.Jobs() {
		class := j.Spec.Class
		if j.Terminal() || !j.Queue.Ready {
			continue
		}
		count[class] += len(j.Active()) + len(j.Pending())
		if f := first[class]; as.demandByClass[class] == nil && (f == nil || j.ID < f.ID) {
			first[class] = j
		}
	}
	for class, j := range first {
		as.demandByClass[class] = &classDemand{spec: j.Spec}
	}
	for class, p := range as.demandByClass {
		p.advance(as.core.clock.Now())
		p.current = count[class]
		p.peaks[p.slot%4] = max(p.peaks[p.slot%4], p.current)
	}
}
