package zonerecovery

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// recoveryWindow holds the window that is open while a zone recovers. It denies no task itself.
type recoveryWindow struct {
	// window is nil while no window is open.
	window *Window
	until  time.Time
}

// update looks up the window that is open now. opened reports whether a window is open that was not
// open at the last update.
func (w *recoveryWindow) update(policy *Policy, zone ids.Zone, wall time.Time) (opened bool) {
	before := w.window
	w.window, w.until = policy.openWindow(zone, wall)
	return w.window != nil && w.window != before
}

// isOpen reports whether a window is open.
func (w *recoveryWindow) isOpen() bool { return w.window != nil }

// close resets the window to none.
func (w *recoveryWindow) close() { *w = recoveryWindow{} }

// String returns a description of the open window for the log.
func (w *recoveryWindow) String() string {
	return fmt.Sprintf("window %s until %s", w.window.Name, w.until.Format("2006-01-02 15:04 MST"))
}
