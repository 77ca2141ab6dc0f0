package scheduler

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneRecords writes the records of zones.
type zoneRecords struct {
	writer changeSubmitter
	// maxBytes is the maximum size of a record. 0 means no limit.
	maxBytes int
	// inFlight holds the writes without a result, by the ID of their change.
	inFlight map[uint64]zoneWrite
}

// zoneWrite is a write in flight of a zone's record.
type zoneWrite struct {
	zone    ids.Zone
	deletes bool // whether the write deletes the record
}

// changeSubmitter submits changes within the write rate.
type changeSubmitter interface {
	// mayWrite reports whether the write rate allows one more change now.
	mayWrite() bool
	// nextNonce returns the nonce of the next change.
	nextNonce() uint64
	// submit adds a change to the decisions, and returns the ID with which applyResult receives
	// the result.
	submit(change records.Change) (id uint64)
	// abortTerm records that the stored records differ from what this leader wrote last, which ends
	// the term.
	abortTerm(err error)
}

// writeRecords writes the records that are due, within the write rate.
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

// fits reports whether a record is small enough for the key-value store.
func (r *zoneRecords) fits(record *zonerecovery.Record) bool {
	return !wire.ExceedsJSONSize(record, r.maxBytes)
}

// submit submits the change that writes or deletes a record.
func (r *zoneRecords) submit(write zonerecovery.RecordWrite) {
	change := records.DeleteZoneChange(write.Zone, write.Revision)
	if write.Record != nil {
		change = records.PutZoneChange(write.Zone, write.Revision, write.Record)
	}
	r.inFlight[r.writer.submit(change)] = zoneWrite{zone: write.Zone, deletes: write.Record == nil}
}

// applyResult applies the result of a change if it is a write of a zone's record. found reports
// whether it is.
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
		g.records.writer.abortTerm(fmt.Errorf("write record of zone %s: stored record differs from what this leader wrote: %w", write.zone, result.Err))
	}
	return true
}

// writeCommitted records that a write is committed. revision is the revision of the transaction.
func (g *zoneGate) writeCommitted(write zoneWrite, revision ids.Revision) {
	if write.deletes {
		revision = 0 // the key is gone
	}
	if g.manager.WriteCommitted(write.zone, revision) {
		g.rounds.MarkDue()
	}
}
