// Package records defines the durable records in the key-value store: their keys, their
// stored forms, and the changes that controllers make to them.
//
// A Change is a set of operations with the preconditions under which they are valid; it is
// applied as a whole or not at all. This package builds changes and names their results,
// and does no I/O: package commit below it commits them. Keys and stored forms must stay as
// they are, since versions of controllers that run at the same time read each other's
// records.
package records

import (
	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Job is the durable record of a job. Its status is queued, done or cancelled: the record
// does not say whether tasks run.
type Job struct {
	// Nonce identifies the change that wrote the record, so that a change whose answer was
	// lost is recognised in the store.
	Nonce  uint64        `msgpack:"w"`
	Status wire.JobState `msgpack:"s"`
	// Tasks is the number of tasks.
	Tasks int `msgpack:"n"`
	// Spec is nil in the records of jobs whose description is no longer needed.
	Spec *wire.JobSpec `msgpack:"p,omitempty"`
	// SubmittedMS is the Unix time of the submission in milliseconds. Jobs are ordered by it.
	SubmittedMS int64 `msgpack:"t,omitempty"`
	// DoneMS is the Unix time in milliseconds when the job was done; jobs that depend on it
	// are ready from then on. Records of versions that do not know it have zero.
	DoneMS int64 `msgpack:"e,omitempty"`
}

// Dependencies returns what the dependency graph needs of the record.
func (j *Job) Dependencies() dependency.Record {
	r := dependency.Record{Status: j.Status, SubmittedMS: j.SubmittedMS, DoneMS: j.DoneMS}
	spec := j.Spec
	if spec == nil {
		return r
	}
	r.DependsOn, r.Priority, r.ExpectedRun = spec.DependsOn, spec.Priority, monotonic.Seconds(spec.EstimateS)
	// The deadline of a job without dependencies plays no part in the order.
	if len(spec.DependsOn) > 0 && spec.DeadlineS > 0 {
		r.DueMS = j.SubmittedMS + monotonic.Seconds(spec.DeadlineS).Milliseconds()
	}
	return r
}

// Terminal reports whether the job is done or cancelled, which is final.
func (j *Job) Terminal() bool { return j.Status.Terminal() }

// AdmissionSlice is the durable record of some of a job's tasks: the machine to which each
// was admitted, and with which attempt. It is committed before any of these tasks is
// started, so a task can run only where its record says. Tasks alone determines which tasks
// the slice covers. They do not follow from its number, because slices are split when they
// grow too large, and the setting slice_tasks may change.
type AdmissionSlice struct {
	// Nonce identifies the change that wrote the record, as in Job.
	Nonce uint64 `msgpack:"w"`
	// Hosts lists the machines to which tasks were admitted.
	Hosts []ids.MachineID `msgpack:"h"`
	// Zones holds the zone of each machine, so that the next leader can keep oneZone and
	// spread before it receives heartbeats of the machines.
	Zones []ids.Zone `msgpack:"z"`
	// Tasks holds triples: task index, last attempt, and index in Hosts or -1.
	Tasks []int `msgpack:"t"`
	// Done holds the indexes of the tasks that completed.
	Done []int `msgpack:"d,omitempty"`
}
