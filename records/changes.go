package records

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// SliceVersion names a slice and the version that it should have.
type SliceVersion struct {
	Number   int
	Revision ids.Revision
}

// PutSlicesChange writes admission records: one, or all parts of one that is split, so
// that no task is ever without its record or in two. The job's version is guarded
// too, so that nothing is admitted for a job that was cancelled.
func PutSlicesChange(id ids.JobID, jobRevision ids.Revision, at []SliceVersion, recs []AdmissionSlice) Change {
	c := Change{Preconditions: []kv.Precondition{{Key: JobKey(id), Revision: jobRevision}}}
	for i, v := range at {
		key := AdmissionKey(id, v.Number)
		c.Preconditions = append(c.Preconditions, kv.Precondition{Key: key, Revision: v.Revision})
		c.Operations = append(c.Operations, kv.Operation{PutKey: key, Value: recs[i]})
	}
	return c
}

// CompleteJobChange makes a job done for good and drops admission records.
func CompleteJobChange(id ids.JobID, jobRevision ids.Revision, rec Job, drops []SliceVersion) Change {
	rec.Status = wire.JobDone
	c := DeleteSlicesChange(id, drops)
	c.Preconditions = append(c.Preconditions, kv.Precondition{Key: JobKey(id), Revision: jobRevision})
	c.Operations = append(c.Operations, kv.Operation{PutKey: JobKey(id), Value: rec})
	return c
}

// DeleteSlicesChange drops admission records of a job that is over.
func DeleteSlicesChange(id ids.JobID, drops []SliceVersion) Change {
	var c Change
	for _, d := range drops {
		key := AdmissionKey(id, d.Number)
		c.Preconditions = append(c.Preconditions, kv.Precondition{Key: key, Revision: d.Revision})
		c.Operations = append(c.Operations, kv.Operation{DeleteKey: key})
	}
	return c
}

// CreateJobChange records a job that did not exist.
func CreateJobChange(id ids.JobID, rec Job) Change {
	key := JobKey(id)
	return Change{
		Preconditions: []kv.Precondition{{Key: key}},
		Operations:    []kv.Operation{{PutKey: key, Value: rec}},
	}
}

// CancelJobChange makes a job cancelled for good. The description stays, since
// quota counts its tasks until they are gone; but of one that is larger than the
// limit in bytes only what that takes: the record may be from before the limits
// of the state service fell.
func CancelJobChange(id ids.JobID, revision ids.Revision, nonce uint64, rec Job, limit int) Change {
	rec.Nonce, rec.Status = nonce, wire.JobCancelled
	if s := rec.Spec; s != nil && wire.ExceedsJSONSize(rec, limit) {
		rec.Spec = &wire.JobSpec{Team: s.Team, Service: s.Service, Gang: s.Gang, Priority: s.Priority, Tasks: s.Tasks,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot}
	}
	key := JobKey(id)
	return Change{
		Preconditions: []kv.Precondition{{Key: key, Revision: revision}},
		Operations:    []kv.Operation{{PutKey: key, Value: rec}},
	}
}

// PutZoneChange writes the record of a zone's condition.
func PutZoneChange(zone ids.Zone, revision ids.Revision, record *zonerecovery.Record) Change {
	key := ZoneKey(zone)
	return Change{
		Preconditions: []kv.Precondition{{Key: key, Revision: revision}},
		Operations:    []kv.Operation{{PutKey: key, Value: record}},
	}
}

// DeleteZoneChange drops the record of a zone about which there is nothing to know.
func DeleteZoneChange(zone ids.Zone, revision ids.Revision) Change {
	key := ZoneKey(zone)
	return Change{
		Preconditions: []kv.Precondition{{Key: key, Revision: revision}},
		Operations:    []kv.Operation{{DeleteKey: key}},
	}
}
