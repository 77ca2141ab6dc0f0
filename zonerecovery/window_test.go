package zonerecovery

import (
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

func mustWindow(t *testing.T, s WindowSettings) *Window {
	t.Helper()
	w, err := s.window("windows.0", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Windows begin and end once, also where the clocks change in between.
func TestWindowsAroundChangesOfClock(t *testing.T) {
	night := WindowSettings{Name: "night", TimeZone: "Europe/Warsaw", From: "02:30", To: "04:00"}
	short := WindowSettings{Name: "short", TimeZone: "Europe/Stockholm", From: "02:15", To: "02:45"}
	over := WindowSettings{Name: "over", TimeZone: "Europe/Warsaw", From: "23:00", To: "02:30"}
	for _, c := range []struct {
		name     string
		settings WindowSettings
		// around is a moment inside; begin and end are in UTC.
		around, begin, end string
	}{
		{"an ordinary night", night, "2026-02-10T02:00", "2026-02-10T01:30", "2026-02-10T03:00"},
		{"clocks set forward over its beginning", night, "2026-03-29T01:10", "2026-03-29T01:00", "2026-03-29T02:00"},
		{"clocks set back before its beginning", night, "2026-10-25T02:00", "2026-10-25T00:30", "2026-10-25T03:00"},
		{"clocks set back in its middle: it stays open", short, "2026-10-25T01:00", "2026-10-25T00:15", "2026-10-25T01:45"},
		{"over midnight, and clocks set forward over its end", over, "2026-03-29T00:30", "2026-03-28T22:00", "2026-03-29T01:00"},
		{"over midnight, and clocks set back: it ends at the later", over, "2026-10-25T01:15", "2026-10-24T21:00", "2026-10-25T01:30"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := mustWindow(t, c.settings)
			at := func(text string) time.Time {
				moment, err := time.Parse("2006-01-02T15:04", text)
				if err != nil {
					t.Fatal(err)
				}
				return moment
			}
			until, open := w.OpenAt("a", at(c.around))
			if !open || !until.Equal(at(c.end)) {
				t.Errorf("open %v until %v, want %s", open, until.UTC(), c.end)
			}
			for moment, want := range map[time.Time]bool{
				at(c.begin).Add(-time.Second): false, at(c.begin): true, at(c.end).Add(-time.Second): true, at(c.end): false,
			} {
				if _, open := w.OpenAt("a", moment); open != want {
					t.Errorf("at %v: open %v", moment, open)
				}
			}
		})
	}
	// A window that the clocks skip whole does not open on that day.
	if until, open := mustWindow(t, short).OpenAt("a", time.Date(2026, 3, 29, 1, 0, 0, 0, time.UTC)); open {
		t.Errorf("open until %v though its times did not come", until)
	}
}

// A slow plain model: away from changes of clock, a window is open exactly when the clock
// on the wall of its place shows a time inside it, on one of its days.
func TestWindowsAgainstWallClock(t *testing.T) {
	settings := WindowSettings{Name: "bulletins", TimeZone: "Europe/Warsaw", From: "05:30", To: "07:45", Days: []string{"mon", "wed", "sat"}}
	w := mustWindow(t, settings)
	place := w.location
	for at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC); at.Year() == 2026; at = at.Add(13 * time.Minute) {
		local := at.In(place)
		day := local.Weekday()
		minutes := local.Hour()*60 + local.Minute()
		want := (day == time.Monday || day == time.Wednesday || day == time.Saturday) && minutes >= 330 && minutes < 465
		if _, open := w.OpenAt("a", at); open != want {
			t.Fatalf("at %v: open %v", local, open)
		}
	}
}

func TestWindowsByCalendarAndZone(t *testing.T) {
	day := func(month time.Month, day int) time.Time { return time.Date(2026, month, day, 9, 30, 0, 0, time.UTC) }
	base := WindowSettings{Name: "w", TimeZone: "Europe/Warsaw", From: "08:00", To: "16:00", Calendar: "pl", Zones: []ids.Zone{"a"}}
	for _, c := range []struct {
		name, on, calendar string
		at                 time.Time
		zone               ids.Zone
		want               bool
	}{
		{"a workday", workdays, "pl", day(time.November, 10), "a", true},
		{"Independence Day is none", workdays, "pl", day(time.November, 11), "a", false},
		{"but in Sweden it is", workdays, "se", day(time.November, 11), "a", true},
		{"Midsummer Eve's Saturday", nonWorkdays, "se", day(time.June, 20), "a", true},
		{"Easter Monday moves", nonWorkdays, "pl", day(time.April, 6), "a", true},
		{"another zone", workdays, "pl", day(time.November, 10), "b", false},
	} {
		s := base
		s.DayKind, s.Calendar = c.on, c.calendar
		if _, open := mustWindow(t, s).OpenAt(c.zone, c.at); open != c.want {
			t.Errorf("%s: open %v", c.name, open)
		}
	}
}

func TestWindowsThatMakeNoSense(t *testing.T) {
	good := WindowSettings{Name: "w", TimeZone: "Europe/Warsaw", From: "05:00", To: "07:00"}
	for want, change := range map[string]func(*WindowSettings){
		"time_zone: unknown time zone":                     func(s *WindowSettings) { s.TimeZone = "Europe/Wroclaw" },
		"time_zone: a name such as":                        func(s *WindowSettings) { s.TimeZone = "Local" },
		"from: \"25:00\" is no time of day":                func(s *WindowSettings) { s.From = "25:00" },
		"to: the window never opens: it ends when":         func(s *WindowSettings) { s.To = "05:00" },
		"days.1: unknown day \"tues\"":                     func(s *WindowSettings) { s.Days = []string{"mon", "tues"} },
		"calendar: unknown calendar":                       func(s *WindowSettings) { s.Calendar = "xx" },
		"calendar: on \"workdays\" needs a calendar":       func(s *WindowSettings) { s.DayKind = workdays },
		"windows.0: the window never opens: no day of the": func(s *WindowSettings) { s.Calendar, s.DayKind, s.Days = "pl", workdays, []string{"sat", "sun"} },
	} {
		s := good
		change(&s)
		if _, err := s.window("windows.0", time.Now()); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
