package zonerecovery

import "ospreystile.example/ospreystile/monotonic"

// outageHistory owns what is remembered of the outages of the present incident. It
// decides nothing.
type outageHistory struct {
	// count is the number of outages, and the number of the newest. It is 0 while the zone has
	// no incident.
	count int
	// machinesBefore is how many machines the zone had before the first outage.
	machinesBefore int
	// lastBegan is when the newest outage began.
	lastBegan monotonic.Instant
}

// begin counts an outage.
func (h *outageHistory) begin(now monotonic.Instant) {
	h.count++
	h.lastBegan = now
}

// outageOfLoss is the number of the outage that a lost task belongs to. A suspicion may yet become
// the first outage.
func (h *outageHistory) outageOfLoss() int { return max(1, h.count) }
