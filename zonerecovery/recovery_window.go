package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// recoveryWindow owns which window is open while a zone recovers. It denies nothing itself.
type recoveryWindow struct {
	// window is nil while none is open.
	window *Window
	until  time.Time
}

// update looks up the window that is open now. It reports whether another one has opened.
func (w *recoveryWindow) update(policy *Policy, zone ids.Zone, wall time.Time) (opened bool) {
	before := w.window
	w.window, w.until = policy.openWindow(zone, wall)
	return w.window != nil && w.window != before
}

// isOpen reports whether a window is open.
func (w *recoveryWindow) isOpen() bool { return w.window != nil }

// close forgets the window.
func (w *recoveryWindow) close() { *w = recoveryWindow{} }

// String describes the open window for the log.
func (w *recoveryWindow) String() string {
	return fmt.Sprintf("window %s until %s", w.window.Name, w.until.Format("2006-01-02 15:04 MST"))
}
