package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

const (
	// demandWindow is how long a class's peak and its arrivals are remembered.
	demandWindow = 2 * time.Minute
	// demandSlots is the number of parts of the window, which are forgotten one by one.
	demandSlots = 4
	// arrivalDeviations is how many standard deviations above the mean are expected.
	arrivalDeviations = 3
)

// classDemands follows the recent demand of each class of jobs.
type classDemands struct {
	cluster *cluster.State
	clock   *clock.Clock
	byClass map[string]*classDemand
}

// recordArrival counts a job that became ready. A class that no update has seen yet is not
// followed.
func (c *classDemands) recordArrival(spec *wire.JobSpec) {
	demand := c.byClass[spec.Class]
	if demand == nil {
		return
	}
	demand.advance(c.clock.Now())
	demand.countArrival(spec.Tasks)
}

// update counts the tasks of each class that wait or run, and follows classes that are new.
func (c *classDemands) update() {
	tasks := map[string]int{}
	first := map[string]*cluster.Job{} // by ID, of each new class
	for _, j := range c.cluster.Jobs() {
		class := j.Spec.Class
		if j.Terminal() || !j.Queue.Ready {
			continue
		}
		tasks[class] += len(j.Active()) + len(j.Pending())
		if c.byClass[class] == nil && (first[class] == nil || j.ID < first[class].ID) {
			first[class] = j
		}
	}
	for class, j := range first {
		c.byClass[class] = &classDemand{spec: j.Spec}
	}
	for class, demand := range c.byClass {
		demand.advance(c.clock.Now())
		demand.setTasks(tasks[class])
	}
}

// classDemand is the recent demand of one class of jobs. Its arrays hold one value for each
// slot of the window.
type classDemand struct {
	spec  *wire.JobSpec // of one job of the class, which stands for all
	tasks int           // that wait or run now
	slot  int           // number of the present slot, counted from instant 0
	peaks [demandSlots]int
	// arrivedJobs and arrivedTasks count the jobs that became ready, and their tasks.
	arrivedJobs, arrivedTasks [demandSlots]int
}

// advance moves the window on to a time. Slots that it passes are forgotten.
func (d *classDemand) advance(now monotonic.Instant) {
	slot := int(time.Duration(now) / (demandWindow / demandSlots))
	d.slot = max(d.slot, slot-demandSlots) // the loop clears every slot then
	for ; d.slot < slot; d.slot++ {
		next := (d.slot + 1) % demandSlots
		d.peaks[next], d.arrivedJobs[next], d.arrivedTasks[next] = 0, 0, 0
	}
}

// countArrival counts a job that became ready in the present slot.
func (d *classDemand) countArrival(tasks int) {
	d.arrivedJobs[d.slot%demandSlots]++
	d.arrivedTasks[d.slot%demandSlots] += tasks
}

// setTasks sets how many tasks wait or run now.
func (d *classDemand) setTasks(tasks int) {
	d.tasks = tasks
	peak := &d.peaks[d.slot%demandSlots]
	*peak = max(*peak, tasks)
}

// peakTasks is the largest number of tasks at once in the window.
func (d *classDemand) peakTasks() int {
	peak := d.tasks
	for _, p := range d.peaks {
		peak = max(peak, p)
	}
	return peak
}

// expectedArrivals is how many tasks to expect within a time: as many as arrived in the
// window on average, and three times their spread. Tasks arrive in jobs, which widens the
// spread.
func (d *classDemand) expectedArrivals(within time.Duration) float64 {
	jobs, tasks := 0, 0
	for i := range d.arrivedJobs {
		jobs += d.arrivedJobs[i]
		tasks += d.arrivedTasks[i]
	}
	if jobs == 0 {
		return 0
	}
	expectedJobs := float64(jobs) * (within.Seconds() / demandWindow.Seconds())
	tasksPerJob := float64(tasks) / float64(jobs)
	return tasksPerJob * (expectedJobs + arrivalDeviations*math.Sqrt(expectedJobs))
}
