package zonerecovery

import (
	"fmt"
	"slices"
	"strings"
	"time"

	// The time zone database is part of the program: a controller's machine may have none.
	_ "time/tzdata"

	"github.com/rickar/cal/v2"
	"github.com/rickar/cal/v2/pl"
	"github.com/rickar/cal/v2/se"

	"ospreystile.example/ospreystile/ids"
)

// WindowSettings are the operators' settings of one window.
type WindowSettings struct {
	Name     string `json:"name"`
	TimeZone string `json:"time_zone"`
	// From and To are times of day in the time zone, such as 05:30. A window whose end is
	// not after its beginning ends on the next day.
	From string `json:"from"`
	To   string `json:"to"`
	// Days are the days of the week on which it begins; none: every day.
	Days []string `json:"days"`
	// Calendar names a country's holidays, and On on which days the window begins.
	Calendar string     `json:"calendar"`
	DayKind  string     `json:"on"`
	Zones    []ids.Zone `json:"zones"`
}

// DayKind which days of its calendar a window begins.
const (
	onAllDays     = "all"
	onWorkdays    = "workdays"
	onNonWorkdays = "holidays"
)

// calendars are the holidays that windows may name.
var calendars = map[string][]*cal.Holiday{"pl": pl.Holidays, "se": se.Holidays}

// searchDays is for how many days a window must open at least once: a few years hold all
// movable holidays.
const searchDays = 3 * 366

// Window is a time of day in a named time zone in which only critical work returns.
type Window struct {
	Name     string
	location *time.Location
	from, to timeOfDay
	days     []time.Weekday
	calendar *cal.BusinessCalendar
	on       string
	zones    []ids.Zone
}

// timeOfDay is a reading of a wall clock.
type timeOfDay struct{ hour, minute int }

// before tells whether it comes earlier on a day.
func (t timeOfDay) before(o timeOfDay) bool {
	return t.hour < o.hour || t.hour == o.hour && t.minute < o.minute
}

// window checks the settings and makes the window.
func (s *WindowSettings) window(key string) (*Window, error) {
	w := &Window{Name: s.Name, on: s.DayKind, zones: s.Zones}
	var err error
	if s.TimeZone == "" || s.TimeZone == "Local" {
		return nil, settingError(key+".time_zone", "a name such as Europe/Warsaw is needed")
	}
	if w.location, err = time.LoadLocation(s.TimeZone); err != nil {
		return nil, settingError(key+".time_zone", "unknown time zone %q", s.TimeZone)
	}
	if w.from, err = parseTimeOfDay(s.From); err != nil {
		return nil, settingError(key+".from", "%v", err)
	}
	if w.to, err = parseTimeOfDay(s.To); err != nil {
		return nil, settingError(key+".to", "%v", err)
	}
	if w.from == w.to {
		return nil, settingError(key+".to", "the window never opens: it ends when it begins, at %s", s.To)
	}
	if w.days, err = parseDays(key, s.Days); err != nil {
		return nil, err
	}
	if err := w.setCalendar(key, s.Calendar); err != nil {
		return nil, err
	}
	if !w.everOpens(time.Now()) {
		return nil, settingError(key, "the window never opens: no day of the next three years is one of days %v and of on %q", s.Days, w.on)
	}
	return w, nil
}

// setCalendar finds the calendar and checks what it is used for.
func (w *Window) setCalendar(key, name string) error {
	if w.on == "" {
		w.on = onAllDays
	}
	if name == "" {
		if w.on != onAllDays {
			return settingError(key+".calendar", "on %q needs a calendar", w.on)
		}
		return nil
	}
	holidays, ok := calendars[name]
	if !ok {
		return settingError(key+".calendar", "unknown calendar %q", name)
	}
	w.calendar = cal.NewBusinessCalendar()
	w.calendar.Name = name
	w.calendar.AddHoliday(holidays...)
	return nil
}

// parseTimeOfDay reads a time such as 05:30.
func parseTimeOfDay(text string) (timeOfDay, error) {
	t, err := time.Parse("15:04", text)
	if err != nil {
		return timeOfDay{}, fmt.Errorf("%q is no time of day such as 05:30", text)
	}
	return timeOfDay{t.Hour(), t.Minute()}, nil
}

