package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Progress tells a job's progress for display; false if the job is not known.
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

// Progress counts the tasks of a job that are done, and those that run or write a checkpoint.
type Progress struct{ Done, Running int }
