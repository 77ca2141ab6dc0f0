package zonerecovery

import "ospreystile.example/ospreystile/ids"

// RecordWrite is a record that must be written, or dropped where Record is nil.
type RecordWrite struct {
	Zone     ids.Zone
	Revision ids.Revision // that the key has now; 0: none
	Record   *Record
}

// NextWrite hands out one record that must be written now. It counts as on its way until
// Written or Refused is called. fits tells whether the state service would take it.
func (m *Manager) NextWrite(at ClockReading, nonce uint64, fits func(*Record) bool) (w RecordWrite, ok bool) {
	for _, name := range m.sortedZones() {
		z := m.zones[name]
		if !z.due(at.Now) {
			continue
		}
		r := &z.record
		r.dirty, r.lazySince, r.inFlight = false, 0, true
		r.writtenCondition, r.writtenStep, r.writtenSeq = z.recordable(), z.ramp.step, r.overrideSeq
		w = RecordWrite{Zone: name, Revision: r.revision}
		if z.interesting() {
			w.Record = z.fittingRecord(at, nonce, fits)
		}
		return w, true
	}
	return RecordWrite{}, false
}

// fittingRecord is the zone's record with as many displaced jobs as fit.
func (z *zone) fittingRecord(at ClockReading, nonce uint64, fits func(*Record) bool) *Record {
	for {
		rec := z.export(at, nonce)
		if fits(&rec) || z.record.jobLimit == 0 {
			return &rec
		}
		z.record.jobLimit = min(z.record.jobLimit, len(rec.DisplacedJobs)) / 2
	}
}

// WriteCommitted notes that a zone's record is committed; revision is that of the key, 0 if it was
// dropped. It tells whether more may start now.
func (m *Manager) WriteCommitted(name ids.Zone, revision ids.Revision) (opened bool) {
	z := m.zones[name]
	if z == nil {
		return false
	}
	r := &z.record
	r.inFlight, r.revision = false, revision
	opened = r.condition != r.writtenCondition || r.step != r.writtenStep
	r.condition, r.step, r.recordedSeq = r.writtenCondition, r.writtenStep, r.writtenSeq
	return opened
}

// WriteRejected notes that the state service would not take a zone's record for its size: the
// next one holds half as many jobs.
func (m *Manager) WriteRejected(name ids.Zone) {
	z := m.zones[name]
	if z == nil {
		return
	}
	z.record.inFlight, z.record.dirty = false, true
	z.record.jobLimit /= 2
}
