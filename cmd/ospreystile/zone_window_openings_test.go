package main

import (
	"strings"
	"testing"
)

// windowsOnWorkdays holds operators' settings with a window of one zone that opens on Polish workdays.
const windowsOnWorkdays = `{"zone_return": {"windows": [{"name": "bulletins", "time_zone": "Europe/Warsaw", "from": "02:30", "to": "07:00",
	"calendar": "pl", "on": "workdays", "zones": ["wroclaw"]}]}}`

// The shown openings skip weekends and holidays, and follow daylight saving time.
func TestWindowOpenings(t *testing.T) {
	for _, c := range []struct{ name, at, want string }{
		{"after a weekend", "2026-10-30T12:00:00Z", "Mon 2026-11-02 02:30 CET"},
		{"after Independence Day", "2026-11-10T12:00:00Z", "Thu 2026-11-12 02:30 CET"},
		{"after clocks are set forward", "2026-03-27T12:00:00Z", "Mon 2026-03-30 02:30 CEST"},
	} {
		out, err := runCommand(t, windowsOnWorkdays, "zone", "windows", "--at", c.at)
		if err != nil || !strings.Contains(out, c.want) || !strings.Contains(out, "[wroclaw]") {
			t.Errorf("%s: error %v, output %s", c.name, err, out)
		}
	}
}

func TestWindowOpeningsFromAnInvalidTime(t *testing.T) {
	if _, err := runCommand(t, windowsOnWorkdays, "zone", "windows", "--at", "noon"); err == nil {
		t.Error("a text that is not a time was accepted")
	}
}
