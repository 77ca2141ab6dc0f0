package zonerecovery

import (
	"slices"
	"time"

	"github.com/rickar/cal/v2"

	"ospreystile.example/ospreystile/ids"
)

// searchDays is the number of days that are searched for an opening. Within three years every movable
// holiday occurs.
const searchDays = 3 * 366

// Window represents a recurring interval, by the wall clock of a named time zone, in which only
// critical work starts in recovering zones. It is immutable.
type Window struct {
	Name     string
	location *time.Location
	from, to timeOfDay
	// days holds the days of the week on which the window begins. Empty means every day.
	days []time.Weekday
	// calendar is nil if dayKind is allDays and no calendar is named.
	calendar *cal.BusinessCalendar
	dayKind  string
	zones    []ids.Zone
}

// timeOfDay represents a time of day as a wall clock shows it.
type timeOfDay struct{ hour, minute int }

// before reports whether t is earlier in a day than other.
func (t timeOfDay) before(other timeOfDay) bool {
	return t.hour < other.hour || t.hour == other.hour && t.minute < other.minute
}

// Interval represents one opening of a window. End is exclusive.
type Interval struct{ Begin, End time.Time }

// contains reports whether a time is in the interval.
func (i Interval) contains(at time.Time) bool { return !at.Before(i.Begin) && at.Before(i.End) }

// Zones returns the zones to which the window applies. Empty means all.
func (w *Window) Zones() []ids.Zone { return w.zones }

// OpenAt reports whether the window is open in a zone at a time, and returns when it ends.
func (w *Window) OpenAt(zone ids.Zone, at time.Time) (until time.Time, open bool) {
	if len(w.zones) > 0 && !slices.Contains(w.zones, zone) {
		return time.Time{}, false
	}
	local := at.In(w.location)
	for _, daysBack := range []int{0, 1} { // an opening that began yesterday may end today
		opening, ok := w.openingOn(local, -daysBack)
		if ok && opening.contains(at) && opening.End.After(until) {
			until, open = opening.End, true
		}
	}
	return until, open
}

// Openings returns the next openings of the window in its own time zone, at most count. An opening
// that is in progress at from is included.
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

// everOpens reports whether the window opens within searchDays days.
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

// beginsOn reports whether the window begins on a day of its time zone.
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

// openingOn returns the opening that begins the given number of days after local. ok is false if there
// is none on that day.
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

// occurrences returns the first and the last instant at which local clocks show a time on the day of
// noon. If clocks are set back on that day, the time may occur twice. If clocks are set forward over
// the time, both instants are that of the change. So a window around a clock change begins once and
// ends once.
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

// withOffsetOf returns the instant at which clocks with the UTC offset of reference show wallTime, in
// the location of reference. The location of wallTime is UTC.
func withOffsetOf(reference, wallTime time.Time) time.Time {
	_, offsetSeconds := reference.Zone()
	return wallTime.Add(-time.Duration(offsetSeconds) * time.Second).In(reference.Location())
}
