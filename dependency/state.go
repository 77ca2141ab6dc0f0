package dependency

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// State represents the state of a job. A waiting job becomes ready or cancelled. A ready job becomes
// done or cancelled. No job moves back.
type State uint8

const (
	// Unknown is the state of a job without a record. Other jobs may already depend on it.
	Unknown State = iota
	// Waiting is the state of a job with a dependency that is not done.
	Waiting
	// Ready is the state of a job whose dependencies are all done according to committed records.
	Ready
	// Done is the state of a job that is done according to its record. It is final.
	Done
	// Cancelled is the state of a job that is cancelled according to its record, or that
	// depends on a cancelled job. It is final.
	Cancelled
)

// Record holds the part of a job's record that the graph needs.
type Record struct {
	Status    wire.JobState
	DependsOn []ids.JobID
	Priority  wire.Priority
	// SubmittedMS and DoneMS are the Unix times in milliseconds of the job's submission and of
	// its end; 0 means unknown.
	SubmittedMS, DoneMS int64
	// DueMS is the job's deadline as a Unix time in milliseconds; 0 means none.
	DueMS int64
	// ExpectedRun is the expected run time of the job's tasks.
	ExpectedRun time.Duration
}

// Readiness holds the state of a job as derived from all records. The zero value is the readiness of
// an unknown job.
type Readiness struct {
	State State
	// Priority is the effective priority: the highest of the job's own priority and the
	// priorities of the jobs that wait for it directly or transitively.
	Priority wire.Priority
	// ReadyMS is the Unix time in milliseconds at which the job became ready. While the job is
	// waiting, it is the earliest time at which the job can still become ready.
	ReadyMS int64
	// StartByMS is the latest start, as a Unix time in milliseconds, with which the job and
	// all jobs that depend on it can meet their deadlines; 0 means that there is no limit. The
	// deadlines of jobs that are cancelled later still count.
	StartByMS int64
}
