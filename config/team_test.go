package config

import "testing"

// A team without nominal quota has 0 for its quota and its maxima. This means that it has no limit:
// with a limit of 0 each of its jobs would be rejected.
func TestTeamLimited(t *testing.T) {
	for _, c := range []struct {
		name, settings string
		limited        bool
	}{
		{"all zero", "cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0", false},
		{"quota alone", "cpus = 4.0\ncpus_max = 0.0", false},
		{"maximum of CPUs alone", "cpus = 0.0\ncpus_max = 8.0", true},
		{"maximum of GPUs alone", "gpus = 0.0\ngpus_max = 1.0", true},
	} {
		p, err := parseChanged(t, "cpus = 4.0\ncpus_max = 8.0", c.settings)
		if err != nil || p.Settings.Teams[0].Limited() != c.limited {
			t.Errorf("%s: %+v, %v", c.name, p, err)
		}
	}
}
