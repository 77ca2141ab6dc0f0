package ledger

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// SliceVersion names a slice and the version that it should have.
type SliceVersion struct {
	N     int
	Stamp ids.Stamp
}

// SliceChange writes an admission record. The job's version is guarded too,
// so that nothing is admitted for a job that was withdrawn.
func SliceChange(id ids.JobID, jobStamp ids.Stamp, n int, stamp ids.Stamp, rec Slice) Change {
	key := AdmissionKey(id, n)
	return Change{
		Guards: []statestore.Guard{{Key: JobKey(id), Stamp: jobStamp}, {Key: key, Stamp: stamp}},
		Apply:  []statestore.Op{{Write: key, Value: rec}},
	}
}

// DoneChange makes a job done for good and drops admission records.
func DoneChange(id ids.JobID, jobStamp ids.Stamp, nonce uint64, tasks int, drops []SliceVersion) Change {
	c := DropChange(id, drops)
	c.Guards = append(c.Guards, statestore.Guard{Key: JobKey(id), Stamp: jobStamp})
	c.Apply = append(c.Apply, statestore.Op{Write: JobKey(id), Value: Job{Nonce: nonce, Status: wire.StatusDone, Tasks: tasks}})
	return c
}

// DropChange drops admission records of a job that is over.
func DropChange(id ids.JobID, drops []SliceVersion) Change {
	var c Change
	for _, d := range drops {
		key := AdmissionKey(id, d.N)
		c.Guards = append(c.Guards, statestore.Guard{Key: key, Stamp: d.Stamp})
		c.Apply = append(c.Apply, statestore.Op{Drop: key})
	}
	return c
}

// SubmitChange records a job that did not exist.
func SubmitChange(id ids.JobID, rec Job) Change {
	key := JobKey(id)
	return Change{
		Guards: []statestore.Guard{{Key: key}},
		Apply:  []statestore.Op{{Write: key, Value: rec}},
	}
}

// WithdrawChange makes a job withdrawn for good. The description stays, since
// quota counts its tasks until they are gone.
func WithdrawChange(id ids.JobID, stamp ids.Stamp, nonce uint64, rec Job) Change {
	rec.Nonce, rec.Status = nonce, wire.StatusWithdrawn
	key := JobKey(id)
	return Change{
		Guards: []statestore.Guard{{Key: key, Stamp: stamp}},
		Apply:  []statestore.Op{{Write: key, Value: rec}},
	}
}
