package controller

import (
	"log/slog"

	"ospreystile.example/ospreystile/config"
)

const (
	// storedJobBytes is the memory that the leader's process needs for a job that has ended: for the
	// vertices of two dependency graphs and for the replica.
	storedJobBytes = 640
	// capacityWarningShare is the share of the capacity at which the log warns.
	capacityWarningShare = 0.8
)

// jobCapacity warns before the stored jobs, which are never deleted, need more memory than this controller is
// granted. One goroutine uses it.
type jobCapacity struct {
	jobs   int
	warned bool
	log    *slog.Logger
}

// newJobCapacity returns the capacity of a controller with the given settings.
func newJobCapacity(platform *config.Platform, log *slog.Logger) *jobCapacity {
	return &jobCapacity{jobs: int(platform.Settings.Resources.RAMMB * memoryShare * (1 << 20) / storedJobBytes), log: log}
}

// observe logs a warning once the number of stored jobs has reached capacityWarningShare of the capacity.
func (c *jobCapacity) observe(stored int) {
	if c.warned || c.jobs == 0 || float64(stored) < capacityWarningShare*float64(c.jobs) {
		return
	}
	c.warned = true
	c.log.Warn("stored jobs near capacity", "jobs", stored, "capacity", c.jobs)
}
