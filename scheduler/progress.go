package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Progress returns a job's progress for display. It returns false if the job is not known.
func (c *Core) Progress(id ids.JobID) (Progress, bool) {
	j := c.cluster.Job(id)
	if j == nil {
		return Progress{}, false
	}
	s := Progress{Done: j.Done()}
	for _, a := range j.Active() {
		if a.Run.Phase == wire.TaskRunning || a.Run.Phase == wire.TaskCheckpointing {
			s.Running++
		}
	}
	return s, true
}

// Progress holds the number of a job's tasks that are done, and of those that run or write a
// checkpoint.
type Progress struct{ Done, Running int }
