package config

import (
	"math"

	"ospreystile.example/ospreystile/ids"
)

// Settings holds the part of the platform's file that is the same for all controllers.
type Settings struct {
	InitialSize int        `toml:"initial_size"`
	Zones       []ids.Zone `toml:"zones"`
	// SkewMS bounds how far a controller's wall clock is from the true time.
	SkewMS     float64                 `toml:"skew_ms"`
	Teams      []Team                  `toml:"teams"`
	Objectives []ServiceLevelObjective `toml:"objectives"`
	Workers    WorkerSettings          `toml:"workers"`
	KV         KVLimits                `toml:"state"`
	Cloud      CloudSettings           `toml:"cloud"`
	Resources  Resources               `toml:"resources"`
}

// ServiceLevelObjective holds one of the users' objectives for the start or the end of jobs. Share
// is the fraction of the jobs of a class that must meet it.
type ServiceLevelObjective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Times   float64 `toml:"times"`
	Share   float64 `toml:"share"`
}

// WorkerSettings holds the interval, lease and deadline of the protocol with workers.
type WorkerSettings struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	// LeaseS is how long a worker keeps its tasks after its last heartbeat that was answered.
	LeaseS float64 `toml:"lease_s"`
	// CancelDeadlineS is the time after a cancellation within which all tasks of the job must
	// have ended.
	CancelDeadlineS float64 `toml:"cancel_s"`
}

// CloudSettings holds the request limit of the cloud and the age of its machine list.
type CloudSettings struct {
	RPS float64 `toml:"rps"`
	// ListLagS is how old the cloud's machine list usually is; it may be twice as old.
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources holds what one controller may use of its own machine.
type Resources struct {
	CPUShare float64 `toml:"cpu_share"` // fraction of one core; default 1
	RAMMB    float64 `toml:"ram_mb"`
	Sockets  int     `toml:"sockets"`
}

// setDefaults sets the defaults of settings that the file does not contain.
func (r *Resources) setDefaults() {
	if r.CPUShare == 0 {
		r.CPUShare = 1
	}
}

// checkAmounts checks the settings that must be above 0.
func (s *Settings) checkAmounts() error {
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"settings.workers.report_s", s.Workers.HeartbeatIntervalS},
		{"settings.workers.lease_s", s.Workers.LeaseS},
		{"settings.workers.cancel_s", s.Workers.CancelDeadlineS},
		{"settings.state.rps", s.KV.RPS},
		{"settings.state.write_rps", s.KV.WriteRPS},
		{"settings.state.value_kb", s.KV.ValueKB},
		{"settings.state.txn_ops", float64(s.KV.TxnOps)},
		{"settings.cloud.rps", s.Cloud.RPS},
		{"settings.resources.cpu_share", s.Resources.CPUShare},
		{"settings.resources.ram_mb", s.Resources.RAMMB},
		{"settings.resources.sockets", float64(s.Resources.Sockets)},
	} {
		if !isAmount(setting.value) || setting.value == 0 {
			return invalidSetting(setting.key, "must be a finite number above 0, is %v", setting.value)
		}
	}
	return nil
}

// isAmount reports whether a value is a finite number that is not negative.
func isAmount(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
