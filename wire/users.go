package wire

import (
	"strings"

	"ospreystile.example/ospreystile/ids"
)

// Priority orders jobs; a larger value is scheduled first.
type Priority int

// The protocol's priorities.
const (
	BestEffort Priority = iota
	Normal
	High
	Critical
)

// priorities maps the protocol's words to priorities.
var priorities = map[string]Priority{
	"best_effort": BestEffort,
	"normal":      Normal,
	"high":        High,
	"critical":    Critical,
}

// JobState is the state of a job, as users see it and as the job's record holds it.
type JobState string

// The states of a job. Records never hold JobRunning.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// Terminal reports whether the state is done or cancelled, which are final.
func (s JobState) Terminal() bool { return s == JobDone || s == JobCancelled }

// JobStatus is the response to a request about a job.
type JobStatus struct {
	ID      ids.JobID `msgpack:"nameId"`
	Status  JobState  `msgpack:"status"`
	Done    int       `msgpack:"done"`    // tasks that completed
	Running int       `msgpack:"running"` // tasks that run
}

// JobSpec is a job as its user described it. Its tags are those of the job's record in
// the key-value store; ParseSubmission reads the form that users send.
type JobSpec struct {
	Class string   `msgpack:"c"`
	Team  ids.Team `msgpack:"g"`
	// Service is a job whose tasks, its replicas, run until it is cancelled. Gang is a job
	// whose tasks run at the same time or not at all. A job that is neither is an array of
	// independent tasks.
	Service  bool     `msgpack:"s,omitempty"`
	Gang     bool     `msgpack:"gg,omitempty"`
	Priority Priority `msgpack:"p"`
	// Tasks is the number of tasks. CPUs, GPUs and MemoryGB are what each of them needs.
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
	// OneZone requires all tasks in one zone, Spread at most half of them, rounded up.
	OneZone bool `msgpack:"oz,omitempty"`
	Spread  bool `msgpack:"sp,omitempty"`
	// Spot reports whether the job may run on spot instances.
	Spot bool `msgpack:"l,omitempty"`
	// EstimateS is how long the user expects one task to run; 0 for services.
	EstimateS float64 `msgpack:"e,omitempty"`
	// CheckpointEveryS is the interval of a task's checkpoints; 0 means that it stores
	// none. CheckpointS is how long a stopped task needs for one.
	CheckpointEveryS float64 `msgpack:"ce,omitempty"`
	CheckpointS      float64 `msgpack:"cs,omitempty"`
	// DeadlineS is counted from the submission; 0 means no deadline.
	DeadlineS float64 `msgpack:"d,omitempty"`
	// DependsOn lists, each once, the jobs that must be done before any task of this one
	// starts.
	DependsOn []ids.JobID `msgpack:"b,omitempty"`
}

const (
	jobIDPrefix = "job-"
	// maxJobIDLength keeps a job's key within the key-value store's limit for keys.
	maxJobIDLength  = 120
	jobIDCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_."
)

// ValidID reports whether id has the form of a user's job id: "job-" and a suffix of
// letters, digits, '-', '_' and '.', at most 120 bytes together.
func ValidID(id ids.JobID) bool {
	suffix, found := strings.CutPrefix(string(id), jobIDPrefix)
	if !found || suffix == "" || len(id) > maxJobIDLength {
		return false
	}
	return !strings.ContainsFunc(suffix, func(r rune) bool {
		return !strings.ContainsRune(jobIDCharacters, r)
	})
}
