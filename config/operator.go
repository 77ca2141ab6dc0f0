package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Operator holds the operators' settings. operator.schema.json describes each of them, and
// operator.default.json holds the defaults.
type Operator struct {
	Leadership LeadershipSettings `json:"leadership"`
	Quota      QuotaSettings      `json:"quota"`
	Fleet      FleetSettings      `json:"fleet"`
	// ZoneRecovery holds how zone outages are detected and how work returns to a zone.
	ZoneRecovery zonerecovery.Settings `json:"zone_return"`

	// ZoneRecoveryPolicy is derived from ZoneRecovery. It is nil if zone recovery is disabled.
	ZoneRecoveryPolicy *zonerecovery.Policy `json:"-"`
	// Warnings holds a warning for each setting that appears under its former name.
	Warnings []string `json:"-"`
}

// LeadershipSettings holds the bounds of how long a leader may act.
type LeadershipSettings struct {
	LeaseMS int `json:"lease_ms"` // see LeaseTTL
	GraceS  int `json:"grace_s"`  // see Grace; the same on every controller
}

// QuotaSettings holds the settings of admission and quota.
type QuotaSettings struct {
	// LendingLimits holds, by team, how many CPUs of its nominal quota others may borrow. A
	// team without an entry lends all of its idle quota.
	LendingLimits map[ids.Team]float64 `json:"lending_limits"`
	// ReclaimHoldS is how long reclaimed quota is not lent again.
	ReclaimHoldS float64 `json:"reclaim_hold_s"`
	// SliceTasks is the largest number of tasks in one admission record.
	SliceTasks int `json:"slice_tasks"`
	// MaxSkippedJobs is for how many jobs of one team a pass over the waiting jobs may search all
	// machines in vain. The team's other jobs then wait for the next round.
	MaxSkippedJobs int `json:"max_skipped_jobs"`
	// ReserveAfterS is how long a job waits to start until machines are reserved for it. 0
	// means that none are reserved. ReserveForS is how long a reservation lasts.
	ReserveAfterS float64 `json:"reserve_after_s"`
	ReserveForS   float64 `json:"reserve_for_s"`
}

// FleetSettings holds the settings of autoscaling.
type FleetSettings struct {
	IdleTimeoutS         float64 `json:"idle_s"`
	SpotIdleFactor       float64 `json:"spot_idle"`          // multiplies IdleTimeoutS
	HeadroomIdleTimeoutS float64 `json:"headroom_idle_s"`    // of machines held as headroom
	Headroom             float64 `json:"headroom"`           // fraction of the recent peak
	BootFactor           float64 `json:"boot_factor"`        // boot timeout, in nominal boot times
	CapacityBackoffS     float64 `json:"capacity_backoff_s"` // the first backoff
	MaxMachines          int     `json:"max_machines"`       // 0: no limit
}

//go:embed operator.default.json
var operatorDefault []byte

// LoadOperator reads the operators' settings and merges them into the defaults. With an empty
// path it returns the defaults.
func LoadOperator(path string) (*Operator, error) {
	var raw []byte
	if path != "" {
		var err error
		if raw, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
	}
	operator, err := ParseOperator(raw)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return operator, nil
}

// ParseOperator checks the operators' settings against the schema and merges them into the
// defaults. Without settings (nil) it returns the defaults.
func ParseOperator(raw []byte) (*Operator, error) {
	var operator Operator
	if err := json.Unmarshal(operatorDefault, &operator); err != nil {
		return nil, fmt.Errorf("decode built-in operator settings: %w", err)
	}
	if raw == nil {
		return &operator, nil
	}
	if err := operator.overlay(raw); err != nil {
		return nil, err
	}
	if err := operator.setZonePolicy(); err != nil {
		return nil, err
	}
	return &operator, nil
}

// overlay overwrites the settings that a file contains.
func (o *Operator) overlay(raw []byte) error {
	document, err := parseDocument(raw)
	if err != nil {
		return err
	}
	if o.Warnings, err = renameFormerNames(document); err != nil {
		return err
	}
	if err := validateDocument(document); err != nil {
		return err
	}
	settings, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return json.Unmarshal(settings, o)
}

// setZonePolicy sets the policy of zone recovery if zone recovery is enabled. It validates the
// settings even if it is disabled.
func (o *Operator) setZonePolicy() error {
	policy, err := o.ZoneRecovery.Policy()
	if err != nil {
		return err
	}
	if o.ZoneRecovery.Enabled {
		o.ZoneRecoveryPolicy = policy
	}
	return nil
}

// CheckAgainst checks that the operators' settings name only zones of the platform.
func (o *Operator) CheckAgainst(p *Platform) error {
	return o.ZoneRecovery.CheckZones(p.Settings.Zones)
}

// LeaseTTL returns the time to live of the leader lease.
func (o *Operator) LeaseTTL() time.Duration {
	return time.Duration(o.Leadership.LeaseMS) * time.Millisecond
}

// Grace returns the longest time for which a leader may go on answering heartbeats while it cannot
// reach the key-value store.
func (o *Operator) Grace() time.Duration {
	return time.Duration(o.Leadership.GraceS) * time.Second
}
