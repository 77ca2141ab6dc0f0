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

// During an outage of the store no step of a recovery begins that is not recorded, however often
// the zone flaps. After the outage the recovery goes on.
func TestNoRecoveryStepBeginsUnrecorded(t *testing.T) {
	m := newZoneScenario(t, 7, 4)
	m.fillZones()
	m.causeZoneOutage("b", 40*second)
	m.run(500 * time.Millisecond)
	m.storeOutageUntil = m.in(90 * second)
	m.jobs(4, array)
	for m.now < m.storeOutageUntil {
		m.run(second)
		if got := m.core.zones.manager.Stats().Failbacks; got != 0 {
			t.Fatalf("%d jobs returned although nothing could be recorded", got)
		}
	}
	if st := m.statusOf("b"); st.Condition != zonerecovery.Recovering || st.Step != 0 {
		t.Fatalf("the zone is %s at step %d although nothing was recorded", st.Condition, st.Step)
	}
	m.awaitCondition("b", zonerecovery.Serving, 90*second)
	m.runToEnd()
}

// While placements use the whole write rate, as for minutes after a zone is lost, the zone's own
// record is still written, and the recovery ends in time.
func TestZoneRecordIsWrittenAtTheWriteRateLimit(t *testing.T) {
	m := newZoneScenario(t, 16, 6)
	m.fillZones()
	m.causeZoneOutage("b", 40*second)
	m.core.records.budget.perSecond, m.opt.WriteRate = 3, 3
	m.runFactor = 1
	m.jobs(40, func(sp *wire.JobSpec) { array(sp); sp.Tasks, sp.CPUs, sp.Team = 40, 1, "gold" })
	m.run(m.zones.partitionedUntil["b"].Sub(m.now))
	m.awaitCondition("b", zonerecovery.Recovering, 30*second)
	m.awaitCondition("b", zonerecovery.Serving, m.opt.ZoneRecovery.MaxRecovery+10*second)
	if waiting := len(m.core.records.dirty); waiting == 0 {
		t.Error("no record waits for the write rate: the day shows nothing")
	}
	m.core.records.budget.perSecond, m.opt.WriteRate = 40, 40
	m.runToEnd()
}

// fakeZoneRecordWriter collects the changes that a zone gate submits, and its error.
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

func (w *fakeZoneRecordWriter) fail(err error) { w.err = err }

// newZoneOnHold makes a gate without a core, and has it write that zone b is on hold.
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

// The result of a write decides whether the record counts, is written again, or ends the term.
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
		{"the record has moved", conflict, 0, 0, conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, writer := newZoneOnHold(t)
			result := records.CommitResult{Change: writer.changes[0], Revision: 7, Err: c.err}
			if !g.applyResult(result) {
				t.Error("the result does not belong to the gate")
			}
			if g.applyResult(result) {
				t.Error("the result was applied twice")
			}
			if got := g.manager.RecordedOverride("b"); got != c.recorded {
				t.Errorf("override %d is recorded, not %d", got, c.recorded)
			}
			if !errors.Is(writer.err, c.recordsError) {
				t.Errorf("the error is %v", writer.err)
			}
			g.writeRecords()
			if got := len(writer.changes) - 1; got != c.writtenAgain {
				t.Errorf("the record was written %d times more, not %d", got, c.writtenAgain)
			}
		})
	}
}

// Results of other changes are left to other parts.
func TestZoneGateIgnoresOtherResults(t *testing.T) {
	g, writer := newZoneOnHold(t)
	result := records.CommitResult{Change: records.Change{ID: writer.changes[0].ID + 1}, Err: records.ErrRejected}
	if g.applyResult(result) {
		t.Error("the gate took the result of another change")
	}
}
