package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Operator is the operators' own settings.
type Operator struct {
	Leadership struct {
		LeaseMS int `json:"lease_ms"`
		GraceS  int `json:"grace_s"`
	} `json:"leadership"`
	Quota struct {
		// LendingLimits holds, by team, how many guaranteed CPUs others may
		// borrow. A team without an entry lends all that is idle.
		LendingLimits map[ids.Team]float64 `json:"lending_limits"`
		ReclaimHoldS  float64              `json:"reclaim_hold_s"`
		SliceTasks    int                  `json:"slice_tasks"`
		// MaxSkippedJobs is how many waiting jobs one scheduling round tries
		// after the first that does not fit.
		MaxSkippedJobs int `json:"max_skipped_jobs"`
		// ReserveAfterS is how long a job waits to start until machines are
		// reserved for it, ReserveForS how long a reservation lasts.
		ReserveAfterS float64 `json:"reserve_after_s"`
		ReserveForS   float64 `json:"reserve_for_s"`
	} `json:"quota"`
	Fleet struct {
		IdleTimeoutS         float64 `json:"idle_s"`
		SpotIdleFactor       float64 `json:"spot_idle"`
		HeadroomIdleTimeoutS float64 `json:"headroom_idle_s"`
		Headroom             float64 `json:"headroom"`
		BootFactor           float64 `json:"boot_factor"`
		CapacityBackoffS     float64 `json:"capacity_backoff_s"`
		MaxMachines          int     `json:"max_machines"`
	} `json:"fleet"`

	// ZoneRecovery is how zones that fall silent are watched and return, ZoneRecoveryPolicy what it
	// comes to; nil: they are not watched.
	ZoneRecovery       zonerecovery.Settings `json:"zone_return"`
	ZoneRecoveryPolicy *zonerecovery.Policy  `json:"-"`

	// Warnings tell of settings with names that are out of date.
	Warnings []string `json:"-"`
}

// renamedSetting is a setting that still takes its former name.
type renamedSetting struct{ section, former, name string }

var renamedSettings = []renamedSetting{
	{"quota", "pass_over", "max_skipped_jobs"},
	{"quota", "keep_after_s", "reserve_after_s"},
	{"quota", "keep_for_s", "reserve_for_s"},
}

// renameFormer gives settings their present names, and tells which it renamed.
func renameFormer(doc any) (warnings []string, err error) {
	sections, _ := doc.(map[string]any)
	for _, r := range renamedSettings {
		section, _ := sections[r.section].(map[string]any)
		value, found := section[r.former]
		if !found {
			continue
		}
		if _, both := section[r.name]; both {
			return nil, fmt.Errorf("%s.%s: is the former name of %s, which is set too", r.section, r.former, r.name)
		}
		delete(section, r.former)
		section[r.name] = value
		warnings = append(warnings, fmt.Sprintf("%s.%s is called %s.%s now", r.section, r.former, r.section, r.name))
	}
	return warnings, nil
}

//go:embed operator.schema.json
var operatorSchema []byte

//go:embed operator.default.json
var operatorDefault []byte

// LoadOperator reads the operators' settings over the built-in defaults. An
// empty path gives the defaults.
func LoadOperator(path string) (*Operator, error) {
	var raw []byte
	if path != "" {
		var err error
		if raw, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
	}
	op, err := ParseOperator(raw)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return op, nil
}

// ParseOperator checks operators' settings against the schema and lays them
// over the defaults. Nil gives the defaults.
func ParseOperator(raw []byte) (*Operator, error) {
	var op Operator
	if err := json.Unmarshal(operatorDefault, &op); err != nil {
		return nil, fmt.Errorf("built-in defaults: %w", err)
	}
	if raw == nil {
		return &op, nil
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(operatorSchema))
	if err != nil {
		return nil, fmt.Errorf("built-in schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.schema.json", schema); err != nil {
		return nil, fmt.Errorf("built-in schema: %w", err)
	}
	sch, err := c.Compile("operator.schema.json")
	if err != nil {
		return nil, fmt.Errorf("built-in schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if op.Warnings, err = renameFormer(doc); err != nil {
		return nil, err
	}
	if err := sch.Validate(doc); err != nil {
		return nil, oneLine(err)
	}
	renamed, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(renamed, &op); err != nil {
		return nil, err
	}
	return &op, op.setZonePolicy()
}

// setZonePolicy checks what the settings of zones say together, whether or not they are
// turned on.
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

// CheckAgainst finds operators' settings that do not go with the platform's.
func (o *Operator) CheckAgainst(p *Platform) error {
	return o.ZoneRecovery.CheckZones(p.Settings.Zones)
}

// oneLine names the first field that a schema check found wrong.
func oneLine(err error) error {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return err
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	field := "(top)"
	if len(ve.InstanceLocation) > 0 {
		field = ""
		for i, part := range ve.InstanceLocation {
			if i > 0 {
				field += "."
			}
			field += part
		}
	}
	out := ve.BasicOutput()
	msg := ve.Error()
	if out != nil && out.Error != nil {
		msg = out.Error.String()
	} else if out != nil && len(out.Errors) > 0 && out.Errors[0].Error != nil {
		msg = out.Errors[0].Error.String()
	}
	return fmt.Errorf("%s: %s", field, msg)
}

// LeaseTTL is how long a leader's key outlives its last renewal.
func (o *Operator) LeaseTTL() time.Duration {
	return time.Duration(o.Leadership.LeaseMS) * time.Millisecond
}

// Grace bounds how long a leader without the state service answers reports.
func (o *Operator) Grace() time.Duration {
	return time.Duration(o.Leadership.GraceS) * time.Second
}
