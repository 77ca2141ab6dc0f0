package zonerecovery

import (
	"fmt"
	"slices"
	"strings"
	"time"

	// The time zone database is embedded: a controller's machine may have none.
	_ "time/tzdata"

	"github.com/rickar/cal/v2"
	"github.com/rickar/cal/v2/pl"
	"github.com/rickar/cal/v2/se"

	"ospreystile.example/ospreystile/ids"
)

// WindowSettings holds the operators' settings of one window.
type WindowSettings struct {
	Name     string `json:"name"`
	TimeZone string `json:"time_zone"`
	// From and To are times of day in the time zone, such as 05:30. A window whose To is not
	// after its From ends on the next day.
	From string `json:"from"`
	To   string `json:"to"`
	// Days are the days of the week on which the window begins, such as "mon". Empty means
	// every day.
	Days []string `json:"days"`
	// Calendar names a country's holidays. DayKind is the kind of days in the calendar on which
	// the window begins: "all", "workdays" or "holidays". Empty means all.
	Calendar string `json:"calendar"`
	DayKind  string `json:"on"`
	// Zones are the zones that the window applies to. Empty means all.
	Zones []ids.Zone `json:"zones"`
}

// The kinds of days on which a window begins.
const (
	allDays     = "all"
	workdays    = "workdays"
	nonWorkdays = "holidays"
)

// calendars holds the holidays by the calendar names that windows may use.
var calendars = map[string][]*cal.Holiday{"pl": pl.Holidays, "se": se.Holidays}

// weekdays holds the days that windows may name, by their first three letters.
var weekdays = []time.Weekday{time.Monday, time.Tuesday, time.Wednesday, time.Thursday, time.Friday, time.Saturday, time.Sunday}

// window validates the settings and returns the window. key is the path of the settings below
// zone_return. The search for an opening begins at now. The error is a *SettingError.
func (s *WindowSettings) window(key string, now time.Time) (*Window, error) {
	w := &Window{Name: s.Name, dayKind: s.DayKind, zones: s.Zones}
	var err error
	if w.location, err = loadLocation(key+".time_zone", s.TimeZone); err != nil {
		return nil, err
	}
	if w.from, err = parseTimeOfDay(key+".from", s.From); err != nil {
		return nil, err
	}
	if w.to, err = parseTimeOfDay(key+".to", s.To); err != nil {
		return nil, err
	}
	if w.from == w.to {
		return nil, settingError(key+".to", "the window never opens: it ends when it begins, at %s", s.To)
	}
	if w.days, err = parseDays(key+".days", s.Days); err != nil {
		return nil, err
	}
	if err := w.setCalendar(key+".calendar", s.Calendar); err != nil {
		return nil, err
	}
	if !w.everOpens(now) {
		return nil, settingError(key, "the window never opens: no day of the next three years is one of days %v and of on %q", s.Days, w.dayKind)
	}
	return w, nil
}

// loadLocation returns a named time zone. It refuses Local, which differs between controllers.
func loadLocation(key, name string) (*time.Location, error) {
	if name == "" || name == "Local" {
		return nil, settingError(key, "a name such as Europe/Warsaw is needed")
	}
	location, err := time.LoadLocation(name)
	if err != nil {
		return nil, settingError(key, "unknown time zone %q", name)
	}
	return location, nil
}

// parseTimeOfDay parses a time such as 05:30.
func parseTimeOfDay(key, text string) (timeOfDay, error) {
	parsed, err := time.Parse("15:04", text)
	if err != nil {
		return timeOfDay{}, settingError(key, "%q is no time of day such as 05:30", text)
	}
	return timeOfDay{parsed.Hour(), parsed.Minute()}, nil
}

// parseDays parses days of the week such as mon.
func parseDays(key string, names []string) ([]time.Weekday, error) {
	var days []time.Weekday
	for i, name := range names {
		index := slices.IndexFunc(weekdays, func(day time.Weekday) bool {
			return strings.ToLower(day.String()[:3]) == name
		})
		if index < 0 {
			return nil, settingError(fmt.Sprintf("%s.%d", key, i), "unknown day %q", name)
		}
		days = append(days, weekdays[index])
	}
	return days, nil
}

// setCalendar sets the calendar with the given name, and the default kind of days if none is set.
func (w *Window) setCalendar(key, name string) error {
	if w.dayKind == "" {
		w.dayKind = allDays
	}
	if name == "" {
		if w.dayKind != allDays {
			return settingError(key, "on %q needs a calendar", w.dayKind)
		}
		return nil
	}
	holidays, ok := calendars[name]
	if !ok {
		return settingError(key, "unknown calendar %q", name)
	}
	w.calendar = cal.NewBusinessCalendar()
	w.calendar.Name = name
	w.calendar.AddHoliday(holidays...)
	return nil
}
