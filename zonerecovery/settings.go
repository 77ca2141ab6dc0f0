package zonerecovery

import (
	"fmt"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Settings are the operators' settings of the subsystem, the section zone_return of their
// file. The schema checks each value by itself, Policy what they say together.
type Settings struct {
	Enabled           bool             `json:"enabled"`
	SuspectShare      float64          `json:"suspect_share"`
	DarkShare         float64          `json:"dark_share"`
	DarkAfterS        float64          `json:"dark_after_s"`
	RecoverS          float64          `json:"recover_s"`
	MinMachines       int              `json:"min_machines"`
	HeardShare        float64          `json:"heard_share"`
	RetryS            float64          `json:"retry_s"`
	HoldDownS         float64          `json:"hold_down_s"`
	HoldDownFactor    float64          `json:"hold_down_factor"`
	HoldDownMaxS      float64          `json:"hold_down_max_s"`
	QuietS            float64          `json:"quiet_s"`
	ProbeTasks        int              `json:"probe_tasks"`
	ProbeMaxRunS      float64          `json:"probe_max_run_s"`
	Steps             []float64        `json:"steps"`
	StepS             float64          `json:"step_s"`
	StepSuccesses     int              `json:"step_successes"`
	FailureTolerance  float64          `json:"failure_tolerance"`
	SlowStartFactor   float64          `json:"slow_start_factor"`
	StartsPerMachine  float64          `json:"starts_per_machine"`
	FetchesPerMachine float64          `json:"fetches_per_machine"`
	ReturnMaxS        float64          `json:"return_max_s"`
	HoldLimitS        float64          `json:"hold_limit_s"`
	MoveBudget        int              `json:"move_budget"`
	PatienceS         float64          `json:"patience_s"`
	RestorePerMinute  float64          `json:"restore_moves_per_minute"`
	RestoreAfterS     float64          `json:"restore_after_s"`
	RestoreBudget     int              `json:"restore_budget"`
	Windows           []WindowSettings `json:"windows"`
}

// SettingError is a setting that makes no sense, by itself or beside others.
type SettingError struct {
	// Key is the setting's place below zone_return.
	Key, Problem string
}

// Error names the setting and what is wrong with it.
func (e *SettingError) Error() string { return fmt.Sprintf("zone_return.%s: %s", e.Key, e.Problem) }

// settingError makes a SettingError.
func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Policy checks what the settings say together, and turns them into a policy.
func (s *Settings) Policy() (*Policy, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	p := &Policy{
		SuspectShare: s.SuspectShare, DarkShare: s.DarkShare,
		DarkAfter: monotonic.Seconds(s.DarkAfterS), RecoverAfter: monotonic.Seconds(s.RecoverS), MinMachines: s.MinMachines,
		HeardShare: s.HeardShare, Retry: monotonic.Seconds(s.RetryS),
		HoldDown: monotonic.Seconds(s.HoldDownS), HoldDownMax: monotonic.Seconds(s.HoldDownMaxS), HoldDownFactor: s.HoldDownFactor,
		Quiet: monotonic.Seconds(s.QuietS), ProbeTasks: s.ProbeTasks, ProbeMaxRun: monotonic.Seconds(s.ProbeMaxRunS),
		Steps: slices.Clone(s.Steps), StepTime: monotonic.Seconds(s.StepS), StepSuccesses: s.StepSuccesses,
		FailureTolerance: s.FailureTolerance, SlowStartFactor: s.SlowStartFactor,
		StartsPerMachine: s.StartsPerMachine, FetchesPerMachine: s.FetchesPerMachine,
		ReturnMax: monotonic.Seconds(s.ReturnMaxS), MoveBudget: s.MoveBudget, Patience: monotonic.Seconds(s.PatienceS),
		Restore: RestorePolicy{MovesPerMinute: s.RestorePerMinute, After: monotonic.Seconds(s.RestoreAfterS), Budget: s.RestoreBudget},
	}
	for i := range s.Windows {
		w, err := s.Windows[i].window(fmt.Sprintf("windows.%d", i))
		if err != nil {
			return nil, err
		}
		p.Windows = append(p.Windows, w)
	}
	return p, nil
}

// check finds settings that contradict one another.
func (s *Settings) check() error {
	switch {
	case s.DarkShare < s.SuspectShare:
		return settingError("dark_share", "%g is below suspect_share, %g", s.DarkShare, s.SuspectShare)
	case s.HoldDownMaxS < s.HoldDownS:
		return settingError("hold_down_max_s", "%g is below hold_down_s, %g", s.HoldDownMaxS, s.HoldDownS)
	case s.HoldDownMaxS+s.ReturnMaxS > s.HoldLimitS:
		return settingError("return_max_s", "with hold_down_max_s it comes to %g s, more than hold_limit_s, %g: work would wait beside room for too long", s.HoldDownMaxS+s.ReturnMaxS, s.HoldLimitS)
	case float64(len(s.Steps)+2)*s.StepS > s.ReturnMaxS:
		return settingError("steps", "a probe, %d steps and the full share, each of %g s, do not fit into return_max_s, %g", len(s.Steps), s.StepS, s.ReturnMaxS)
	case s.PatienceS > s.HoldLimitS:
		return settingError("patience_s", "%g is above hold_limit_s, %g", s.PatienceS, s.HoldLimitS)
	case s.QuietS < s.HoldLimitS:
		return settingError("quiet_s", "%g is below hold_limit_s, %g: flaps would be forgotten before they are over", s.QuietS, s.HoldLimitS)
	}
	if s.RestorePerMinute > 0 && s.MoveBudget == 0 {
		return settingError("restore_moves_per_minute", "%g moves replicas back, which move_budget 0 forbids", s.RestorePerMinute)
	}
	if s.RestorePerMinute > 0 && s.RestoreAfterS >= s.QuietS {
		return settingError("restore_after_s", "%g is not below quiet_s, %g: the incident would be over before", s.RestoreAfterS, s.QuietS)
	}
	for i := 1; i < len(s.Steps); i++ {
		if s.Steps[i] <= s.Steps[i-1] {
			return settingError(fmt.Sprintf("steps.%d", i), "%g is not above the step before, %g", s.Steps[i], s.Steps[i-1])
		}
	}
	return nil
}

// CheckZones finds a window that names a zone which does not exist.
func (s *Settings) CheckZones(known []ids.Zone) error {
	for i := range s.Windows {
		for k, zone := range s.Windows[i].Zones {
			if !slices.Contains(known, zone) {
				return settingError(fmt.Sprintf("windows.%d.zones.%d", i, k), "unknown zone %q, the platform's are %v", zone, known)
			}
		}
	}
	return nil
}
