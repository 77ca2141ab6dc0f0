package records

import "ospreystile.example/ospreystile/ids"

// Termination is the durable record of machines that a leader has decided to terminate. It is committed
// before the cloud is called. Calls to the cloud carry no fencing token, and may be executed late, so a later
// leader must never use these machines. It terminates them itself.
type Termination struct {
	// Nonce identifies the change that wrote the record, as in Job.
	Nonce    uint64          `msgpack:"w"`
	Machines []ids.MachineID `msgpack:"h"`
}

// CreateTerminationChange returns a change that records a termination. Its nonce must not have been used
// before.
func CreateTerminationChange(record Termination) Change {
	var c Change
	c.put(TerminationKey(record.Nonce), 0, record)
	return c
}

// TerminationVersion identifies the record of a termination, by its nonce, and the revision at which the
// record must be.
type TerminationVersion struct {
	Nonce    uint64
	Revision ids.Revision
}

// DeleteTerminationsChange returns a change that deletes the records of terminations that the cloud has
// confirmed.
func DeleteTerminationsChange(versions []TerminationVersion) Change {
	var c Change
	for _, version := range versions {
		c.delete(TerminationKey(version.Nonce), version.Revision)
	}
	return c
}
