package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
)

const (
	// maxTerminationBatch is the maximum number of machines in the record of one termination.
	maxTerminationBatch = 50
	// terminationRecordInterval is the minimum time between two records that are not full. The write rate
	// is needed for placements.
	terminationRecordInterval = time.Second
	// expeditedRecordWait is how long the termination of a machine that holds a task of a cancelled
	// job waits for its record.
	expeditedRecordWait = 2 * time.Second
)

// terminationRecorder records which machines are to be terminated before the cloud is called. A call to the
// cloud carries no fencing token, and may be executed after another leader was elected. The record is fenced
// by the revision of the leader key, and every later leader reads it. So a machine that this leader has
// called the cloud for is never used by a later leader.
//
// A machine that holds a task of a cancelled job is terminated before the cancel deadline even if its
// termination cannot be recorded. A later leader reads from the records which machines these may be; see
// previousLeaders.mayTerminate.
//
// The record is deleted once the cloud has confirmed that all its machines are terminated.
type terminationRecorder struct {
	clock    *clock.Clock
	writer   changeSubmitter
	settings terminationSettings

	// queued holds the machines whose termination is to be recorded.
	queued []ids.MachineID
	// batchSize is the maximum number of machines in the next record.
	batchSize int
	// recordedAt is the time at which the last record was submitted.
	recordedAt monotonic.Instant
	// creations and deletions hold the changes in flight, by ID.
	creations map[uint64]*terminationBatch
	deletions map[uint64][]*terminationBatch
	// recorded holds the batches whose records exist, and confirmed those among them whose machines are
	// all terminated. Both are in the order in which they were added.
	recorded, confirmed []*terminationBatch
	// expedited holds the machines with a task of a cancelled job. waiting holds those among them that
	// are not in the decisions yet, in the order in which their time ends.
	expedited map[ids.MachineID]bool
	waiting   []expeditedTermination

	// terminate and terminateCancelled hold the decisions that takeDecisions has not returned yet.
	terminate, terminateCancelled []ids.MachineID
}

// expeditedTermination represents a machine that is terminated without a record at a time, unless the record
// is committed before.
type expeditedTermination struct {
	machine ids.MachineID
	until   monotonic.Instant
}

// terminationSettings holds the settings of a terminationRecorder.
type terminationSettings struct {
	// enabled reports whether every controller reads the records of terminations. If it is false,
	// nothing is recorded.
	enabled bool
	// maxOperations is the maximum number of operations in one change.
	maxOperations int
}

// terminationBatch holds the machines of one record.
type terminationBatch struct {
	nonce    uint64
	revision ids.Revision
	// remaining holds the machines whose termination the cloud has not confirmed.
	remaining []ids.MachineID
}

func newTerminationRecorder(clk *clock.Clock, writer changeSubmitter, settings terminationSettings) *terminationRecorder {
	return &terminationRecorder{
		clock:     clk,
		writer:    writer,
		settings:  settings,
		batchSize: maxTerminationBatch,
		creations: map[uint64]*terminationBatch{},
		deletions: map[uint64][]*terminationBatch{},
		expedited: map[ids.MachineID]bool{},
	}
}

// add terminates a machine once its termination is recorded.
func (r *terminationRecorder) add(machine ids.MachineID) {
	if !r.settings.enabled {
		r.terminate = append(r.terminate, machine)
		return
	}
	r.queued = append(r.queued, machine)
}

// expedite terminates a machine that holds a task of a cancelled job after expeditedRecordWait at the
// latest, whether its termination is recorded or not. The machine may have been added for another reason.
// Further calls have no effect.
func (r *terminationRecorder) expedite(machine ids.MachineID) {
	if r.expedited[machine] {
		return
	}
	r.expedited[machine] = true
	if !r.awaitsRecord(machine) {
		r.terminateCancelled = append(r.terminateCancelled, machine)
		return
	}
	r.waiting = append(r.waiting, expeditedTermination{machine: machine, until: r.clock.Now().Add(expeditedRecordWait)})
}

// addExpedited terminates a machine that holds a task of a cancelled job.
func (r *terminationRecorder) addExpedited(machine ids.MachineID) {
	if r.settings.enabled {
		r.queued = append(r.queued, machine)
	}
	r.expedite(machine)
}

// awaitsRecord reports whether the termination of a machine is still to be recorded.
func (r *terminationRecorder) awaitsRecord(machine ids.MachineID) bool {
	if slices.Contains(r.queued, machine) {
		return true
	}
	for _, batch := range r.creations {
		if slices.Contains(batch.remaining, machine) {
			return true
		}
	}
	return false
}

// load adds a termination that was recorded before this term.
func (r *terminationRecorder) load(record *records.Termination, revision ids.Revision) {
	r.recorded = append(r.recorded, &terminationBatch{nonce: record.Nonce, revision: revision, remaining: slices.Clone(record.Machines)})
	r.terminate = append(r.terminate, record.Machines...)
}

// takeDecisions returns the machines to terminate since the last call, and clears them.
func (r *terminationRecorder) takeDecisions() (terminate, terminateCancelled []ids.MachineID) {
	terminate, terminateCancelled = r.terminate, r.terminateCancelled
	r.terminate, r.terminateCancelled = nil, nil
	return terminate, terminateCancelled
}

