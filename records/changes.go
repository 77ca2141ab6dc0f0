package records

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Change represents one atomic change to the records. If all preconditions hold, all operations
// are applied at one revision.
type Change struct {
	// ID identifies the change to its submitter. It is not stored.
	ID            uint64
	Preconditions []kv.Precondition
	Operations    []kv.Operation
}

// require adds the precondition that a key is at a revision. Zero means that the key is absent.
func (c *Change) require(key string, revision ids.Revision) {
	c.Preconditions = append(c.Preconditions, kv.Precondition{Key: key, Revision: revision})
}

// put adds an operation that writes a record, with the precondition that the key is at the revision.
func (c *Change) put(key string, revision ids.Revision, record any) {
	c.require(key, revision)
	c.Operations = append(c.Operations, kv.Operation{PutKey: key, Value: record})
}

// delete adds an operation that deletes a record, with the precondition that the key is at the
// revision.
func (c *Change) delete(key string, revision ids.Revision) {
	c.require(key, revision)
	c.Operations = append(c.Operations, kv.Operation{DeleteKey: key})
}

// SliceVersion identifies an admission slice and the revision at which its record must be.
// Revision 0 means that the slice has no record yet.
type SliceVersion struct {
	Number   int
	Revision ids.Revision
}

// SliceWrite holds an admission slice and its new record.
type SliceWrite struct {
	SliceVersion
	Record AdmissionSlice
}

// PutSlicesChange returns a change that writes admission slices of a job. They are one slice, or
// all parts of a slice that is split, so that each task is in exactly one record at all times.
// The revision of the job is also a precondition, so that no task of a cancelled job is admitted.
func PutSlicesChange(id ids.JobID, jobRevision ids.Revision, writes []SliceWrite) Change {
	var c Change
	c.require(JobKey(id), jobRevision)
	for _, write := range writes {
		c.put(AdmissionKey(id, write.Number), write.Revision, write.Record)
	}
	return c
}

// DeleteSlicesChange returns a change that deletes admission slices of a job that is done or
// cancelled.
func DeleteSlicesChange(id ids.JobID, slices []SliceVersion) Change {
	var c Change
	for _, slice := range slices {
		c.delete(AdmissionKey(id, slice.Number), slice.Revision)
	}
	return c
}

// CompleteJobChange returns a change that records that a job is done, which is final, and that
// deletes admission slices of the job.
func CompleteJobChange(id ids.JobID, jobRevision ids.Revision, record Job, slices []SliceVersion) Change {
	record.Status = wire.JobDone
	c := DeleteSlicesChange(id, slices)
	c.put(JobKey(id), jobRevision, record)
	return c
}

// CreateJobChange returns a change that records a job that has no record yet.
func CreateJobChange(id ids.JobID, record Job) Change {
	var c Change
	c.put(JobKey(id), 0, record)
	return c
}

// CancelJobChange returns a change that records that a job is cancelled, which is final. The record
// keeps the specification, because the tasks count against quota until they have ended. A record
// larger than maxBytes keeps only the fields that quota needs, because it may have been written
// when the store's limits were higher. If maxBytes is zero, there is no limit.
func CancelJobChange(id ids.JobID, revision ids.Revision, nonce uint64, record Job, maxBytes int) Change {
	record.Nonce, record.Status = nonce, wire.JobCancelled
	if spec := record.Spec; spec != nil && wire.ExceedsJSONSize(record, maxBytes) {
		record.Spec = quotaFields(spec)
	}
	var c Change
	c.put(JobKey(id), revision, record)
	return c
}

// quotaFields returns a specification with only the fields that quota needs.
func quotaFields(spec *wire.JobSpec) *wire.JobSpec {
	return &wire.JobSpec{
		Team:     spec.Team,
		Service:  spec.Service,
		Gang:     spec.Gang,
		Priority: spec.Priority,
		Tasks:    spec.Tasks,
		CPUs:     spec.CPUs,
		GPUs:     spec.GPUs,
		MemoryGB: spec.MemoryGB,
		OneZone:  spec.OneZone,
		Spread:   spec.Spread,
		Spot:     spec.Spot,
	}
}

// PutZoneChange returns a change that writes the record of a zone's condition.
func PutZoneChange(zone ids.Zone, revision ids.Revision, record *zonerecovery.Record) Change {
	var c Change
	c.put(ZoneKey(zone), revision, record)
	return c
}

// DeleteZoneChange returns a change that deletes the record of a zone that no longer needs one.
func DeleteZoneChange(zone ids.Zone, revision ids.Revision) Change {
	var c Change
	c.delete(ZoneKey(zone), revision)
	return c
}
