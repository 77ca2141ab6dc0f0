package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Record is what a successor must know of a zone.
type Record struct {
	// Nonce names this very write, as in all records.
	Nonce     uint64 `msgpack:"w"`
	Condition uint8  `msgpack:"c"`
	SinceMS   int64  `msgpack:"s"`
	// RecoveryBeganMS is when the return began.
	RecoveryBeganMS int64 `msgpack:"b,omitempty"`
	Step            int   `msgpack:"p,omitempty"`
	Outages         int   `msgpack:"f,omitempty"`
	OutageNumber    int   `msgpack:"l,omitempty"`
	MachinesBefore  int   `msgpack:"m,omitempty"`
	// DisplacedJobs are the displaced jobs, those that came back most often first. Counts holds
	// for each how often it lost tasks, in which spell last, how often it came back,
	// in which spell last, and how many replicas were moved back. Omitted counts those that did not fit.
	DisplacedJobs []ids.JobID `msgpack:"j,omitempty"`
	JobCounters   []int       `msgpack:"n,omitempty"`
	OmittedJobs   int         `msgpack:"o,omitempty"`
	// Incidents are those that are over, and the present one if Flaps is not 0.
	Incidents []Incident `msgpack:"i,omitempty"`
	// Override, OverrideReason and OverrideUntilMS are the operators' decision.
	Override        uint8  `msgpack:"h,omitempty"`
	OverrideReason  string `msgpack:"r,omitempty"`
	OverrideUntilMS int64  `msgpack:"t,omitempty"`
}

// countsPerJob is how many numbers Record.JobCounters holds for a job.
const countsPerJob = 5

// maxRecordedJobs bounds the jobs in a record, and maxReason the operators' words.
const (
	maxRecordedJobs = 200
	maxReason       = 200
)

// recordState is how a zone stands to its record.
type recordState struct {
	revision ids.Revision
	// dirty tells that the record lags behind and must be written, lazy that it may be
	// written with a delay.
	dirty, lazy bool
	lazySince   monotonic.Instant
	inFlight    bool
	// condition and step are what is recorded, written what is on its way.
	condition, writtenCondition Condition
	step, writtenStep           int
	// jobLimit bounds the jobs in a record; a refused write halves it.
	jobLimit int
	// overrideSeq counts the operators' decisions, and recordedSeq those recorded.
	overrideSeq, writtenSeq, recordedSeq uint64
}

// allows tells whether the record lets the zone act on a condition. What allows more than
// the record says waits until it is recorded: a successor that read an older record would
// allow less, and the two must not add up.
func (r *recordState) allows(c Condition) bool {
	switch c {
	case Serving:
		return r.condition == Serving
	case Recovering:
		return r.condition == Recovering || r.condition == Serving
	}
	return true
}

// holds tells whether a condition and step are recorded.
func (r *recordState) holds(c Condition, step int) bool { return r.condition == c && r.step == step }

// allowedStep is the smaller of the present step and the recorded one.
func (r *recordState) allowedStep(step int) int {
	if r.condition == Serving { // a shrink that is not recorded yet
		return step
	}
	return min(step, r.step)
}

// export makes the record of a zone as it stands.
func (z *zone) export(at ClockReading, nonce uint64) Record {
	rec := Record{
		Nonce: nonce, Condition: uint8(z.recordable()), SinceMS: at.toWall(z.since).UnixMilli(),
		Outages: z.flaps, OutageNumber: z.flaps, MachinesBefore: z.machinesBefore,
		Incidents: z.incidents.all(),
		Override:  uint8(z.override.Kind), OverrideReason: z.override.Reason, OverrideUntilMS: z.override.UntilMS,
	}
	if z.recordable() == Recovering {
		rec.Step, rec.RecoveryBeganMS = z.ramp.step, at.toWall(z.ramp.began).UnixMilli()
	}
	jobs := z.displaced.byRelevance()
	limit := min(len(jobs), z.record.jobLimit)
	rec.OmittedJobs = len(jobs) - limit
	for _, job := range jobs[:limit] {
		entry := z.displaced.jobs[job]
		rec.DisplacedJobs = append(rec.DisplacedJobs, job)
		rec.JobCounters = append(rec.JobCounters, entry.losses, entry.lastLoss, entry.failbacks, entry.lastFailback, entry.restored)
	}
	return rec
}

// load takes in the record that a predecessor left.
func (z *zone) load(rec *Record, revision ids.Revision, at ClockReading) {
	z.condition = Condition(rec.Condition)
	if z.condition > Recovering { // of a later version: the most careful that ends by itself
		z.condition = Outage
	}
	z.since = at.toInstant(rec.SinceMS)
	z.reason = "recorded by an earlier leader"
	z.flaps, z.machinesBefore = rec.Outages, rec.MachinesBefore
	z.incidents.load(rec.Incidents)
	if rec.Outages > 0 {
		z.incidents.reopen()
	}
	z.darkAt = at.Now // nothing there has been used since, as far as this leader knows
	z.override = Override{Kind: OverrideKind(rec.Override), Reason: rec.OverrideReason, UntilMS: rec.OverrideUntilMS}
	for i, job := range rec.DisplacedJobs {
		if k := i * countsPerJob; k+countsPerJob <= len(rec.JobCounters) {
			n := rec.JobCounters[k : k+countsPerJob]
			z.displaced.jobs[job] = &displacedJob{losses: n[0], lastLoss: n[1], failbacks: n[2], lastFailback: n[3], restored: n[4], lostAt: at.Now}
		}
	}
	if z.condition == Recovering {
		// The step begins anew: what its starts came to was not recorded.
		z.ramp.enter(min(rec.Step, z.policy.lastStep()), at.Now)
		z.ramp.began = at.toInstant(rec.RecoveryBeganMS)
	}
	z.record.revision = revision
	z.record.condition, z.record.step = z.condition, z.ramp.step
}

// loadUnreadable takes note of a record that makes no sense. It is never taken for absent:
// the zone must show by itself that it is there.
func (z *zone) loadUnreadable(revision ids.Revision, at ClockReading) {
	z.condition, z.since, z.flaps = Outage, at.Now, 1
	z.incidents.beginOutage(at, 0)
	z.reason = "the record cannot be read"
	z.record.revision = revision
	z.record.condition, z.record.dirty = Outage, true
}

// lazyDelay is how long the record may lag behind the list of displaced jobs.
const lazyDelay = 2 * time.Second

// due tells whether the record must be written now.
func (z *zone) due(now monotonic.Instant) bool {
	r := &z.record
	if r.inFlight {
		return false
	}
	if r.lazy {
		r.lazy = false
		if r.lazySince == 0 {
			r.lazySince = now
		}
	}
	if r.lazySince != 0 && now >= r.lazySince.Add(lazyDelay) {
		r.dirty = true
	}
	if r.dirty && r.revision == 0 && !z.interesting() {
		// There is no record, and none is needed.
		r.dirty, r.condition, r.step, r.recordedSeq = false, z.recordable(), z.ramp.step, r.overrideSeq
	}
	return r.dirty
}
