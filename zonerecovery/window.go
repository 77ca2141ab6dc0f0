package zonerecovery

import (
	"slices"
	"time"

	"github.com/rickar/cal/v2"

	"ospreystile.example/ospreystile/ids"
)

// searchDays is how many days are searched for an opening: three years hold all movable
// holidays.
const searchDays = 3 * 366

// Window is a recurring interval, by the wall clock of a named time zone, in which only critical
// work starts in zones that recover. It does not change after it is made.
type Window struct {
	Name     string
	location *time.Location
	from, to timeOfDay
	// days are the days of the week on which the window begins; empty means every day.
	days []time.Weekday
	// calendar is nil if dayKind is allDays and no calendar is named.
	calendar *cal.BusinessCalendar
	dayKind  string
	zones    []ids.Zone
}

// timeOfDay is a time as a wall clock shows it.
type timeOfDay struct{ hour, minute int }

// before reports whether t comes earlier in a day than other.
func (t timeOfDay) before(other timeOfDay) bool {
	return t.hour < other.hour || t.hour == other.hour && t.minute < other.minute
}

// Interval is one opening of a window. End is not part of it.
type Interval struct{ Begin, End time.Time }

// contains reports whether the window is open at a time.
func (i Interval) contains(at time.Time) bool { return !at.Before(i.Begin) && at.Before(i.End) }

// Zones returns the zones that the window applies to; empty means all.
func (w *Window) Zones() []ids.Zone { return w.zones }

// OpenAt reports whether the window is open in a zone, and when it ends.
func (w *Window) OpenAt(zone ids.Zone, at time.Time) (until time.Time, open bool) {
	if len(w.zones) > 0 && !slices.Contains(w.zones, zone) {
		return time.Time{}, false
	}
	local := at.In(w.location)
	for _, daysBack := range []int{0, 1} { // one that began yesterday may reach into today
		opening, ok := w.openingOn(local, -daysBack)
		if ok && opening.contains(at) && opening.End.After(until) {
			until, open = opening.End, true
		}
	}
	return until, open
}

// Openings returns the next openings of the window in its own time zone, at most count. One that
// is open at from is included.
func (w *Window) Openings(from time.Time, count int) []Interval {
	var openings []Interval
	local := from.In(w.location)
	for days := -1; days < searchDays && len(openings) < count; days++ {
		if opening, ok := w.openingOn(local, days); ok && opening.End.After(from) {
			openings = append(openings, opening)
		}
	}
	return openings
}

// everOpens reports whether the window opens within the next years.
func (w *Window) everOpens(from time.Time) bool {
	day := from.In(w.location)
	for range searchDays {
		if w.beginsOn(day) {
			return true
		}
		day = day.AddDate(0, 0, 1)
	}
	return false
}

// beginsOn reports whether the window begins on a local day.
func (w *Window) beginsOn(day time.Time) bool {
	if len(w.days) > 0 && !slices.Contains(w.days, day.Weekday()) {
		return false
	}
	switch w.dayKind {
	case workdays:
		return w.calendar.IsWorkday(day)
	case nonWorkdays:
		return !w.calendar.IsWorkday(day)
	}
	return true
}

// openingOn returns the opening that begins the given number of days after a local day. ok is
// false if none does.
func (w *Window) openingOn(local time.Time, days int) (opening Interval, ok bool) {
	noon := time.Date(local.Year(), local.Month(), local.Day()+days, 12, 0, 0, 0, w.location)
	if !w.beginsOn(noon) {
		return Interval{}, false
	}
	lastDay := noon
	if !w.from.before(w.to) {
		lastDay = noon.AddDate(0, 0, 1)
	}
	opening.Begin, _ = occurrences(noon, w.from)
	_, opening.End = occurrences(lastDay, w.to)
	return opening, opening.Begin.Before(opening.End)
}

// occurrences returns the first and the last instant at which local clocks show a time on a day.
// When clocks are set back, the time may occur twice. When they are set forward over it, both
// are the instant of the change. So a window around a change begins once and ends once.
func occurrences(noon time.Time, t timeOfDay) (first, last time.Time) {
	wallTime := time.Date(noon.Year(), noon.Month(), noon.Day(), t.hour, t.minute, 0, 0, time.UTC)
	var found []time.Time
	for _, reference := range []time.Time{noon.Add(-24 * time.Hour), noon.Add(24 * time.Hour)} {
		instant := withOffsetOf(reference, wallTime)
		if instant.Hour() == t.hour && instant.Minute() == t.minute {
			found = append(found, instant)
		}
	}
	if len(found) == 0 {
		change, _ := withOffsetOf(noon.Add(-24*time.Hour), wallTime).ZoneBounds()
		return change, change
	}
	return slices.MinFunc(found, time.Time.Compare), slices.MaxFunc(found, time.Time.Compare)
}

// withOffsetOf returns the instant at which clocks with the UTC offset of near show the given
// time, in the location of near. The location of shown is UTC.
func withOffsetOf(reference, wallTime time.Time) time.Time {
	_, offsetSeconds := reference.Zone()
	return wallTime.Add(-time.Duration(offsetSeconds) * time.Second).In(reference.Location())
}
