package ids

import (
	"strconv"
	"strings"
)

// TaskRef identifies one task of a job. Index counts from 0.
type TaskRef struct {
	Job   JobID
	Index int
}

// String returns the task's name on the wire, such as job-000412/3.
func (r TaskRef) String() string { return string(r.Job) + "/" + strconv.Itoa(r.Index) }

// ParseTask parses a task's name in the form that String returns, and reports whether the name
// has that form.
func ParseTask(name string) (TaskRef, bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return TaskRef{}, false
	}
	index, err := strconv.Atoi(name[slash+1:])
	if err != nil || index < 0 {
		return TaskRef{}, false
	}
	return TaskRef{Job: JobID(name[:slash]), Index: index}, true
}
