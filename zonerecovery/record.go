package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
)

// Record holds the state of a zone that the next leader loads. It is stored in the key-value store,
// so the tags and the meaning of numbers must not change. Times are in milliseconds since the epoch.
type Record struct {
	// Nonce identifies the write, as in all records.
	Nonce     uint64 `msgpack:"w"`
	Condition uint8  `msgpack:"c"`
	// SinceMS is when the condition began, RecoveryBeganMS when the recovery did.
	SinceMS         int64 `msgpack:"s"`
	RecoveryBeganMS int64 `msgpack:"b,omitempty"`
	Step            int   `msgpack:"p,omitempty"`
	// Outages counts the outages of the current incident. OutageNumber is the number of the
	// newest outage, which equals the count.
	Outages      int `msgpack:"f,omitempty"`
	OutageNumber int `msgpack:"l,omitempty"`
	// MachinesBefore is the number of machines that the zone had before the incident.
	MachinesBefore int `msgpack:"m,omitempty"`
	// DisplacedJobs holds the displaced jobs, those that returned most often first. JobCounters
	// holds countersPerJob numbers for each. OmittedJobs counts the jobs that do not fit into
	// the record.
	DisplacedJobs []ids.JobID `msgpack:"j,omitempty"`
	JobCounters   []int       `msgpack:"n,omitempty"`
	OmittedJobs   int         `msgpack:"o,omitempty"`
	// Incidents holds the past incidents, and last the current one if Outages is not 0.
	Incidents []Incident `msgpack:"i,omitempty"`
	// Override, OverrideReason and OverrideUntilMS are the operators' override that is in force.
	Override        uint8  `msgpack:"h,omitempty"`
	OverrideReason  string `msgpack:"r,omitempty"`
	OverrideUntilMS int64  `msgpack:"t,omitempty"`
}

// countersPerJob is the length of a job's part of Record.JobCounters: losses, the outage of the last
// loss, failbacks, the outage of the last failback, and restored replicas.
const countersPerJob = 5

// maxRecordedJobs is the maximum number of displaced jobs in a record.
const maxRecordedJobs = 200

// addJob adds a displaced job and its counters.
func (r *Record) addJob(job ids.JobID, entry *displacedJob) {
	r.DisplacedJobs = append(r.DisplacedJobs, job)
	r.JobCounters = append(r.JobCounters, entry.losses, entry.lastLossOutage, entry.failbacks, entry.lastFailbackOutage, entry.restored)
}

// jobs returns the displaced jobs. It omits jobs whose counters are missing.
func (r *Record) jobs() map[ids.JobID]*displacedJob {
	jobs := map[ids.JobID]*displacedJob{}
	for i, job := range r.DisplacedJobs {
		first := i * countersPerJob
		if first+countersPerJob > len(r.JobCounters) {
			break
		}
		n := r.JobCounters[first : first+countersPerJob]
		jobs[job] = &displacedJob{losses: n[0], lastLossOutage: n[1], failbacks: n[2], lastFailbackOutage: n[3], restored: n[4]}
	}
	return jobs
}

// condition returns the recorded condition. An unknown condition, which a later version may have
// written, counts as an outage: that is the most restrictive condition that ends without an operator.
func (r *Record) condition() Condition {
	if condition := Condition(r.Condition); condition <= Recovering {
		return condition
	}
	return Outage
}

// override returns the recorded override.
func (r *Record) override() Override {
	return Override{Kind: OverrideKind(r.Override), Reason: r.OverrideReason, UntilMS: r.OverrideUntilMS}
}
