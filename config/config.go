// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (JSON with a schema).
package config

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/ids"
)

// Peer is another controller.
type Peer struct {
	Name    ids.ControllerName `toml:"host_name"`
	Zone    ids.Zone           `toml:"location"`
	Address string             `toml:"address"`
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

// ServiceLevelObjective is one of the objectives that users have for the start or the end of jobs.
type ServiceLevelObjective struct {
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

// KVLimits is the limits of the state service now, and those that it will have from
// a moment that nobody announces.
type KVLimits struct {
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
func (s *KVLimits) Planned() Limits {
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
func (s *KVLimits) check() error {
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
	InitialSize int                     `toml:"initial_size"`
	Zones       []ids.Zone              `toml:"zones"`
	SkewMS      float64                 `toml:"skew_ms"`
	Teams       []Team                  `toml:"teams"`
	Objectives  []ServiceLevelObjective `toml:"objectives"`
	Workers     struct {
		HeartbeatIntervalS float64 `toml:"report_s"`
		LeaseS             float64 `toml:"lease_s"`
		CancelDeadlineS    float64 `toml:"cancel_s"`
	} `toml:"workers"`
	KV    KVLimits `toml:"state"`
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
	HostName ids.ControllerName `toml:"host_name"`
	Location ids.Zone           `toml:"location"`
	APIAddr  string             `toml:"api_addr"`
	PeerAddr string             `toml:"mesh_addr"`
	Seeds    []Peer             `toml:"seeds"`
	External struct {
		Cloud string `toml:"cloud"`
		KV    string `toml:"state"`
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
	if p.Settings.Resources.CPUShare == 0 {
		p.Settings.Resources.CPUShare = 1
	}
	for _, check := range []func() error{p.checkAddresses, p.Settings.checkTeams, p.Settings.KV.check, p.Settings.checkAmounts} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks the names and addresses of this controller, its peers and the
// services that it uses.
func (p *Platform) checkAddresses() error {
	if p.HostName == "" {
		return errors.New("host_name: missing")
	}
	for _, a := range []struct{ field, v string }{
		{"api_addr", p.APIAddr}, {"mesh_addr", p.PeerAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.KV},
	} {
		if err := checkAddress(a.field, a.v); err != nil {
			return err
		}
	}
	for i, s := range p.Seeds {
		if s.Name == "" {
			return fmt.Errorf("seeds[%d].host_name: missing", i)
		}
		if err := checkAddress(fmt.Sprintf("seeds[%d].address", i), s.Address); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: not an address with a port: %q", field, address)
	}
	return nil
}

// checkTeams checks that teams have different names and quotas that make sense.
func (s *Settings) checkTeams() error {
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
	return nil
}

// checkAmounts checks the settings that must be above 0.
func (s *Settings) checkAmounts() error {
	for _, f := range []struct {
		field string
		v     float64
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
		if !amount(f.v) || f.v == 0 {
			return fmt.Errorf("%s: must be a number above 0", f.field)
		}
	}
	return nil
}

// amount tells whether a setting is a finite number that is not negative.
func amount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
