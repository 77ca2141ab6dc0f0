package scheduler

import (
	"errors"
	"testing"
	"time"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// While the key-value store is unavailable, no step of a recovery may begin, because it cannot be
// recorded and the next leader would not know of it. The recovery must continue after the store is
// available again.
func TestNoRecoveryStepBeginsUnrecorded(t *testing.T) {
	s := newZoneScenario(t, 7, 4)
	s.fillZones()
	s.causeZoneOutage("b", 40*second)
	s.run(500 * time.Millisecond)
	s.storeOutageUntil = s.fromNow(90 * second)
	s.submitJobs(4, asArray)
	for s.now < s.storeOutageUntil {
		s.run(second)
		if got := s.core.zones.manager.Stats().Failbacks; got != 0 {
			t.Fatalf("%d jobs returned although nothing could be recorded", got)
		}
	}
	if st := s.statusOf("b"); st.Condition != zonerecovery.Recovering || st.Step != 0 {
		t.Fatalf("the zone is %s at step %d although nothing was recorded", st.Condition, st.Step)
	}
	s.awaitCondition("b", zonerecovery.Serving, 90*second)
	s.runToEnd()
}

// Placements may use the whole write rate for minutes after a zone outage. The record of the zone
// must still be written in the meantime, so that the recovery ends in time.
func TestZoneRecordIsWrittenAtTheWriteRateLimit(t *testing.T) {
	s := newZoneScenario(t, 16, 6)
	s.fillZones()
	s.causeZoneOutage("b", 40*second)
	s.core.records.budget.perSecond, s.opt.WriteRate = 3, 3
	s.runTimeFactor = 1
	s.submitJobs(40, func(sp *wire.JobSpec) { asArray(sp); sp.Tasks, sp.CPUs, sp.Team = 40, 1, "gold" })
	s.run(s.zones.partitionedUntil["b"].Sub(s.now))
	s.awaitCondition("b", zonerecovery.Recovering, 30*second)
	s.awaitCondition("b", zonerecovery.Serving, s.opt.ZoneRecovery.MaxRecovery+10*second)
	if waiting := len(s.core.records.dirty); waiting == 0 {
		t.Error("no record waits for the write rate, so the scenario does not test the limit")
	}
	s.core.records.budget.perSecond, s.opt.WriteRate = 40, 40
	s.runToEnd()
}

// fakeZoneRecordWriter records the changes that a zone gate submits and the error that it reports.
type fakeZoneRecordWriter struct {
	changes []records.Change
	err     error
}

func (*fakeZoneRecordWriter) mayWrite() bool { return true }

func (w *fakeZoneRecordWriter) nextNonce() uint64 { return uint64(len(w.changes)) + 1 }

func (w *fakeZoneRecordWriter) submit(change records.Change) (id uint64) {
	change.ID = w.nextNonce()
	w.changes = append(w.changes, change)
	return change.ID
}

func (w *fakeZoneRecordWriter) abortTerm(err error) { w.err = err }

// newZoneOnHold returns a gate without a core that has submitted the record of a hold of zone b.
func newZoneOnHold(t *testing.T) (*zoneGate, *fakeZoneRecordWriter) {
	t.Helper()
	writer := &fakeZoneRecordWriter{}
	g := &zoneGate{
		manager: zonerecovery.NewManager(simZonePolicy()),
		clock:   clock.New(0),
		rounds:  &clock.RoundTrigger{},
		records: zoneRecords{writer: writer, inFlight: map[uint64]zoneWrite{}},
	}
	g.manager.Override("b", zonerecovery.Override{Kind: zonerecovery.OverrideHold}, g.clockReading())
	g.writeRecords()
	if len(writer.changes) != 1 {
		t.Fatalf("%d changes were submitted", len(writer.changes))
	}
	return g, writer
}

// Depending on the result of a write of a zone's record, the gate must count the override as
// recorded, write the record again, or end the term.
func TestResultOfAZoneRecordWrite(t *testing.T) {
	conflict := &records.ConflictError{Keys: []string{records.ZonePrefix + "b"}}
	for _, c := range []struct {
		name         string
		err          error
		recorded     uint64 // the newest override that is recorded
		writtenAgain int
		recordsError error
	}{
		{"committed", nil, 1, 0, nil},
		{"rejected for its size", records.ErrRejected, 0, 1, nil},
		{"the record was changed by another leader", conflict, 0, 0, conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, writer := newZoneOnHold(t)
			result := records.CommitResult{Change: writer.changes[0], Revision: 7, Err: c.err}
			if !g.applyResult(result) {
				t.Error("the gate did not apply the result")
			}
			if g.applyResult(result) {
				t.Error("the result was applied twice")
			}
			if got := g.manager.RecordedOverride("b"); got != c.recorded {
				t.Errorf("override %d is recorded, want %d", got, c.recorded)
			}
			if !errors.Is(writer.err, c.recordsError) {
				t.Errorf("unexpected error: %v", writer.err)
			}
			g.writeRecords()
			if got := len(writer.changes) - 1; got != c.writtenAgain {
				t.Errorf("the record was written %d more times, want %d", got, c.writtenAgain)
			}
		})
	}
}

// The gate must not apply the results of changes that other components submitted.
func TestZoneGateIgnoresOtherResults(t *testing.T) {
	g, writer := newZoneOnHold(t)
	result := records.CommitResult{Change: records.Change{ID: writer.changes[0].ID + 1}, Err: records.ErrRejected}
	if g.applyResult(result) {
		t.Error("the gate applied the result of another change")
	}
}
