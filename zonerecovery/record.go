package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
)

// Record is what the next leader must know of a zone. Its form is stored: tags and the meaning of
// numbers must not change. Times are in milliseconds since the epoch.
type Record struct {
	// Nonce identifies this write, as in all records.
	Nonce     uint64 `msgpack:"w"`
	Condition uint8  `msgpack:"c"`
	// SinceMS is when the condition began, RecoveryBeganMS when the recovery did.
	SinceMS         int64 `msgpack:"s"`
	RecoveryBeganMS int64 `msgpack:"b,omitempty"`
	Step            int   `msgpack:"p,omitempty"`
	// Outages counts the outages of the present incident. OutageNumber is the number of the
	// newest, which is the same.
	Outages      int `msgpack:"f,omitempty"`
	OutageNumber int `msgpack:"l,omitempty"`
	// MachinesBefore is how many machines the zone had before the incident.
	MachinesBefore int `msgpack:"m,omitempty"`
	// DisplacedJobs are the displaced jobs, those that returned most often first. JobCounters
	// holds countersPerJob numbers for each. OmittedJobs counts those without room.
	DisplacedJobs []ids.JobID `msgpack:"j,omitempty"`
	JobCounters   []int       `msgpack:"n,omitempty"`
	OmittedJobs   int         `msgpack:"o,omitempty"`
	// Incidents are the past ones, and the present one if Outages is not 0.
	Incidents []Incident `msgpack:"i,omitempty"`
	// Override, OverrideReason and OverrideUntilMS are the operators' override in force.
	Override        uint8  `msgpack:"h,omitempty"`
	OverrideReason  string `msgpack:"r,omitempty"`
	OverrideUntilMS int64  `msgpack:"t,omitempty"`
}

// countersPerJob is how many numbers Record.JobCounters holds for a job: losses, the outage of the
// last loss, failbacks, the outage of the last failback, and restored replicas.
const countersPerJob = 5

// maxRecordedJobs limits the displaced jobs in a record.
const maxRecordedJobs = 200

// addJob adds a displaced job.
func (r *Record) addJob(job ids.JobID, entry *displacedJob) {
	r.DisplacedJobs = append(r.DisplacedJobs, job)
	r.JobCounters = append(r.JobCounters, entry.losses, entry.lastLossOutage, entry.failbacks, entry.lastFailbackOutage, entry.restored)
}

// jobs returns the displaced jobs. Those without counters are left out.
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

// condition returns the recorded condition. One of a later version counts as an outage, the most
// restrictive condition that ends by itself.
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
