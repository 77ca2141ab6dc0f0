package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

const (
	// demandWindow is the period over which the peak and the arrivals of a class are counted.
	demandWindow = 2 * time.Minute
	// demandSlots is the number of slots into which the window is divided. Slots expire one by one.
	demandSlots = 4
	// arrivalDeviations is the number of standard deviations that are added to the mean of the
	// arrivals.
	arrivalDeviations = 3
)

// classDemands tracks the recent demand of each class of jobs.
type classDemands struct {
	cluster *cluster.State
	clock   *clock.Clock
	byClass map[string]*classDemand
}

// recordArrival counts a job that became ready. It ignores classes that no update has added yet.
func (c *classDemands) recordArrival(spec *wire.JobSpec) {
	demand := c.byClass[spec.Class]
	if demand == nil {
		return
	}
	demand.advance(c.clock.Now())
	demand.countArrival(spec.Tasks)
}

// update counts the tasks of each class that wait or run, and starts to track new classes.
func (c *classDemands) update() {
	tasks := map[string]int{}
	first := map[string]*cluster.Job{} // the job with the lowest ID of each new class
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
		c.byClass[class] = &classDemand{spec: j.Spec, need: j.TaskResources()}
	}
	for class, demand := range c.byClass {
		demand.advance(c.clock.Now())
		demand.setTasks(tasks[class])
	}
}

// classDemand holds the recent demand of one class of jobs. Its arrays hold one value for each slot
// of the window.
type classDemand struct {
	spec  *wire.JobSpec       // of one job, which represents the class
	need  placement.Resources // of one task of that job
	tasks int                 // number of tasks that wait or run now
	slot  int                 // number of the current slot, counted from instant 0
	peaks [demandSlots]int
	// arrivedJobs and arrivedTasks count the jobs that became ready and their tasks.
	arrivedJobs, arrivedTasks [demandSlots]int
}

// advance moves the window forward to an instant and clears the slots that it enters.
func (d *classDemand) advance(now monotonic.Instant) {
	slot := int(time.Duration(now) / (demandWindow / demandSlots))
	d.slot = max(d.slot, slot-demandSlots) // after a longer gap, the loop clears every slot once
	for ; d.slot < slot; d.slot++ {
		next := (d.slot + 1) % demandSlots
		d.peaks[next], d.arrivedJobs[next], d.arrivedTasks[next] = 0, 0, 0
	}
}

// countArrival counts a job that became ready in the current slot.
func (d *classDemand) countArrival(tasks int) {
	d.arrivedJobs[d.slot%demandSlots]++
	d.arrivedTasks[d.slot%demandSlots] += tasks
}

// setTasks sets the number of tasks that wait or run now, and updates the peak of the current slot.
func (d *classDemand) setTasks(tasks int) {
	d.tasks = tasks
	peak := &d.peaks[d.slot%demandSlots]
	*peak = max(*peak, tasks)
}

// peakTasks returns the largest number of tasks that waited or ran at the same time in the window.
func (d *classDemand) peakTasks() int {
	peak := d.tasks
	for _, p := range d.peaks {
		peak = max(peak, p)
	}
	return peak
}

// expectedArrivals returns an upper estimate of the number of tasks that arrive within a duration:
// the mean that follows from the arrivals in the window, plus arrivalDeviations standard deviations.
// The deviation is computed for jobs, because tasks arrive in jobs, which increases their variance.
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
