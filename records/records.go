// Package records holds the durable records in the state service and commits
// changes to them: guarded, batched, and with unknown outcomes settled.
package records

import (
	"fmt"
	"strings"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Prefixes and names of keys.
const (
	JobPrefix       = "jobs/"
	AdmissionPrefix = "admissions/"
	LeaderKey       = "leader"
	FleetKey        = "fleet"
	// FormatKey tells that every controller is known to wait for what jobs name,
	// and to read slices that were split.
	FormatKey = "format"
	// ZonePrefix is for the conditions of zones. Such records come only where operators
	// have zones watched; versions that do not know them read none.
	ZonePrefix = "zones/"
)

// ZoneKey is the key of a zone's condition.
func ZoneKey(zone ids.Zone) string { return ZonePrefix + string(zone) }

// JobKey is the key of a job's record.
func JobKey(id ids.JobID) string { return JobPrefix + string(id) }

// AdmissionKey is the key of one slice of a job's admissions. Numbers are
// padded so that slices list in order.
func AdmissionKey(id ids.JobID, n int) string {
	return fmt.Sprintf("%s%s/%05d", AdmissionPrefix, id, n)
}

// ParseAdmissionKey reads a slice's key.
func ParseAdmissionKey(key string) (ids.JobID, int, bool) {
	rest, ok := strings.CutPrefix(key, AdmissionPrefix)
	i := strings.LastIndexByte(rest, '/')
	if !ok || i <= 0 {
		return "", 0, false
	}
	var n int
	if _, err := fmt.Sscanf(rest[i+1:], "%d", &n); err != nil || n < 0 {
		return "", 0, false
	}
	return ids.JobID(rest[:i]), n, true
}

// Job is the durable record of a job. Status is queued, done or cancelled:
// whether tasks run is not kept here.
type Job struct {
	// Nonce names this very write, as in Slice.
	Nonce  uint64        `msgpack:"w"`
	Status wire.JobState `msgpack:"s"`
	Tasks  int           `msgpack:"n"`
	Spec   *wire.JobSpec `msgpack:"p,omitempty"`
	// SubmittedMS is the time of day of the submission; jobs go by it.
	SubmittedMS int64 `msgpack:"t,omitempty"`
	// DoneMS is the time of day when the job was done: those that need it are
	// ready from then on. Versions that do not know it lose nothing.
	DoneMS int64 `msgpack:"e,omitempty"`
}

// Dependencies is what the record says about waiting for other jobs.
func (j *Job) Dependencies() dependency.Record {
	r := dependency.Record{Status: j.Status, SubmittedMS: j.SubmittedMS, DoneMS: j.DoneMS}
	if s := j.Spec; s != nil {
		r.DependsOn, r.Priority, r.ExpectedRun = s.DependsOn, s.Priority, monotonic.Seconds(s.EstimateS)
		// Deadlines of jobs that wait for none decide nothing, as before.
		if len(s.DependsOn) > 0 && s.DeadlineS > 0 {
			r.DueMS = j.SubmittedMS + monotonic.Seconds(s.DeadlineS).Milliseconds()
		}
	}
	return r
}

// Terminal tells whether the job is done or cancelled, for good.
func (j *Job) Terminal() bool { return j.Status == wire.JobDone || j.Status == wire.JobCancelled }

// AdmissionSlice is the durable record of some of a job's tasks: where each was
// admitted and with which attempt. It is committed before any task of it is
// started, so a task can be only where its record says. Which tasks it is for
// follows from those that it lists: its number says nothing but which record it
// is, since slices are split when they grow too large, and slice_tasks may change.
type AdmissionSlice struct {
	// Nonce names this very write, so that one whose answer was lost is
	// recognised.
	Nonce uint64          `msgpack:"w"`
	Hosts []ids.MachineID `msgpack:"h"`
	// Zones holds the zone of each host, so that a successor can keep
	// oneZone and spread before it hears from the host.
	Zones []ids.Zone `msgpack:"z"`
	// Tasks holds triples: task, last attempt, and place in Hosts or -1.
	Tasks []int `msgpack:"t"`
	// Done holds the tasks that completed.
	Done []int `msgpack:"d,omitempty"`
}

// Change is one indivisible change to the records.
type Change struct {
	ID            uint64
	Preconditions []kv.Precondition
	Operations    []kv.Operation
}