// parseDays reads days of the week such as mon.
func parseDays(key string, names []string) ([]time.Weekday, error) {
	var days []time.Weekday
	for i, name := range names {
		at := slices.IndexFunc(weekdays, func(day time.Weekday) bool {
			return strings.ToLower(day.String()[:3]) == name
		})
		if at < 0 {
			return nil, settingError(fmt.Sprintf("%s.days.%d", key, i), "unknown day %q", name)
		}
		days = append(days, weekdays[at])
	}
	return days, nil
}

var weekdays = []time.Weekday{time.Monday, time.Tuesday, time.Wednesday, time.Thursday, time.Friday, time.Saturday, time.Sunday}

// everOpens tells whether the window opens at all in the next years.
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

// beginsOn tells whether the window begins on a local day.
func (w *Window) beginsOn(day time.Time) bool {
	if len(w.days) > 0 && !slices.Contains(w.days, day.Weekday()) {
		return false
	}
	switch w.on {
	case onWorkdays:
		return w.calendar.IsWorkday(day)
	case onNonWorkdays:
		return !w.calendar.IsWorkday(day)
	}
	return true
}

// OpenAt tells whether the window is open in a zone, and when it ends.
func (w *Window) OpenAt(zone ids.Zone, at time.Time) (until time.Time, open bool) {
	if len(w.zones) > 0 && !slices.Contains(w.zones, zone) {
		return time.Time{}, false
	}
	local := at.In(w.location)
	for _, daysBack := range []int{0, 1} { // one that began yesterday may reach into today
		begin, end, ok := w.onDay(local, -daysBack)
		if ok && !at.Before(begin) && at.Before(end) && end.After(until) {
			until, open = end, true
		}
	}
	return until, open
}

// Interval is one time at which a window is open.
type Interval struct{ Begin, End time.Time }

// Openings lists the next times at which the window is open, in its own time zone, the
// present one included.
func (w *Window) Openings(from time.Time, count int) []Interval {
	var out []Interval
	local := from.In(w.location)
	for days := -1; days < searchDays && len(out) < count; days++ {
		if begin, end, ok := w.onDay(local, days); ok && end.After(from) {
			out = append(out, Interval{begin, end})
		}
	}
	return out
}

// Zones are those that the window is for; none: all.
func (w *Window) Zones() []ids.Zone { return w.zones }

// onDay is the window that begins some days from a local day, if one does.
func (w *Window) onDay(local time.Time, days int) (begin, end time.Time, ok bool) {
	noon := time.Date(local.Year(), local.Month(), local.Day()+days, 12, 0, 0, 0, w.location)
	if !w.beginsOn(noon) {
		return time.Time{}, time.Time{}, false
	}
	lastDay := noon
	if !w.from.before(w.to) {
		lastDay = noon.AddDate(0, 0, 1)
	}
	begin, _ = occurrences(noon, w.from)
	_, end = occurrences(lastDay, w.to)
	return begin, end, begin.Before(end)
}

// occurrences are the first and the last moment at which the clocks of a place show a time
// on a day. When they are set back it comes twice; when they are set forward over it, both
// are the moment of the change. So a window around a change begins once and ends once.
func occurrences(noon time.Time, t timeOfDay) (first, last time.Time) {
	shown := time.Date(noon.Year(), noon.Month(), noon.Day(), t.hour, t.minute, 0, 0, time.UTC)
	var found []time.Time
	for _, near := range []time.Time{noon.Add(-24 * time.Hour), noon.Add(24 * time.Hour)} {
		_, offset := near.Zone()
		moment := shown.Add(-time.Duration(offset) * time.Second).In(noon.Location())
		if moment.Hour() == t.hour && moment.Minute() == t.minute {
			found = append(found, moment)
		}
	}
	if len(found) == 0 {
		_, offset := noon.Add(-24 * time.Hour).Zone()
		change, _ := shown.Add(-time.Duration(offset) * time.Second).In(noon.Location()).ZoneBounds()
		return change, change
	}
	first, last = found[0], found[0]
	for _, moment := range found[1:] {
		if moment.Before(first) {
			first = moment
		}
		if moment.After(last) {
			last = moment
		}
	}
	return first, last
}
