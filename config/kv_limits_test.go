package config

import (
	"strings"
	"testing"
)

// parseNext parses validPlatform with an additional section, which sets the next limits.
func parseNext(t *testing.T, section string) (*Platform, error) {
	t.Helper()
	return parseChanged(t, "[settings.cloud]", section+"\n[settings.cloud]")
}

// A limit that will shrink applies before the change, since the time of the change is not known.
func TestStrictestLimits(t *testing.T) {
	current := Limits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 32}
	for _, c := range []struct {
		name, section string
		want          Limits
	}{
		{"no section", "", current},
		{"empty section", "[settings.state.next]", current},
		{"smaller values", "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 10", Limits{RPS: 200, WriteRPS: 80, ValueKB: 2, TxnOps: 10}},
		{"smaller and larger rates", "[settings.state.next]\nwrite_rps = 90.0\nrps = 150.0\nfuture = 1",
			Limits{RPS: 150, WriteRPS: 80, ValueKB: 8, TxnOps: 32}},
	} {
		p, err := parseNext(t, c.section)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if got := p.Settings.KV.Strictest(); got != c.want {
			t.Errorf("%s: limits %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Next limits that are too small to store records are rejected, and so is a limit that is NaN.
func TestInvalidNextLimits(t *testing.T) {
	for _, c := range []struct{ key, line string }{
		{"settings.state.next.value_kb", "value_kb = 0.0"},
		{"settings.state.next.txn_ops", "txn_ops = 1"},
		{"settings.state.next.write_rps", "write_rps = -1.0"},
		{"settings.state.next.rps", "rps = nan"},
	} {
		_, err := parseNext(t, "[settings.state.next]\n"+c.line)
		wantSettingError(t, err, c.key)
	}
	if _, err := parseNext(t, "[settings.state.next]\n"+`txn_ops = "few"`); err == nil || !strings.Contains(err.Error(), "line") {
		t.Errorf("text for a number: error %v, want one that names the line", err)
	}
}
