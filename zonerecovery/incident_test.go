package zonerecovery

import (
	"testing"
	"time"
)

var incidentTime = ClockReading{Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}

// fullLog is a log with as many past incidents as are kept, of two outages each. Their machines
// count the incidents.
func fullLog() incidentLog {
	var log incidentLog
	for n := range 3 * maxPastIncidents {
		log.beginOutage(incidentTime, n)
		log.beginOutage(incidentTime, n)
		log.close()
	}
	return log
}

// Past incidents are limited to the newest.
func TestPastIncidentsAreLimited(t *testing.T) {
	log := fullLog()
	got := log.all()
	if len(got) != maxPastIncidents || got[maxPastIncidents-1].Machines != 3*maxPastIncidents-1 || got[0].Outages != 2 {
		t.Errorf("%+v", got)
	}
}

// The present incident goes on after a failover.
func TestCurrentIncidentContinuesAfterFailover(t *testing.T) {
	log := fullLog()
	log.beginOutage(incidentTime, 99)
	var next incidentLog
	next.load(log.all())
	next.reopen()
	next.beginOutage(incidentTime, 5)
	got := next.all()
	if len(got) != maxPastIncidents+1 || got[maxPastIncidents].Outages != 2 || got[maxPastIncidents].Machines != 99 {
		t.Errorf("%+v", got)
	}
}
