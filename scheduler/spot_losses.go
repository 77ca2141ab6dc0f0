package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
)

// spotLosses tracks how often the cloud reclaims spot instances, and estimates from that how often a
// task loses its machine.
type spotLosses struct {
	cluster *cluster.State
	// uptime is the total time for which spot instances were up, summed over all of them.
	uptime time.Duration
	// count is the number of spot instances lost during that uptime.
	count int
}

const (
	// priorSpotLosses and priorSpotUptimeHours are added to the observed values. Before any
	// observation, the loss rate is thus one loss per half an hour of uptime.
	priorSpotLosses      = 1.0
	priorSpotUptimeHours = 0.5
	secondsPerHour       = 3600
)

// record counts a spot instance that the cloud has reclaimed or has announced to reclaim.
func (l *spotLosses) record() { l.count++ }

// countUptime adds an interval of uptime for each spot instance that is up.
func (l *spotLosses) countUptime(interval time.Duration) {
	for _, m := range l.cluster.Machines() {
		if m.Spot() && m.Up() {
			l.uptime += interval
		}
	}
}

// risk returns the expected number of times that a spot instance is reclaimed while one task of a job
// runs on it.
func (l *spotLosses) risk(j *cluster.Job) float64 {
	perHour := (priorSpotLosses + float64(l.count)) / (priorSpotUptimeHours + l.uptime.Hours())
	return perHour * j.Spec.EstimateS / secondsPerHour
}
