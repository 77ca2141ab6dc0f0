// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (JSON with a schema).
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"ospreystile.example/ospreystile/ids"
)

// Peer is another controller.
type Peer struct {
	Name    ids.NodeName `toml:"host_name"`
	Zone    ids.Zone     `toml:"location"`
	Address string       `toml:"address"`
}

// Team is a team's guarantee and limit; see Limited.
type Team struct {
	Name    ids.Team `toml:"name"`
	CPUs    float64  `toml:"cpus"`
	CPUsMax float64  `toml:"cpus_max"`
	GPUs    float64  `toml:"gpus"`
	GPUsMax float64  `toml:"gpus_max"`
}

// Limited tells whether the team has a limit. 0 means none: a team without a guarantee, with neither
// guarantee nor limit, may borrow whatever is idle. Of a team that has one limit, 0
// means that it may use none of the other kind.
func (t Team) Limited() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Objective is one of the users' aims on starting and finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Times   float64 `toml:"times"`
	Share   float64 `toml:"share"`
}

// Limits are what the state service takes.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// State is the limits of the state service now, and those that it will have from
// a moment that nobody announces.
type State struct {
	Limits
	// Next holds what will change; what it does not name stays.
	Next struct {
		RPS      *float64 `toml:"rps"`
		WriteRPS *float64 `toml:"write_rps"`
		ValueKB  *float64 `toml:"value_kb"`
		TxnOps   *int     `toml:"txn_ops"`
	} `toml:"next"`
}

// Planned is the smaller of what holds now and of what will: what fits it fits at
// any moment.
func (s *State) Planned() Limits {
	return Limits{lesser(s.RPS, s.Next.RPS), lesser(s.WriteRPS, s.Next.WriteRPS),
		lesser(s.ValueKB, s.Next.ValueKB), lesser(s.TxnOps, s.Next.TxnOps)}
}

// lesser is the smaller of a limit and the one to come, if that is known.
func lesser[T float64 | int](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// check names a limit below which no record of ours could be kept: a job's
// description, or the two halves of a record that is split.
func (s *State) check() error {
	for _, f := range []struct {
		field string
		v     *float64
		least float64
	}{
		{"rps", s.Next.RPS, 1}, {"write_rps", s.Next.WriteRPS, 1}, {"value_kb", s.Next.ValueKB, 0.5},
	} {
		if f.v != nil && !(*f.v >= f.least) {
			return fmt.Errorf("settings.state.next.%s: must be %v or more, is %v", f.field, f.least, *f.v)
		}
	}
	if s.Next.TxnOps != nil && *s.Next.TxnOps < 2 {
		return fmt.Errorf("settings.state.next.txn_ops: must be 2 or more, is %d", *s.Next.TxnOps)
	}
	return nil
}

// Settings is the platform's part about the deployment.
type Settings struct {
	InitialSize int         `toml:"initial_size"`
	Zones       []ids.Zone  `toml:"zones"`
	SkewMS      float64     `toml:"skew_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     struct {
		ReportS float64 `toml:"report_s"`
		LeaseS  float64 `toml:"lease_s"`
		CancelS float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State State `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Resources struct {
		CPUShare float64 `toml:"cpu_share"`
		RAMMB    float64 `toml:"ram_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"resources"`
}

// Platform is the settings file that the platform hands over.
type Platform struct {
	HostName ids.NodeName `toml:"host_name"`
	Location ids.Zone     `toml:"location"`
	APIAddr  string       `toml:"api_addr"`
	MeshAddr string       `toml:"mesh_addr"`
	Seeds    []Peer       `toml:"seeds"`
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Settings Settings `toml:"settings"`
}

// LoadPlatform reads and checks a platform settings file.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p, err := ParsePlatform(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return p, nil
}

// ParsePlatform reads and checks platform settings. Fields it does not know
// are ignored.
func ParsePlatform(raw []byte) (*Platform, error) {
	var p Platform
	if err := toml.Unmarshal(raw, &p); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			key := strings.Join(de.Key(), ".")
			if key == "" {
				key = "(no key)"
			}
			return nil, fmt.Errorf("line %d column %d: %s: %v", row, col, key, err)
		}
		return nil, err
	}
	return &p, p.check()
}

