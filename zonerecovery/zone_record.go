package zonerecovery

import "ospreystile.example/ospreystile/ids"

// RecordWrite represents a record that must be written, or deleted if Record is nil.
type RecordWrite struct {
	Zone ids.Zone
	// Revision is the revision of the key, 0 if the key does not exist.
	Revision ids.Revision
	Record   *Record
}

// needsRecord reports whether the zone has state that the next leader must load.
func (z *zone) needsRecord() bool {
	return z.machine.state.durable() != Serving || z.machine.outages.count > 0 || z.override.active() || len(z.machine.incidents.past) > 0
}

// recordedState returns the state that a record of the zone would hold now.
func (z *zone) recordedState() recordedState {
	return recordedState{condition: z.machine.state.durable(), step: z.machine.ramp.step, override: z.override.decisions}
}

// nextWrite returns the write of the zone's record, and marks it as in flight. ok is false if no
// write is due.
func (z *zone) nextWrite(at ClockReading, nonce uint64, fits func(*Record) bool) (write RecordWrite, ok bool) {
	if !z.record.due(at.Now) {
		return RecordWrite{}, false
	}
	needed := z.needsRecord()
	if !needed && z.record.revision == 0 {
		z.record.skip(z.recordedState())
		return RecordWrite{}, false
	}
	z.record.submit(z.recordedState())
	write = RecordWrite{Zone: z.name(), Revision: z.record.revision}
	if needed {
		write.Record = z.fittingRecord(at, nonce, fits)
	}
	return write, true
}

// fittingRecord returns the record, with fewer displaced jobs if it does not fit otherwise.
func (z *zone) fittingRecord(at ClockReading, nonce uint64, fits func(*Record) bool) *Record {
	for {
		record := z.exportRecord(at, nonce)
		if z.record.jobLimit == 0 || fits(record) {
			return record
		}
		z.record.shrink(len(record.DisplacedJobs))
	}
}

// exportRecord returns the record with as many displaced jobs as jobLimit allows.
func (z *zone) exportRecord(at ClockReading, nonce uint64) *Record {
	state, outages, override := &z.machine.state, &z.machine.outages, z.override.current
	record := &Record{
		Nonce:           nonce,
		Condition:       uint8(state.durable()),
		SinceMS:         at.toWall(state.since).UnixMilli(),
		Outages:         outages.count,
		OutageNumber:    outages.count,
		MachinesBefore:  outages.machinesBefore,
		Incidents:       z.machine.incidents.all(),
		Override:        uint8(override.Kind),
		OverrideReason:  override.Reason,
		OverrideUntilMS: override.UntilMS,
	}
	if state.durable() == Recovering {
		record.Step, record.RecoveryBeganMS = z.machine.ramp.step, at.toWall(z.machine.ramp.began).UnixMilli()
	}
	jobs := z.displacements.byRelevance()
	limit := min(len(jobs), z.record.jobLimit)
	record.OmittedJobs = len(jobs) - limit
	for _, job := range jobs[:limit] {
		record.addJob(job, z.displacements.jobs[job])
	}
	return record
}

// loadRecord replaces the state of the zone by the record of a previous leader.
func (z *zone) loadRecord(record *Record, revision ids.Revision, at ClockReading) {
	z.machine.load(record, at)
	z.override.current = record.override()
	z.displacements.load(record.jobs(), at.Now)
	z.record.load(recordedState{condition: z.condition(), step: z.machine.ramp.step}, revision)
}

// loadUnreadable is called instead of loadRecord for a record that cannot be decoded. A zone without
// a record serves, so to ignore the record could lift the limits of an outage. The zone counts as in
// outage until its machines are reachable.
func (z *zone) loadUnreadable(revision ids.Revision, at ClockReading) {
	z.machine.assumeOutage("the record cannot be read", at)
	z.record.load(recordedState{condition: Outage}, revision)
	z.record.markOutdated()
}
