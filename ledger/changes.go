package ledger

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonereturn"
)

// SliceVersion names a slice and the version that it should have.
type SliceVersion struct {
	N        int
	Revision ids.Revision
}

// SliceChange writes admission records: one, or all parts of one that is split, so
// that no task is ever without its record or in two. The job's version is guarded
// too, so that nothing is admitted for a job that was cancelled.
func SliceChange(id ids.JobID, jobRevision ids.Revision, at []SliceVersion, recs []Slice) Change {
	c := Change{Guards: []statestore.Precondition{{Key: JobKey(id), Revision: jobRevision}}}
	for i, v := range at {
		key := AdmissionKey(id, v.N)
		c.Guards = append(c.Guards, statestore.Precondition{Key: key, Revision: v.Revision})
		c.Apply = append(c.Apply, statestore.Operation{PutKey: key, Value: recs[i]})
	}
	return c
}

// DoneChange makes a job done for good and drops admission records.
func DoneChange(id ids.JobID, jobRevision ids.Revision, rec Job, drops []SliceVersion) Change {
	rec.Status = wire.JobDone
	c := DropChange(id, drops)
	c.Guards = append(c.Guards, statestore.Precondition{Key: JobKey(id), Revision: jobRevision})
	c.Apply = append(c.Apply, statestore.Operation{PutKey: JobKey(id), Value: rec})
	return c
}

// DropChange drops admission records of a job that is over.
func DropChange(id ids.JobID, drops []SliceVersion) Change {
	var c Change
	for _, d := range drops {
		key := AdmissionKey(id, d.N)
		c.Guards = append(c.Guards, statestore.Precondition{Key: key, Revision: d.Revision})
		c.Apply = append(c.Apply, statestore.Operation{DeleteKey: key})
	}
	return c
}

// SubmitChange records a job that did not exist.
func SubmitChange(id ids.JobID, rec Job) Change {
	key := JobKey(id)
	return Change{
		Guards: []statestore.Precondition{{Key: key}},
		Apply:  []statestore.Operation{{PutKey: key, Value: rec}},
	}
}

// CancelChange makes a job cancelled for good. The description stays, since
// quota counts its tasks until they are gone; but of one that is larger than the
// limit in bytes only what that takes: the record may be from before the limits
// of the state service fell.
func CancelChange(id ids.JobID, revision ids.Revision, nonce uint64, rec Job, limit int) Change {
	rec.Nonce, rec.Status = nonce, wire.JobCancelled
	if s := rec.Spec; s != nil && wire.ExceedsJSONSize(rec, limit) {
		rec.Spec = &wire.JobSpec{Team: s.Team, Service: s.Service, Gang: s.Gang, Priority: s.Priority, Tasks: s.Tasks,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot}
	}
	key := JobKey(id)
	return Change{
		Guards: []statestore.Precondition{{Key: key, Revision: revision}},
		Apply:  []statestore.Operation{{PutKey: key, Value: rec}},
	}
}

// ZoneChange writes the record of a zone's condition.
func ZoneChange(zone ids.Zone, revision ids.Revision, record *zonereturn.Record) Change {
	key := ZoneKey(zone)
	return Change{
		Guards: []statestore.Precondition{{Key: key, Revision: revision}},
		Apply:  []statestore.Operation{{PutKey: key, Value: record}},
	}
}

// ZoneDropChange drops the record of a zone about which there is nothing to know.
func ZoneDropChange(zone ids.Zone, revision ids.Revision) Change {
	key := ZoneKey(zone)
	return Change{
		Guards: []statestore.Precondition{{Key: key, Revision: revision}},
		Apply:  []statestore.Operation{{DeleteKey: key}},
	}
}
