package zonerecovery

import (
	"time"
)

// Incident is what happened to a zone from the first time that it got dark until it had
// served for long enough. Those that are over are kept, so that operators who were not
// there can see them.
type Incident struct {
	// RecoveryBeganMS is when the zone got dark, ServingSinceMS when it last served again, 0 if it does
	// not yet.
	BeganMS        int64 `msgpack:"b" cbor:"1,keyasint" json:"began_ms"`
	ServingSinceMS int64 `msgpack:"e,omitempty" cbor:"2,keyasint" json:"served_ms"`
	// Outages counts the times that it got dark, OutageMS how long it was so all together, and
	// RecoveryMS how long its returns took.
	Outages    int   `msgpack:"s" cbor:"3,keyasint" json:"spells"`
	OutageMS   int64 `msgpack:"d,omitempty" cbor:"4,keyasint" json:"dark_ms"`
	RecoveryMS int64 `msgpack:"r,omitempty" cbor:"5,keyasint" json:"return_ms"`
	// Setbacks counts the steps that were taken back.
	Setbacks int `msgpack:"k,omitempty" cbor:"6,keyasint" json:"setbacks"`
	// DisplacedTasks were lost with the zone, of so many Jobs. Bounces counts the jobs that came
	// back, Forced those beyond their budget, and Restored the replicas that were moved
	// back.
	DisplacedTasks   int `msgpack:"t,omitempty" cbor:"7,keyasint" json:"displaced_tasks"`
	DisplacedJobs    int `msgpack:"j,omitempty" cbor:"8,keyasint" json:"displaced_jobs"`
	Failbacks        int `msgpack:"o,omitempty" cbor:"9,keyasint" json:"bounces"`
	ForcedFailbacks  int `msgpack:"f,omitempty" cbor:"10,keyasint" json:"forced"`
	RestoredReplicas int `msgpack:"m,omitempty" cbor:"11,keyasint" json:"restored"`
	// MachinesBefore is how many the zone had when it got dark.
	Machines int `msgpack:"n,omitempty" cbor:"12,keyasint" json:"machines"`
}

// maxHistory bounds the incidents that are kept for a zone.
const maxHistory = 8

// incidentLog is a zone's present incident and those before it, the newest last.
type incidentLog struct {
	present *Incident
	history []Incident
}

// begin notes that the zone got dark: another spell, or a new incident.
func (l *incidentLog) begin(at ClockReading, machines int) {
	if l.present == nil {
		l.present = &Incident{BeganMS: at.Wall.UnixMilli(), Machines: machines}
	}
	l.present.Outages++
	l.present.ServingSinceMS = 0
}

// leave adds the time that the zone had a condition, once it has another.
func (l *incidentLog) leave(c Condition, took time.Duration) {
	if l.present == nil {
		return
	}
	switch c {
	case Outage:
		l.present.OutageMS += took.Milliseconds()
	case Recovering:
		l.present.RecoveryMS += took.Milliseconds()
	}
}

// serve notes that the zone serves again.
func (l *incidentLog) serve(at ClockReading) {
	if l.present != nil {
		l.present.ServingSinceMS = at.Wall.UnixMilli()
	}
}

// close ends the present incident.
func (l *incidentLog) close() {
	if l.present == nil {
		return
	}
	l.history = append(l.history, *l.present)
	l.history = l.history[max(0, len(l.history)-maxHistory):]
	l.present = nil
}

// count changes the present incident, if there is one.
func (l *incidentLog) count(change func(*Incident)) {
	if l.present != nil {
		change(l.present)
	}
}

// all lists the incidents, the present one last.
func (l *incidentLog) all() []Incident {
	out := append([]Incident(nil), l.history...)
	if l.present != nil {
		out = append(out, *l.present)
	}
	return out
}

// load takes in what a predecessor recorded. The last incident is the present one unless it
// is over.
func (l *incidentLog) load(recorded []Incident, open bool) {
	l.history = append([]Incident(nil), recorded...)
	if open && len(l.history) > 0 {
		last := l.history[len(l.history)-1]
		l.present, l.history = &last, l.history[:len(l.history)-1]
	}
}
