package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// windowSettings returns operators' settings with one window, which has the given further fields.
func windowSettings(fields string) string {
	return fmt.Sprintf(`{"zone_return": {"windows": [{"name": "bulletins", "time_zone": "Europe/Warsaw", "from": "05:00", "to": "07:00"%s}]}}`, fields)
}

// Invalid settings of zones make both check and the start of a controller fail with one line that
// names the file and the key. A controller must not serve with them.
func TestInvalidSettingsNameFileAndKey(t *testing.T) {
	for _, c := range []struct{ problem, operator string }{
		{"zone_return.windows.0.zones.0: unknown zone", windowSettings(`, "zones": ["poznan"]`)},
		{"zone_return.windows.0.time_zone: unknown time zone", strings.Replace(windowSettings(""), "Europe/Warsaw", "Europe/Wroclaw", 1)},
		{"zone_return.windows.0: the window never opens", windowSettings(`, "days": ["sun"], "calendar": "pl", "on": "workdays"`)},
		{"zone_return.windows.0.on:", windowSettings(`, "on": "sometimes"`)},
		{"zone_return.steps.1: ", `{"zone_return": {"steps": [0.5, 0.2]}}`},
		{"zone_return.steps.0:", `{"zone_return": {"steps": [1.5]}}`},
		{"zone_return.steps: a probe, 9 steps", `{"zone_return": {"steps": [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9], "step_s": 10}}`},
		{"zone_return.move_budget:", `{"zone_return": {"move_budget": -1}}`},
		{"zone_return.return_max_s: with hold_down_max_s", `{"zone_return": {"return_max_s": 70}}`},
		{"zone_return.dark_share: ", `{"zone_return": {"suspect_share": 0.9}}`},
		{"zone_return.quiet_s: ", `{"zone_return": {"quiet_s": 20}}`},
		{"zone_return: ", `{"zone_return": {"unknown_setting": 1}}`},
	} {
		for name, args := range map[string][]string{"check": {"check"}, "start": {}} {
			out, err := runCommand(t, c.operator, args...)
			if err == nil {
				t.Fatalf("%s: invalid settings %s accepted: %s", name, c.operator, out)
			}
			if text := err.Error(); !strings.Contains(text, "operator.json: "+c.problem) || strings.Contains(text, "\n") {
				t.Errorf("%s: error %q, want one line with %q", name, text, c.problem)
			}
		}
	}
}

// The example file of operators' settings must be valid.
func TestCheckAcceptsTheExampleFile(t *testing.T) {
	example, err := os.ReadFile("../../deploy/zone-return.json")
	if err != nil {
		t.Fatal(err)
	}
	if out, err := runCommand(t, string(example), "check"); err != nil || out != "settings are in order\n" {
		t.Errorf("%v: %s", err, out)
	}
}
