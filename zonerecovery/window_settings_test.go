package zonerecovery

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// Invalid settings are refused with an error of one line that holds their key and the problem.
func TestInvalidWindowSettings(t *testing.T) {
	for _, c := range []struct {
		name, want string
		change     func(*WindowSettings)
	}{
		{"no such time zone", "time_zone: unknown time zone", func(s *WindowSettings) { s.TimeZone = "Europe/Wroclaw" }},
		{"the controller's time zone", "time_zone: a name such as", func(s *WindowSettings) { s.TimeZone = "Local" }},
		{"no time of day", "from: \"25:00\" is no time of day", func(s *WindowSettings) { s.From = "25:00" }},
		{"an empty window", "to: the window never opens: it ends when", func(s *WindowSettings) { s.To = "05:00" }},
		{"no such day", "days.1: unknown day \"tues\"", func(s *WindowSettings) { s.Days = []string{"mon", "tues"} }},
		{"no such calendar", "calendar: unknown calendar", func(s *WindowSettings) { s.Calendar = "xx" }},
		{"workdays of no calendar", "calendar: on \"workdays\" needs a calendar", func(s *WindowSettings) { s.DayKind = workdays }},
		{"workdays at weekends", "windows.0: the window never opens: no day of the", func(s *WindowSettings) {
			s.Calendar, s.DayKind, s.Days = "pl", workdays, []string{"sat", "sun"}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := WindowSettings{Name: "w", TimeZone: "Europe/Warsaw", From: "05:00", To: "07:00"}
			c.change(&settings)
			_, err := settings.window("windows.0", time.Now())
			var invalid *SettingError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
