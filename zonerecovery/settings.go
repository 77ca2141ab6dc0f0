package zonerecovery

import (
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Settings holds the operators' settings, the section zone_return of their file. The suffix S
// stands for seconds. The schema checks each value by itself, and the method Policy checks them
// together. The fields of type Policy document what each setting means.
type Settings struct {
	Enabled              bool             `json:"enabled"`
	SuspectFraction      float64          `json:"suspect_share"`
	OutageFraction       float64          `json:"dark_share"`
	OutageAfterS         float64          `json:"dark_after_s"`
	ClearSuspicionAfterS float64          `json:"recover_s"`
	MinMachines          int              `json:"min_machines"`
	ReachableFraction    float64          `json:"heard_share"`
	RetryAfterS          float64          `json:"retry_s"`
	HoldDownS            float64          `json:"hold_down_s"`
	HoldDownFactor       float64          `json:"hold_down_factor"`
	MaxHoldDownS         float64          `json:"hold_down_max_s"`
	QuietPeriodS         float64          `json:"quiet_s"`
	ProbeTasks           int              `json:"probe_tasks"`
	MaxProbeRunS         float64          `json:"probe_max_run_s"`
	Steps                []float64        `json:"steps"`
	MinStepTimeS         float64          `json:"step_s"`
	MinStepSuccesses     int              `json:"step_successes"`
	FailureTolerance     float64          `json:"failure_tolerance"`
	SlowStartFactor      float64          `json:"slow_start_factor"`
	StartsPerMachine     float64          `json:"starts_per_machine"`
	FetchesPerMachine    float64          `json:"fetches_per_machine"`
	MaxRecoveryS         float64          `json:"return_max_s"`
	MaxWaitS             float64          `json:"hold_limit_s"`
	FailbackBudget       int              `json:"move_budget"`
	ForceFailbackAfterS  float64          `json:"patience_s"`
	RestorePerMinute     float64          `json:"restore_moves_per_minute"`
	RestoreAfterS        float64          `json:"restore_after_s"`
	RestoreBudget        int              `json:"restore_budget"`
	Windows              []WindowSettings `json:"windows"`
}

// SettingError represents an invalid setting, or one that contradicts another.
type SettingError struct {
	// Key is the path of the setting below zone_return.
	Key, Problem string
}

// Error returns a message with the key and the problem.
func (e *SettingError) Error() string { return fmt.Sprintf("zone_return.%s: %s", e.Key, e.Problem) }

// settingError returns a *SettingError with a formatted problem.
func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Policy validates the settings and converts them to a policy. The error is a *SettingError.
func (s *Settings) Policy() (*Policy, error) {
	for _, check := range []func() error{s.checkOutages, s.checkLimits, s.checkRestore, s.checkSteps} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	policy := s.policyWithoutWindows()
	now := time.Now()
	for i := range s.Windows {
		window, err := s.Windows[i].window(fmt.Sprintf("windows.%d", i), now)
		if err != nil {
			return nil, err
		}
		policy.Windows = append(policy.Windows, window)
	}
	return policy, nil
}

// policyWithoutWindows converts all settings except the windows.
func (s *Settings) policyWithoutWindows() *Policy {
	return &Policy{
		SuspectFraction:     s.SuspectFraction,
		OutageFraction:      s.OutageFraction,
		OutageAfter:         monotonic.Seconds(s.OutageAfterS),
		ClearSuspicionAfter: monotonic.Seconds(s.ClearSuspicionAfterS),
		MinMachines:         s.MinMachines,
		ReachableFraction:   s.ReachableFraction,
		RetryAfter:          monotonic.Seconds(s.RetryAfterS),
		HoldDown:            monotonic.Seconds(s.HoldDownS),
		MaxHoldDown:         monotonic.Seconds(s.MaxHoldDownS),
		HoldDownFactor:      s.HoldDownFactor,
		QuietPeriod:         monotonic.Seconds(s.QuietPeriodS),
		ProbeTasks:          s.ProbeTasks,
		MaxProbeRun:         monotonic.Seconds(s.MaxProbeRunS),
		Steps:               slices.Clone(s.Steps),
		MinStepTime:         monotonic.Seconds(s.MinStepTimeS),
		MinStepSuccesses:    s.MinStepSuccesses,
		FailureTolerance:    s.FailureTolerance,
		SlowStartFactor:     s.SlowStartFactor,
		StartsPerMachine:    s.StartsPerMachine,
		FetchesPerMachine:   s.FetchesPerMachine,
		MaxRecovery:         monotonic.Seconds(s.MaxRecoveryS),
		FailbackBudget:      s.FailbackBudget,
		ForceFailbackAfter:  monotonic.Seconds(s.ForceFailbackAfterS),
		Restore: RestorePolicy{
			MovesPerMinute: s.RestorePerMinute,
			After:          monotonic.Seconds(s.RestoreAfterS),
			Budget:         s.RestoreBudget,
		},
	}
}

// checkOutages checks the settings of outage detection and hold-downs.
func (s *Settings) checkOutages() error {
	if s.OutageFraction < s.SuspectFraction {
		return settingError("dark_share", "%g is below suspect_share, %g", s.OutageFraction, s.SuspectFraction)
	}
	if s.MaxHoldDownS < s.HoldDownS {
		return settingError("hold_down_max_s", "%g is below hold_down_s, %g", s.MaxHoldDownS, s.HoldDownS)
	}
	return nil
}

// checkLimits checks that no work is held back for longer than hold_limit_s.
func (s *Settings) checkLimits() error {
	// The probe and the last step, with the full limits, are additional to the configured steps.
	steps := float64(len(s.Steps) + 2)
	switch {
	case s.MaxHoldDownS+s.MaxRecoveryS > s.MaxWaitS:
		return settingError("return_max_s", "with hold_down_max_s it comes to %g s, more than hold_limit_s, %g: work would wait too long although there is free capacity", s.MaxHoldDownS+s.MaxRecoveryS, s.MaxWaitS)
	case steps*s.MinStepTimeS > s.MaxRecoveryS:
		return settingError("steps", "a probe, %d steps and a last step with the full limits, each of %g s, take longer than return_max_s, %g", len(s.Steps), s.MinStepTimeS, s.MaxRecoveryS)
	case s.ForceFailbackAfterS > s.MaxWaitS:
		return settingError("patience_s", "%g is above hold_limit_s, %g", s.ForceFailbackAfterS, s.MaxWaitS)
	case s.QuietPeriodS < s.MaxWaitS:
		return settingError("quiet_s", "%g is below hold_limit_s, %g: the incident of a flapping zone would end while it still flaps", s.QuietPeriodS, s.MaxWaitS)
	}
	return nil
}

// checkRestore checks that the settings let replicas be moved back if that is turned on.
func (s *Settings) checkRestore() error {
	if s.RestorePerMinute <= 0 {
		return nil
	}
	if s.FailbackBudget == 0 {
		return settingError("restore_moves_per_minute", "%g moves replicas back, but move_budget is 0", s.RestorePerMinute)
	}
	if s.RestoreAfterS >= s.QuietPeriodS {
		return settingError("restore_after_s", "%g is not below quiet_s, %g: the incident would end before any replica is moved back", s.RestoreAfterS, s.QuietPeriodS)
	}
	return nil
}

// checkSteps checks that the fractions of the steps ascend.
func (s *Settings) checkSteps() error {
	for i := 1; i < len(s.Steps); i++ {
		if s.Steps[i] <= s.Steps[i-1] {
			return settingError(fmt.Sprintf("steps.%d", i), "%g is not above the previous step, %g", s.Steps[i], s.Steps[i-1])
		}
	}
	return nil
}

// CheckZones checks that windows name only known zones. The error is a *SettingError.
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
