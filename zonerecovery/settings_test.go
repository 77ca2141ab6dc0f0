package zonerecovery

import (
	"errors"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

// validSettings returns settings with a value for each one that is checked against others.
func validSettings() Settings {
	return Settings{
		SuspectFraction:     0.5,
		OutageFraction:      0.8,
		HoldDownS:           4,
		MaxHoldDownS:        30,
		MaxRecoveryS:        40,
		MaxWaitS:            90,
		Steps:               []float64{0.2, 0.5},
		MinStepTimeS:        4,
		ForceFailbackAfterS: 60,
		QuietPeriodS:        600,
		FailbackBudget:      1,
		RestorePerMinute:    6,
		RestoreAfterS:       60,
	}
}

// Settings that contradict each other are refused with the key of one of them.
func TestContradictorySettings(t *testing.T) {
	for _, c := range []struct {
		name, key string
		change    func(*Settings)
	}{
		{"none", "", func(*Settings) {}},
		{"outage before suspicion", "dark_share", func(s *Settings) { s.OutageFraction = 0.4 }},
		{"longest hold-down below the first", "hold_down_max_s", func(s *Settings) { s.MaxHoldDownS = 3 }},
		{"work is held back for too long", "return_max_s", func(s *Settings) { s.MaxRecoveryS = 61 }},
		{"steps do not fit into a recovery", "steps", func(s *Settings) { s.MinStepTimeS = 11 }},
		{"jobs wait for too long", "patience_s", func(s *Settings) { s.ForceFailbackAfterS = 91 }},
		{"quiet period below the longest wait", "quiet_s", func(s *Settings) { s.QuietPeriodS = 89 }},
		{"moves without a budget", "restore_moves_per_minute", func(s *Settings) { s.FailbackBudget = 0 }},
		{"no moves and no budget", "", func(s *Settings) { s.FailbackBudget, s.RestorePerMinute = 0, 0 }},
		{"moves after the incident", "restore_after_s", func(s *Settings) { s.RestoreAfterS = 600 }},
		{"steps that do not ascend", "steps.1", func(s *Settings) { s.Steps = []float64{0.5, 0.5} }},
		{"an invalid window", "windows.0.time_zone", func(s *Settings) { s.Windows = []WindowSettings{{Name: "w"}} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := validSettings()
			c.change(&settings)
			_, err := settings.Policy()
			wantSettingError(t, err, c.key)
		})
	}
}

// wantSettingError checks that an error names a setting. An empty key means no error.
func wantSettingError(t *testing.T, err error, key string) {
	t.Helper()
	if key == "" {
		if err != nil {
			t.Errorf("error %v, want none", err)
		}
		return
	}
	var invalid *SettingError
	if !errors.As(err, &invalid) || invalid.Key != key {
		t.Errorf("error %v, want one with key %s", err, key)
	}
}

// A window may name only zones that exist.
func TestWindowsOfUnknownZones(t *testing.T) {
	settings := Settings{Windows: []WindowSettings{{Zones: []ids.Zone{"a"}}, {Zones: []ids.Zone{"a", "b"}}}}
	wantSettingError(t, settings.CheckZones([]ids.Zone{"a", "b"}), "")
	wantSettingError(t, settings.CheckZones([]ids.Zone{"a"}), "windows.1.zones.1")
}
