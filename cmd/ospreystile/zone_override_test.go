package main

import (
	"strings"
	"testing"
)

// An invalid override fails before it is sent to the leader.
func TestInvalidOverrides(t *testing.T) {
	for _, c := range []struct {
		name, problem string
		args          []string
	}{
		{"unknown zone", `unknown zone "poznan"`, []string{"zone", "hold", "poznan"}},
		{"negative time", "--for: must not be", []string{"zone", "hold", "gdansk", "--for", "-1h"}},
		{"time that is not a duration", "invalid argument \"x\"", []string{"zone", "hold", "gdansk", "--for", "x"}},
		{"no zone", "accepts 1 arg(s)", []string{"zone", "release"}},
		{"release with a time", "unknown flag: --for", []string{"zone", "release", "gdansk", "--for", "1h"}},
	} {
		if _, err := runCommand(t, "{}", c.args...); err == nil || !strings.Contains(err.Error(), c.problem) {
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.problem)
		}
	}
}
