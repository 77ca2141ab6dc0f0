package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
)

// spotLosses learns how often the cloud reclaims spot instances, and estimates the risk for
// a task from that.
type spotLosses struct {
	cluster *cluster.State
	// uptime is the time that spot instances were up, added over all of them.
	uptime time.Duration
	// count is how many of them were lost meanwhile.
	count int
}

const (
	// Before anything is observed, one loss in this uptime is assumed.
	priorSpotLosses      = 1.0
	priorSpotUptimeHours = 0.5
	secondsPerHour       = 3600
)

// record counts a spot instance that the cloud took back, or announced to take back.
func (l *spotLosses) record() { l.count++ }

// countUptime adds an interval in which the present spot instances were up.
func (l *spotLosses) countUptime(interval time.Duration) {
	for _, m := range l.cluster.Machines() {
		if m.Spot() && m.Up() {
			l.uptime += interval
		}
	}
}

// risk is the expected number of times that a spot instance is reclaimed while one task of
// a job runs on it.
func (l *spotLosses) risk(j *cluster.Job) float64 {
	perHour := (priorSpotLosses + float64(l.count)) / (priorSpotUptimeHours + l.uptime.Hours())
	return perHour * j.Spec.EstimateS / secondsPerHour
}
