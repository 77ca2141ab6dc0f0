package zonerecovery

import (
	"testing"
	"time"
)

var incidentTime = ClockReading{Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}

// fullLog returns a log after more incidents than are kept, of two outages each. The number of
// machines of each incident is its index.
func fullLog() incidentLog {
	var log incidentLog
	for n := range 3 * maxPastIncidents {
		log.beginOutage(incidentTime, n)
		log.beginOutage(incidentTime, n)
		log.close()
	}
	return log
}

// Only the newest maxPastIncidents past incidents are kept.
func TestPastIncidentsAreLimited(t *testing.T) {
	log := fullLog()
	got := log.all()
	if len(got) != maxPastIncidents || got[maxPastIncidents-1].Machines != 3*maxPastIncidents-1 || got[0].Outages != 2 {
		t.Errorf("incidents %+v, want the newest ones", got)
	}
}

// The current incident continues after a failover: an outage under the next leader does not begin a
// new incident.
func TestCurrentIncidentContinuesAfterFailover(t *testing.T) {
	log := fullLog()
	log.beginOutage(incidentTime, 99)
	var next incidentLog
	next.load(log.all())
	next.reopen()
	next.beginOutage(incidentTime, 5)
	got := next.all()
	if len(got) != maxPastIncidents+1 || got[maxPastIncidents].Outages != 2 || got[maxPastIncidents].Machines != 99 {
		t.Errorf("incidents %+v, want the last with two outages", got)
	}
}
