package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const platformFile = `host_name = "c-0"
api_addr = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
zones = ["gdansk", "wroclaw"]
[settings.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 60.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 4.0
[settings.resources]
ram_mb = 125.0
sockets = 1500
`

// runCommand runs the program in this process with a platform's and an operators' file.
func runCommand(t *testing.T, operator string, args ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	platform, settings := filepath.Join(dir, "platform.toml"), filepath.Join(dir, "operator.json")
	for path, text := range map[string]string{platform: platformFile, settings: operator} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	root := command()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append(args, "--config", platform, "--operator", settings))
	err := root.Execute()
	return out.String(), err
}

// Settings of zones that make no sense end check, and the start, with one line that names the
// file and the key.
func TestCheckNamesFileAndKey(t *testing.T) {
	window := func(fields string) string {
		return fmt.Sprintf(`{"zone_return": {"windows": [{"name": "bulletins", "time_zone": "Europe/Warsaw", "from": "05:00", "to": "07:00"%s}]}}`, fields)
	}
	for _, c := range []struct{ key, operator string }{
		{"zone_return.windows.0.zones.0: unknown zone", window(`, "zones": ["poznan"]`)},
		{"zone_return.windows.0.time_zone: unknown time zone", strings.Replace(window(""), "Europe/Warsaw", "Europe/Wroclaw", 1)},
		{"zone_return.windows.0: the window never opens", window(`, "days": ["sun"], "calendar": "pl", "on": "workdays"`)},
		{"zone_return.windows.0.on:", window(`, "on": "sometimes"`)},
		{"zone_return.steps.1: ", `{"zone_return": {"steps": [0.5, 0.2]}}`},
		{"zone_return.steps.0:", `{"zone_return": {"steps": [1.5]}}`},
		{"zone_return.steps: a probe, 9 steps", `{"zone_return": {"steps": [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9], "step_s": 10}}`},
		{"zone_return.move_budget:", `{"zone_return": {"move_budget": -1}}`},
		{"zone_return.return_max_s: with hold_down_max_s", `{"zone_return": {"return_max_s": 70}}`},
		{"zone_return.dark_share: ", `{"zone_return": {"suspect_share": 0.9}}`},
		{"zone_return.quiet_s: ", `{"zone_return": {"quiet_s": 20}}`},
		{"zone_return: ", `{"zone_return": {"unknown_setting": 1}}`},
	} {
		for _, args := range [][]string{{"check"}, {}} { // the start fails before it serves
			out, err := runCommand(t, c.operator, args...)
			if err == nil {
				t.Fatalf("%s: accepted: %s", c.key, out)
			}
			if text := err.Error(); !strings.Contains(text, "operator.json: "+c.key) || strings.Contains(text, "\n") {
				t.Errorf("%v: %q does not name %q in one line", args, text, c.key)
			}
		}
	}
}

func TestCheckAcceptsTheExampleFile(t *testing.T) {
	example, err := os.ReadFile("../../deploy/zone-return.json")
	if err != nil {
		t.Fatal(err)
	}
	if out, err := runCommand(t, string(example), "check"); err != nil || out != "settings are in order\n" {
		t.Errorf("%v: %s", err, out)
	}
}

func TestDecisionsAboutZonesThatMakeNoSense(t *testing.T) {
	for want, args := range map[string][]string{
		`unknown zone "poznan"`:  {"zone", "hold", "poznan"},
		"--for: must not be":     {"zone", "hold", "gdansk", "--for", "-1h"},
		"accepts 1 arg(s)":       {"zone", "release"},
		"unknown flag: --for":    {"zone", "release", "gdansk", "--for", "1h"},
		"invalid argument \"x\"": {"zone", "hold", "gdansk", "--for", "x"},
	} {
		if _, err := runCommand(t, "{}", args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", args, err, want)
		}
	}
}

// Operators see what a window means before it opens, also around a change of clock and a
// holiday.
func TestWindowsAreShown(t *testing.T) {
	operator := `{"zone_return": {"windows": [{"name": "bulletins", "time_zone": "Europe/Warsaw", "from": "02:30", "to": "07:00",
		"calendar": "pl", "on": "workdays", "zones": ["wroclaw"]}]}}`
	for at, want := range map[string]string{
		"2026-10-30T12:00:00Z": "Mon 2026-11-02 02:30 CET",  // a weekend in between
		"2026-11-10T12:00:00Z": "Thu 2026-11-12 02:30 CET",  // Independence Day
		"2026-03-27T12:00:00Z": "Mon 2026-03-30 02:30 CEST", // clocks are set forward
	} {
		out, err := runCommand(t, operator, "zone", "windows", "--at", at)
		if err != nil || !strings.Contains(out, want) || !strings.Contains(out, "[wroclaw]") {
			t.Errorf("%s: %v: %s", at, err, out)
		}
	}
	if _, err := runCommand(t, operator, "zone", "windows", "--at", "noon"); err == nil {
		t.Error("accepted a time that is none")
	}
}
