package zonerecovery

import "ospreystile.example/ospreystile/monotonic"

// holdDown holds the timer of an outage whose machines are reachable again. It only measures the
// time: the state machine begins the recovery.
type holdDown struct {
	policy *Policy
	// runningSince is 0 while the timer is stopped.
	runningSince monotonic.Instant
}

// start starts the timer.
func (h *holdDown) start(now monotonic.Instant) { h.runningSince = now }

// stop stops the timer and sets it to zero.
func (h *holdDown) stop() { h.runningSince = 0 }

// running reports whether the timer is started.
func (h *holdDown) running() bool { return h.runningSince != 0 }

// end returns when the hold-down ends if the timer is not stopped. The hold-down grows with the
// number of outages.
func (h *holdDown) end(outages int) monotonic.Instant {
	return h.runningSince.Add(h.policy.holdDown(outages))
}
