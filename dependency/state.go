package dependency

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// State is the state of a job. A waiting job becomes ready or cancelled, and a ready one
// done or cancelled; no job moves back.
type State uint8

const (
	// Unknown is the state of a job without a record, which others may depend on already.
	Unknown State = iota
	// Waiting is the state of a job that depends on a job which is not done.
	Waiting
	// Ready is the state of a job whose dependencies are all done, by committed records.
	Ready
	// Done is final.
	Done
	// Cancelled is final. The job's own record says so, or a job that it depends on is
	// cancelled.
	Cancelled
)

// Record is the part of a job's record that the graph needs.
type Record struct {
	Status    wire.JobState
	DependsOn []ids.JobID
	Priority  wire.Priority
	// SubmittedMS and DoneMS are the Unix times in milliseconds of the submission and of the
	// job's end; 0 means unknown.
	SubmittedMS, DoneMS int64
	// DueMS is the job's deadline as a Unix time in milliseconds; 0 means none.
	DueMS int64
	// ExpectedRun is how long the job's tasks are expected to run.
	ExpectedRun time.Duration
}

// Readiness is the state of a job as derived from all records. The zero value is that of an
// unknown job.
type Readiness struct {
	State State
	// Priority is the effective priority: the highest of the job's own and of the jobs that
	// wait for it, directly or through others.
	Priority wire.Priority
	// ReadyMS is the Unix time in milliseconds at which the job became ready. While it
	// waits, this is the earliest that is still possible.
	ReadyMS int64
	// StartByMS is the latest start, as a Unix time in milliseconds, with which the job and
	// all jobs that depend on it can meet their deadlines; 0 means that there is none. A job
	// that was cancelled later still counts.
	StartByMS int64
}
