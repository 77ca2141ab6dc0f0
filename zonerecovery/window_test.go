package zonerecovery

import (
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

// utcTime parses a time in UTC such as 2026-02-10T02:00.
func utcTime(t *testing.T, text string) time.Time {
	t.Helper()
	parsed, err := time.Parse("2006-01-02T15:04", text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// Windows that contain the times at which clocks are set back or forward.
var (
	nightWindow    = WindowSettings{Name: "night", TimeZone: "Europe/Warsaw", From: "02:30", To: "04:00"}
	shortWindow    = WindowSettings{Name: "short", TimeZone: "Europe/Stockholm", From: "02:15", To: "02:45"}
	midnightWindow = WindowSettings{Name: "over", TimeZone: "Europe/Warsaw", From: "23:00", To: "02:30"}
)

// A window begins and ends once, even if the clocks change in or next to it.
func TestWindowsAroundClockChanges(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings WindowSettings
		// inside is a time in the window. begin and end are the limits of the window. All are in
		// UTC.
		inside, begin, end string
	}{
		{"an ordinary night", nightWindow, "2026-02-10T02:00", "2026-02-10T01:30", "2026-02-10T03:00"},
		{"clocks set forward over its beginning", nightWindow, "2026-03-29T01:10", "2026-03-29T01:00", "2026-03-29T02:00"},
		{"clocks set back before its beginning", nightWindow, "2026-10-25T02:00", "2026-10-25T00:30", "2026-10-25T03:00"},
		{"clocks set back in its middle: it stays open", shortWindow, "2026-10-25T01:00", "2026-10-25T00:15", "2026-10-25T01:45"},
		{"over midnight, and clocks set forward over its end", midnightWindow, "2026-03-29T00:30", "2026-03-28T22:00", "2026-03-29T01:00"},
		{"over midnight, and clocks set back: it ends at the later", midnightWindow, "2026-10-25T01:15", "2026-10-24T21:00", "2026-10-25T01:30"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := mustWindow(t, c.settings)
			begin, end := utcTime(t, c.begin), utcTime(t, c.end)
			until, open := w.OpenAt("a", utcTime(t, c.inside))
			if !open || !until.Equal(end) {
				t.Errorf("open %v until %v, want %s", open, until.UTC(), c.end)
			}
			for at, want := range map[time.Time]bool{begin.Add(-time.Second): false, begin: true, end.Add(-time.Second): true, end: false} {
				if _, open := w.OpenAt("a", at); open != want {
					t.Errorf("at %v: open %v", at, open)
				}
			}
		})
	}
}

// A window whose times are all skipped by a clock change does not open on that day.
func TestWindowSkippedByClockChange(t *testing.T) {
	if until, open := mustWindow(t, shortWindow).OpenAt("a", utcTime(t, "2026-03-29T01:00")); open {
		t.Errorf("open until %v although the clocks skipped its times", until)
	}
}

// Apart from clock changes, a window is open exactly when local clocks show a time in it, on one of
// its days.
func TestWindowsAgainstWallClock(t *testing.T) {
	settings := WindowSettings{Name: "bulletins", TimeZone: "Europe/Warsaw", From: "05:30", To: "07:45", Days: []string{"mon", "wed", "sat"}}
	w := mustWindow(t, settings)
	for at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC); at.Year() == 2026; at = at.Add(13 * time.Minute) {
		local := at.In(w.location)
		day := local.Weekday()
		minutes := local.Hour()*60 + local.Minute()
		want := (day == time.Monday || day == time.Wednesday || day == time.Saturday) && minutes >= 330 && minutes < 465
		if _, open := w.OpenAt("a", at); open != want {
			t.Fatalf("at %v: open %v", local, open)
		}
	}
}

// A window follows the holidays of its calendar, and applies only to its zones.
func TestWindowsByCalendarAndZone(t *testing.T) {
	morning := func(month time.Month, day int) time.Time { return time.Date(2026, month, day, 9, 30, 0, 0, time.UTC) }
	for _, c := range []struct {
		name, dayKind, calendar string
		at                      time.Time
		zone                    ids.Zone
		want                    bool
	}{
		{"a workday", workdays, "pl", morning(time.November, 10), "a", true},
		{"Independence Day is none", workdays, "pl", morning(time.November, 11), "a", false},
		{"but in Sweden it is", workdays, "se", morning(time.November, 11), "a", true},
		{"Midsummer Eve's Saturday", nonWorkdays, "se", morning(time.June, 20), "a", true},
		{"Easter Monday moves", nonWorkdays, "pl", morning(time.April, 6), "a", true},
		{"another zone", workdays, "pl", morning(time.November, 10), "b", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := mustWindow(t, WindowSettings{Name: "w", TimeZone: "Europe/Warsaw", From: "08:00", To: "16:00", Zones: []ids.Zone{"a"},
				DayKind: c.dayKind, Calendar: c.calendar})
			if _, open := w.OpenAt(c.zone, c.at); open != c.want {
				t.Errorf("open %v", open)
			}
		})
	}
}
