package config

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// Team holds a team's nominal quota (CPUs and GPUs), and the most that it may use together with
// what it borrows (CPUsMax and GPUsMax, see Limited).
type Team struct {
	Name    ids.Team `toml:"name"`
	CPUs    float64  `toml:"cpus"`
	CPUsMax float64  `toml:"cpus_max"`
	GPUs    float64  `toml:"gpus"`
	GPUsMax float64  `toml:"gpus_max"`
}

// Limited reports whether the team's use is limited. A team whose maxima are both 0 has no
// limit, and may borrow all quota that is idle. If only one maximum is 0, the team may use
// nothing of that resource.
func (t Team) Limited() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// checkTeams checks that each team has a unique name and a valid quota.
func (s *Settings) checkTeams() error {
	seen := map[ids.Team]bool{}
	for i, team := range s.Teams {
		key := fmt.Sprintf("settings.teams[%d]", i)
		switch {
		case team.Name == "":
			return invalidSetting(key+".name", "missing")
		case seen[team.Name]:
			return invalidSetting(key+".name", "%q is already the name of another team", team.Name)
		}
		if err := team.checkQuota(key); err != nil {
			return err
		}
		seen[team.Name] = true
	}
	return nil
}

// checkQuota checks the amounts of a team. key is the path of the team in the file.
func (t Team) checkQuota(key string) error {
	for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
		if !isAmount(amount) {
			return invalidSetting(key, "quota of team %q: each amount must be a finite number of at least 0", t.Name)
		}
	}
	if t.Limited() && (t.CPUs > t.CPUsMax || t.GPUs > t.GPUsMax) {
		return invalidSetting(key, "quota of team %q: cpus must not exceed cpus_max, and gpus must not exceed gpus_max", t.Name)
	}
	return nil
}