// writeRecords submits the changes that are due, within the write rate, and decides the terminations that
// have waited for their record for expeditedRecordWait.
func (r *terminationRecorder) writeRecords() {
	for len(r.waiting) > 0 && r.clock.Now() >= r.waiting[0].until {
		r.terminateCancelled = append(r.terminateCancelled, r.waiting[0].machine)
		r.waiting = r.waiting[1:]
	}
	for r.recordDue() && r.writer.mayWrite() {
		r.createRecord()
	}
	for len(r.confirmed) > 0 && r.writer.mayWrite() {
		r.deleteRecords()
	}
}

// recordDue reports whether the termination of the first queued machines should be recorded now.
func (r *terminationRecorder) recordDue() bool {
	if len(r.queued) == 0 {
		return false
	}
	return len(r.queued) >= r.batchSize || r.clock.Now() >= r.recordedAt.Add(terminationRecordInterval)
}

// createRecord submits the change that records the termination of the first queued machines.
func (r *terminationRecorder) createRecord() {
	count := min(len(r.queued), r.batchSize)
	machines := slices.Clone(r.queued[:count])
	r.queued = r.queued[count:]
	batch := &terminationBatch{nonce: r.writer.nextNonce(), remaining: machines}
	change := records.CreateTerminationChange(records.Termination{Nonce: batch.nonce, Machines: machines})
	r.creations[r.writer.submit(change)] = batch
	r.recordedAt = r.clock.Now()
}

// deleteRecords submits the change that deletes the first records whose machines are all terminated.
func (r *terminationRecorder) deleteRecords() {
	count := min(len(r.confirmed), max(1, r.settings.maxOperations))
	deleted := r.confirmed[:count]
	r.confirmed = r.confirmed[count:]
	versions := make([]records.TerminationVersion, count)
	for i, batch := range deleted {
		versions[i] = records.TerminationVersion{Nonce: batch.nonce, Revision: batch.revision}
	}
	r.deletions[r.writer.submit(records.DeleteTerminationsChange(versions))] = deleted
}

// applyResult applies the result of a change if it creates or deletes records of terminations. found reports
// whether it does.
func (r *terminationRecorder) applyResult(result records.CommitResult) (found bool) {
	id := result.Change.ID
	if batch, created := r.creations[id]; created {
		delete(r.creations, id)
		r.creationResolved(batch, result)
		return true
	}
	if _, deleted := r.deletions[id]; deleted {
		delete(r.deletions, id)
		if result.Err != nil {
			r.writer.abortTerm(fmt.Errorf("delete records of terminations: changed by another writer: %w", result.Err))
		}
		return true
	}
	return false
}

// creationResolved decides the terminations of a batch once they are recorded. A record that the key-value
// store rejects for its size is split.
func (r *terminationRecorder) creationResolved(batch *terminationBatch, result records.CommitResult) {
	switch {
	case result.Err == nil:
		batch.revision = result.Revision
		r.recorded = append(r.recorded, batch)
		r.decideRecorded(batch.remaining)
		r.moveConfirmed()
	case errors.Is(result.Err, records.ErrRejected):
		r.batchSize = max(1, len(batch.remaining)/2)
		r.queued = append(r.queued, batch.remaining...)
	default:
		r.writer.abortTerm(fmt.Errorf("write record of terminations: changed by another writer: %w", result.Err))
	}
}

// decideRecorded decides the terminations that were just recorded.
func (r *terminationRecorder) decideRecorded(machines []ids.MachineID) {
	for _, machine := range machines {
		if !r.expedited[machine] {
			r.terminate = append(r.terminate, machine)
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(e expeditedTermination) bool {
		if !slices.Contains(machines, e.machine) {
			return false
		}
		r.terminateCancelled = append(r.terminateCancelled, e.machine)
		return true
	})
}

// confirm records the cloud's confirmation that machines are terminated.
func (r *terminationRecorder) confirm(machines []ids.MachineID) {
	confirmed := func(id ids.MachineID) bool { return slices.Contains(machines, id) }
	r.queued = slices.DeleteFunc(r.queued, confirmed)
	for _, batch := range r.recorded {
		batch.remaining = slices.DeleteFunc(batch.remaining, confirmed)
	}
	for _, batch := range r.creations {
		batch.remaining = slices.DeleteFunc(batch.remaining, confirmed)
	}
	for _, id := range machines {
		delete(r.expedited, id)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(e expeditedTermination) bool { return confirmed(e.machine) })
	r.moveConfirmed()
}

// moveConfirmed moves the batches whose machines are all terminated from recorded to confirmed.
func (r *terminationRecorder) moveConfirmed() {
	r.recorded = slices.DeleteFunc(r.recorded, func(batch *terminationBatch) bool {
		if len(batch.remaining) > 0 {
			return false
		}
		r.confirmed = append(r.confirmed, batch)
		return true
	})
}

// LoadTermination loads the record of a termination that an earlier leader decided. Its machines may be
// terminated at any time, so they are not used and are terminated by this leader too.
func (c *Core) LoadTermination(record *records.Termination, revision ids.Revision) {
	for _, id := range record.Machines {
		m := c.cluster.EnsureMachine(id)
		if !m.Lifecycle.Terminating {
			m.Lifecycle.Terminating = true
			c.registry.terminateCounts[terminateRecorded]++
		}
	}
	c.terminations.load(record, revision)
}
