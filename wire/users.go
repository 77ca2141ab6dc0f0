package wire

import (
	"strings"

	"ospreystile.example/ospreystile/ids"
)

// Priority orders jobs. Jobs of a higher priority are scheduled first.
type Priority int

// The priorities of jobs. Submissions carry the names below, and records these numbers.
const (
	BestEffort Priority = iota
	Normal
	High
	Critical
)

// priorities maps the names in the protocol to priorities.
var priorities = map[string]Priority{
	"best_effort": BestEffort,
	"normal":      Normal,
	"high":        High,
	"critical":    Critical,
}

// JobState represents the state of a job, in responses to users and in the job's record.
type JobState string

// The states of a job. JobRunning appears only in responses, never in records.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// Terminal reports whether the state is final: done or cancelled.
func (s JobState) Terminal() bool { return s == JobDone || s == JobCancelled }

// JobStatus is a controller's response to a user's submission, status query or cancellation.
// All fields are always sent.
type JobStatus struct {
	ID      ids.JobID `msgpack:"nameId"`
	Status  JobState  `msgpack:"status"`
	Done    int       `msgpack:"done"`    // completed tasks
	Running int       `msgpack:"running"` // running tasks
}

// JobSpec holds a job's specification by its user. Its tags are those of the job's record in
// the key-value store; ParseSubmission reads the form that users submit.
type JobSpec struct {
	Class string   `msgpack:"c"`
	Team  ids.Team `msgpack:"g"`
	// Service reports whether the tasks are replicas that run until the job is cancelled. Gang
	// reports whether the tasks run all at the same time or not at all. A job that is neither
	// is an array of independent tasks.
	Service  bool     `msgpack:"s,omitempty"`
	Gang     bool     `msgpack:"gg,omitempty"`
	Priority Priority `msgpack:"p"`
	// Tasks is the number of tasks. CPUs, GPUs and MemoryGB are the resources of each task.
	Tasks    int       `msgpack:"n"`
	CPUs     float64   `msgpack:"u"`
	GPUs     float64   `msgpack:"a,omitempty"`
	MemoryGB float64   `msgpack:"m"`
	Image    ids.Image `msgpack:"i"`
	ImageGB  float64   `msgpack:"ig"`
	// Types lists the machine types that the job may use; empty means any.
	Types []ids.MachineType `msgpack:"t,omitempty"`
	// Zone is the zone that the job must run in; empty means any.
	Zone ids.Zone `msgpack:"z,omitempty"`
	// OneZone reports whether all tasks must run in the same zone. Spread reports whether at
	// most half of the tasks, rounded up, may run in the same zone.
	OneZone bool `msgpack:"oz,omitempty"`
	Spread  bool `msgpack:"sp,omitempty"`
	// Spot reports whether the job may run on spot instances.
	Spot bool `msgpack:"l,omitempty"`
	// EstimateS is the run time that the user expects of one task; 0 for services.
	EstimateS float64 `msgpack:"e,omitempty"`
	// CheckpointEveryS is the interval between a task's checkpoints; 0 means that it stores
	// none. CheckpointS is the time that a stopped task needs to store one.
	CheckpointEveryS float64 `msgpack:"ce,omitempty"`
	CheckpointS      float64 `msgpack:"cs,omitempty"`
	// DeadlineS is the deadline, counted from the submission; 0 means none.
	DeadlineS float64 `msgpack:"d,omitempty"`
	// DependsOn lists the jobs that must be done before any task of this one starts, without
	// duplicates.
	DependsOn []ids.JobID `msgpack:"b,omitempty"`
}

const (
	jobIDPrefix = "job-"
	// maxJobIDLength is in bytes. It keeps the key of a job's record within the key-value
	// store's limit for keys.
	maxJobIDLength  = 120
	jobIDCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_."
)

// ValidJobID reports whether id has the form of a job ID: "job-" and a non-empty suffix of
// letters, digits, '-', '_' and '.', at most 120 bytes in total.
func ValidJobID(id ids.JobID) bool {
	suffix, found := strings.CutPrefix(string(id), jobIDPrefix)
	if !found || suffix == "" || len(id) > maxJobIDLength {
		return false
	}
	return !strings.ContainsFunc(suffix, func(r rune) bool {
		return !strings.ContainsRune(jobIDCharacters, r)
	})
}
