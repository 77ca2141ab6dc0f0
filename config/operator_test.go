package config

import (
	"errors"
	"strings"
	"testing"
)

// defaultOperator returns the default settings.
func defaultOperator(t *testing.T) *Operator {
	t.Helper()
	operator, err := ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	return operator
}

func TestDefaultsMatchTheSchema(t *testing.T) {
	if _, err := ParseOperator(operatorDefault); err != nil {
		t.Errorf("defaults rejected: %v", err)
	}
	if warnings := defaultOperator(t).Warnings; len(warnings) > 0 {
		t.Errorf("the defaults cause warnings: %v", warnings)
	}
}

// A file that sets one setting of a section keeps the defaults of the others.
func TestOperatorSettingsOverDefaults(t *testing.T) {
	defaults := defaultOperator(t)
	got, err := ParseOperator([]byte(`{"quota":{"lending_limits":{"red":2}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Quota.LendingLimits["red"] != 2 {
		t.Errorf("lending limits %v", got.Quota.LendingLimits)
	}
	if got.Leadership != defaults.Leadership || got.Quota.SliceTasks != defaults.Quota.SliceTasks {
		t.Errorf("read %+v, want the defaults %+v for all other settings", got, defaults)
	}
}

// Files with former names are still valid after an upgrade, and cause a warning for each name.
func TestFormerNames(t *testing.T) {
	got, err := ParseOperator([]byte(`{"quota":{"keep_after_s":7,"keep_for_s":8,"pass_over":9}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Quota.ReserveAfterS != 7 || got.Quota.ReserveForS != 8 || got.Quota.MaxSkippedJobs != 9 {
		t.Errorf("read %+v", got.Quota)
	}
	if len(got.Warnings) != 3 {
		t.Errorf("warnings %q", got.Warnings)
	}
}

func TestInvalidOperatorSettings(t *testing.T) {
	for _, c := range []struct{ name, document, key string }{
		{"former and current name", `{"quota":{"keep_for_s":8,"reserve_for_s":8}}`, "quota.keep_for_s"},
		{"text under a former name", `{"quota":{"keep_for_s":"long"}}`, "quota.reserve_for_s"},
		{"below the minimum", `{"leadership":{"lease_ms":5}}`, "leadership.lease_ms"},
		{"text for a number", `{"leadership":{"lease_ms":"x"}}`, "leadership.lease_ms"},
		{"negative limit of a team", `{"quota":{"lending_limits":{"red":-1}}}`, "quota.lending_limits.red"},
		{"negative maximum", `{"fleet":{"idle_s":30,"max_machines":-1}}`, "fleet.max_machines"},
		{"unknown section", `{"surprise":1}`, "(top)"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator([]byte(c.document))
			wantSettingError(t, err, c.key)
		})
	}
}

func TestUnknownSectionIsNamed(t *testing.T) {
	if _, err := ParseOperator([]byte(`{"surprise":1}`)); err == nil || !strings.Contains(err.Error(), "surprise") {
		t.Errorf("error %v, want one that names the section", err)
	}
}

func TestOperatorSettingsThatAreNotJSON(t *testing.T) {
	_, err := ParseOperator([]byte(`{`))
	if err == nil || !strings.Contains(err.Error(), "JSON") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that names JSON", err)
	}
	var settingErr *SettingError
	if errors.As(err, &settingErr) {
		t.Errorf("error %v names a setting, want a syntax error", err)
	}
}
