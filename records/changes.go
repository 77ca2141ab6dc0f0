package records

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Change is one atomic change to the records: if all preconditions hold, all operations are
// applied at one revision.
type Change struct {
	// ID identifies the change to its submitter; it is not stored.
	ID            uint64
	Preconditions []kv.Precondition
	Operations    []kv.Operation
}

// require adds the precondition that a key is at a revision; zero means that it is absent.
func (c *Change) require(key string, revision ids.Revision) {
	c.Preconditions = append(c.Preconditions, kv.Precondition{Key: key, Revision: revision})
}

// put adds an operation that replaces the record at the revision.
func (c *Change) put(key string, revision ids.Revision, record any) {
	c.require(key, revision)
	c.Operations = append(c.Operations, kv.Operation{PutKey: key, Value: record})
}

// delete adds an operation that deletes the record at the revision.
func (c *Change) delete(key string, revision ids.Revision) {
	c.require(key, revision)
	c.Operations = append(c.Operations, kv.Operation{DeleteKey: key})
}

// SliceVersion is an admission slice and the revision at which its record must be; zero
// means that it has none yet.
type SliceVersion struct {
	Number   int
	Revision ids.Revision
}

// SliceWrite is an admission slice and its new record.
type SliceWrite struct {
	SliceVersion
	Record AdmissionSlice
}

// PutSlicesChange writes admission slices of a job: one, or all parts of one that is split,
// so that each task is in exactly one record at all times. The job's revision is a
// precondition too, so that nothing is admitted for a job that was cancelled.
func PutSlicesChange(id ids.JobID, jobRevision ids.Revision, writes []SliceWrite) Change {
	var c Change
	c.require(JobKey(id), jobRevision)
	for _, write := range writes {
		c.put(AdmissionKey(id, write.Number), write.Revision, write.Record)
	}
	return c
}

// DeleteSlicesChange deletes admission slices of a job that is done or cancelled.
func DeleteSlicesChange(id ids.JobID, slices []SliceVersion) Change {
	var c Change
	for _, slice := range slices {
		c.delete(AdmissionKey(id, slice.Number), slice.Revision)
	}
	return c
}

// CompleteJobChange records that a job is done, which is final, and deletes admission
// slices of it.
func CompleteJobChange(id ids.JobID, jobRevision ids.Revision, record Job, slices []SliceVersion) Change {
	record.Status = wire.JobDone
	c := DeleteSlicesChange(id, slices)
	c.put(JobKey(id), jobRevision, record)
	return c
}

// CreateJobChange records a job that has no record yet.
func CreateJobChange(id ids.JobID, record Job) Change {
	var c Change
	c.put(JobKey(id), 0, record)
	return c
}

// CancelJobChange records that a job is cancelled, which is final. The description stays,
// since quota counts the tasks until they have ended. Of a record larger than limitBytes
// only what quota needs stays: the record may have been written when the store's limits
// were higher. Zero means no limit.
func CancelJobChange(id ids.JobID, revision ids.Revision, nonce uint64, record Job, limitBytes int) Change {
	record.Nonce, record.Status = nonce, wire.JobCancelled
	if spec := record.Spec; spec != nil && wire.ExceedsJSONSize(record, limitBytes) {
		record.Spec = quotaFields(spec)
	}
	var c Change
	c.put(JobKey(id), revision, record)
	return c
}

// quotaFields returns the part of a description that quota needs.
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

// PutZoneChange writes the record of a zone's condition.
func PutZoneChange(zone ids.Zone, revision ids.Revision, record *zonerecovery.Record) Change {
	var c Change
	c.put(ZoneKey(zone), revision, record)
	return c
}

// DeleteZoneChange deletes the record of a zone that no longer needs one.
func DeleteZoneChange(zone ids.Zone, revision ids.Revision) Change {
	var c Change
	c.delete(ZoneKey(zone), revision)
	return c
}
