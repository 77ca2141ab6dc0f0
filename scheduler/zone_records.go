package scheduler

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneRecords are the writes of zones' records.
type zoneRecords struct {
	writer zoneRecordWriter
	// maxBytes limits the size of a record; 0 means no limit.
	maxBytes int
	// inFlight are the writes without a result, by the ID of their change.
	inFlight map[uint64]zoneWrite
}

// zoneWrite is a write of a zone's record in flight.
type zoneWrite struct {
	zone    ids.Zone
	deletes bool
}

// zoneRecordWriter submits changes within the write rate.
type zoneRecordWriter interface {
	// mayWrite tells whether the write rate allows one more change now.
	mayWrite() bool
	// nextNonce returns the nonce of the next change.
	nextNonce() uint64
	// submit decides on a change, and returns the ID under which settle gets its result.
	submit(change records.Change) (id uint64)
	// fail notes that the records are not as this leader left them, which ends the term.
	fail(err error)
}

// writeRecords writes the records that are due, as far as the write rate allows.
func (g *zoneGate) writeRecords() {
	if g == nil {
		return
	}
	for g.records.writer.mayWrite() {
		write, ok := g.manager.NextWrite(g.clockReading(), g.records.writer.nextNonce(), g.records.fits)
		if !ok {
			return
		}
		g.records.submit(write)
	}
}

// fits tells whether a record is small enough for the key-value store.
func (r *zoneRecords) fits(record *zonerecovery.Record) bool {
	return !wire.ExceedsJSONSize(record, r.maxBytes)
}

// submit decides on the change that writes or deletes a record.
func (r *zoneRecords) submit(write zonerecovery.RecordWrite) {
	change := records.DeleteZoneChange(write.Zone, write.Revision)
	if write.Record != nil {
		change = records.PutZoneChange(write.Zone, write.Revision, write.Record)
	}
	r.inFlight[r.writer.submit(change)] = zoneWrite{zone: write.Zone, deletes: write.Record == nil}
}

// applyResult applies the result of a change if that wrote a zone's record; ours tells whether it
// did.
func (g *zoneGate) applyResult(result records.CommitResult) (found bool) {
	if g == nil {
		return false
	}
	write, found := g.records.inFlight[result.Change.ID]
	if !found {
		return false
	}
	delete(g.records.inFlight, result.Change.ID)
	switch {
	case result.Err == nil:
		g.writeCommitted(write, result.Revision)
	case errors.Is(result.Err, records.ErrRejected):
		g.manager.WriteRejected(write.zone)
	default:
		g.records.writer.fail(fmt.Errorf("record of zone %s moved without this leader: %w", write.zone, result.Err))
	}
	return true
}

// writeCommitted notes that a write is committed; revision is that of the transaction.
func (g *zoneGate) writeCommitted(write zoneWrite, revision ids.Revision) {
	if write.deletes {
		revision = 0 // the key is gone
	}
	if g.manager.WriteCommitted(write.zone, revision) {
		g.rounds.MarkDue()
	}
}
