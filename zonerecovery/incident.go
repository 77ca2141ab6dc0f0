package zonerecovery

import (
	"slices"
	"time"
)

// Incident holds what happened to a zone from its first outage until it had served for the quiet
// period. Instants are in milliseconds since the epoch, durations in milliseconds.
type Incident struct {
	// BeganMS is when the first outage began. ServingSinceMS is when the zone last began to
	// serve again, 0 if it does not serve.
	BeganMS        int64 `msgpack:"b" cbor:"1,keyasint" json:"began_ms"`
	ServingSinceMS int64 `msgpack:"e,omitempty" cbor:"2,keyasint" json:"served_ms"`
	// Outages counts the outages. OutageMS is the total duration of the outages, and RecoveryMS
	// that of the recoveries.
	Outages    int   `msgpack:"s" cbor:"3,keyasint" json:"spells"`
	OutageMS   int64 `msgpack:"d,omitempty" cbor:"4,keyasint" json:"dark_ms"`
	RecoveryMS int64 `msgpack:"r,omitempty" cbor:"5,keyasint" json:"return_ms"`
	// Setbacks counts how often a recovery returned to the previous step.
	Setbacks int `msgpack:"k,omitempty" cbor:"6,keyasint" json:"setbacks"`
	// DisplacedTasks counts the tasks that were lost with their machines, DisplacedJobs the jobs
	// of these tasks.
	DisplacedTasks int `msgpack:"t,omitempty" cbor:"7,keyasint" json:"displaced_tasks"`
	DisplacedJobs  int `msgpack:"j,omitempty" cbor:"8,keyasint" json:"displaced_jobs"`
	// Failbacks counts how often jobs returned to the zone within their budget, ForcedFailbacks
	// how often they returned beyond it.
	Failbacks       int `msgpack:"o,omitempty" cbor:"9,keyasint" json:"bounces"`
	ForcedFailbacks int `msgpack:"f,omitempty" cbor:"10,keyasint" json:"forced"`
	// RestoredReplicas counts the replicas of services that were moved back.
	RestoredReplicas int `msgpack:"m,omitempty" cbor:"11,keyasint" json:"restored"`
	// Machines is the number of machines that the zone had before the first outage.
	Machines int `msgpack:"n,omitempty" cbor:"12,keyasint" json:"machines"`
}

// maxPastIncidents is the number of past incidents that are kept for a zone.
const maxPastIncidents = 8

// incidentLog holds the current incident of a zone and the past ones. It is shown to operators, and
// no decision depends on it.
type incidentLog struct {
	// current is nil while there is no incident.
	current *Incident
	past    []Incident
}

// beginOutage adds an outage to the current incident, or begins a new incident.
func (l *incidentLog) beginOutage(at ClockReading, machines int) {
	if l.current == nil {
		l.current = &Incident{BeganMS: at.Wall.UnixMilli(), Machines: machines}
	}
	l.current.Outages++
	l.current.ServingSinceMS = 0
}

// addTime adds the time that the zone spent in a condition to the current incident. left is that
// condition.
func (l *incidentLog) addTime(left Condition, duration time.Duration) {
	l.update(func(incident *Incident) {
		switch left {
		case Outage:
			incident.OutageMS += duration.Milliseconds()
		case Recovering:
			incident.RecoveryMS += duration.Milliseconds()
		}
	})
}

// beginServing records that the zone serves again.
func (l *incidentLog) beginServing(at ClockReading) {
	l.update(func(incident *Incident) { incident.ServingSinceMS = at.Wall.UnixMilli() })
}

// addFailback counts the return of a job to the zone.
func (l *incidentLog) addFailback(kind failback) {
	l.update(func(incident *Incident) {
		switch kind {
		case failbackInBudget:
			incident.Failbacks++
		case failbackForced:
			incident.ForcedFailbacks++
		}
	})
}

// update applies a change to the current incident, if there is one.
func (l *incidentLog) update(change func(*Incident)) {
	if l.current != nil {
		change(l.current)
	}
}

// close ends the current incident, if there is one.
func (l *incidentLog) close() {
	if l.current == nil {
		return
	}
	l.past = append(l.past, *l.current)
	l.past = l.past[max(0, len(l.past)-maxPastIncidents):]
	l.current = nil
}

// all returns a copy of the incidents, the current one last. It is nil if there are none.
func (l *incidentLog) all() []Incident {
	incidents := append([]Incident(nil), l.past...)
	if l.current != nil {
		incidents = append(incidents, *l.current)
	}
	return incidents
}

// load replaces the log by recorded incidents. All of them count as past.
func (l *incidentLog) load(recorded []Incident) {
	l.past, l.current = slices.Clone(recorded), nil
}

// reopen makes the newest past incident, if there is one, the current one.
func (l *incidentLog) reopen() {
	if len(l.past) == 0 {
		return
	}
	newest := l.past[len(l.past)-1]
	l.current, l.past = &newest, l.past[:len(l.past)-1]
}
