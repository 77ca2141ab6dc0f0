// Package records defines the durable records in the key-value store: their keys, their
// encoding, and the changes that controllers make to them.
//
// A Change is a set of operations with the preconditions under which they are valid. It is
// applied as a whole or not at all. This package builds changes and defines their results,
// and does no I/O. Package records/commit commits changes. Keys and encodings must not change,
// because controllers of different versions run at the same time and read each other's records.
package records

import (
	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Job is the durable record of a job. Its status is queued, done or cancelled. The record does
// not contain whether tasks are running.
type Job struct {
	// Nonce identifies the change that wrote the record, so that a change whose response was
	// lost is recognized in the store.
	Nonce  uint64        `msgpack:"w"`
	Status wire.JobState `msgpack:"s"`
	// Tasks is the number of tasks.
	Tasks int `msgpack:"n"`
	// Spec is nil in the records of jobs whose specification is no longer needed.
	Spec *wire.JobSpec `msgpack:"p,omitempty"`
	// SubmittedMS is the submission time as Unix time in milliseconds. Jobs are ordered by it.
	SubmittedMS int64 `msgpack:"t,omitempty"`
	// DoneMS is the completion time as Unix time in milliseconds. Jobs that depend on this
	// job are ready from then on. It is zero in records of versions without this field. For a
	// cancelled job it is the time of the cancellation.
	DoneMS int64 `msgpack:"e,omitempty"`
}

// DependencyRecord returns the fields of the record that the dependency graph needs.
func (j *Job) DependencyRecord() dependency.Record {
	r := dependency.Record{Status: j.Status, SubmittedMS: j.SubmittedMS, DoneMS: j.DoneMS}
	spec := j.Spec
	if spec == nil {
		return r
	}
	r.DependsOn, r.Priority, r.ExpectedRun = spec.DependsOn, spec.Priority, monotonic.Seconds(spec.EstimateS)
	// The deadline of a job without dependencies does not affect the order.
	if len(spec.DependsOn) > 0 && spec.DeadlineS > 0 {
		r.DueMS = j.SubmittedMS + monotonic.Seconds(spec.DeadlineS).Milliseconds()
	}
	return r
}

// Terminal reports whether the job is done or cancelled, which is final.
func (j *Job) Terminal() bool { return j.Status.Terminal() }

// AdmissionSlice is the durable record of some of a job's tasks. It holds the machine to which
// each task was admitted, and its last attempt. It is committed before any of these tasks is
// started, so a task can run only on the machine in its record. Only the field Tasks determines
// which tasks the slice covers. The slice number does not, because slices are split when they
// become too large, and because the setting slice_tasks may change.
type AdmissionSlice struct {
	// Nonce identifies the change that wrote the record, as in Job.
	Nonce uint64 `msgpack:"w"`
	// Machines lists the machines to which tasks were admitted.
	Machines []ids.MachineID `msgpack:"h"`
	// Zones holds the zone of each machine, so that the next leader can respect the
	// OneZone and Spread of the job before it receives heartbeats of the machines.
	Zones []ids.Zone `msgpack:"z"`
	// Tasks holds triples: task index, last attempt, and index in Machines or -1.
	Tasks []int `msgpack:"t"`
	// Done holds the indexes of the completed tasks.
	Done []int `msgpack:"d,omitempty"`
}