// check names the first setting that makes no sense, and fills in defaults.
func (p *Platform) check() error {
	addr := func(field, v string) error {
		if _, _, err := net.SplitHostPort(v); err != nil {
			return fmt.Errorf("%s: not an address with a port: %q", field, v)
		}
		return nil
	}
	if p.HostName == "" {
		return errors.New("host_name: missing")
	}
	for _, a := range []struct{ field, v string }{
		{"api_addr", p.APIAddr}, {"mesh_addr", p.MeshAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.State},
	} {
		if err := addr(a.field, a.v); err != nil {
			return err
		}
	}
	for i, s := range p.Seeds {
		if s.Name == "" {
			return fmt.Errorf("seeds[%d].host_name: missing", i)
		}
		if err := addr(fmt.Sprintf("seeds[%d].address", i), s.Address); err != nil {
			return err
		}
	}
	s := &p.Settings
	if s.Resources.CPUShare == 0 {
		s.Resources.CPUShare = 1
	}
	seen := map[ids.Team]bool{}
	for i, t := range s.Teams {
		switch {
		case t.Name == "":
			return fmt.Errorf("settings.teams[%d].name: missing", i)
		case seen[t.Name]:
			return fmt.Errorf("settings.teams[%d].name: %q appears twice", i, t.Name)
		case !amount(t.CPUs) || !amount(t.CPUsMax) || !amount(t.GPUs) || !amount(t.GPUsMax):
			return fmt.Errorf("settings.teams[%d]: %q has an amount that is negative or no number", i, t.Name)
		case t.Limited() && (t.CPUs > t.CPUsMax || t.GPUs > t.GPUsMax):
			return fmt.Errorf("settings.teams[%d]: %q is guaranteed more than its limit", i, t.Name)
		}
		seen[t.Name] = true
	}
	if err := s.State.check(); err != nil {
		return err
	}
	for _, f := range []struct {
		field string
		v     float64
	}{
		{"settings.workers.report_s", s.Workers.ReportS},
		{"settings.workers.lease_s", s.Workers.LeaseS},
		{"settings.workers.cancel_s", s.Workers.CancelS},
		{"settings.state.rps", s.State.RPS},
		{"settings.state.write_rps", s.State.WriteRPS},
		{"settings.state.value_kb", s.State.ValueKB},
		{"settings.state.txn_ops", float64(s.State.TxnOps)},
		{"settings.cloud.rps", s.Cloud.RPS},
		{"settings.resources.cpu_share", s.Resources.CPUShare},
		{"settings.resources.ram_mb", s.Resources.RAMMB},
		{"settings.resources.sockets", float64(s.Resources.Sockets)},
	} {
		if !amount(f.v) || f.v == 0 {
			return fmt.Errorf("%s: must be a number above 0", f.field)
		}
	}
	return nil
}

// amount tells whether a setting is a finite number that is not negative.
func amount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

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
		PassOver      int                  `json:"pass_over"`
		// KeepAfterS is how long a job waits to begin until room is kept for
		// it, KeepForS how long it is kept at a time.
		KeepAfterS float64 `json:"keep_after_s"`
		KeepForS   float64 `json:"keep_for_s"`
	} `json:"quota"`
	Fleet struct {
		IdleS        float64 `json:"idle_s"`
		SpotIdle     float64 `json:"spot_idle"`
		HeadroomIdle float64 `json:"headroom_idle_s"`
		Headroom     float64 `json:"headroom"`
		BootFactor   float64 `json:"boot_factor"`
		CapacityBack float64 `json:"capacity_backoff_s"`
		MaxMachines  int     `json:"max_machines"`
	} `json:"fleet"`
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
	if err := sch.Validate(doc); err != nil {
		return nil, oneLine(err)
	}
	if err := json.Unmarshal(raw, &op); err != nil {
		return nil, err
	}
	return &op, nil
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
