package zonerecovery

import "ospreystile.example/ospreystile/monotonic"

// outageHistory holds what is known of the outages of the current incident. It makes no decision.
type outageHistory struct {
	// count is the number of outages, and so the number of the newest outage. It is 0 while the
	// zone has no incident.
	count int
	// machinesBefore is the number of machines that the zone had before the first outage.
	machinesBefore int
	// lastBegan is when the newest outage began.
	lastBegan monotonic.Instant
}

// begin counts an outage.
func (h *outageHistory) begin(now monotonic.Instant) {
	h.count++
	h.lastBegan = now
}

// outageOfLoss returns the number of the outage to which a lost task belongs. A task that is lost
// while the zone is suspect belongs to the first outage, which the suspicion may become.
func (h *outageHistory) outageOfLoss() int { return max(1, h.count) }
