package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/ids"
)

// Platform holds the settings file that the platform provides to a controller.
type Platform struct {
	HostName ids.ControllerName `toml:"host_name"`
	Location ids.Zone           `toml:"location"`
	APIAddr  string             `toml:"api_addr"`  // where users and workers reach this controller
	PeerAddr string             `toml:"mesh_addr"` // where other controllers reach this one
	Seeds    []Peer             `toml:"seeds"`     // the other controllers
	External External           `toml:"external"`
	Settings Settings           `toml:"settings"`
}

// Peer holds the name, zone and address of another controller.
type Peer struct {
	Name    ids.ControllerName `toml:"host_name"`
	Zone    ids.Zone           `toml:"location"`
	Address string             `toml:"address"`
}

// External holds the addresses of the services that a controller uses.
type External struct {
	Cloud string `toml:"cloud"`
	KV    string `toml:"state"`
}

// LoadPlatform reads and checks a platform settings file.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	platform, err := ParsePlatform(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return platform, nil
}

// ParsePlatform reads and checks platform settings, and sets defaults. Unknown settings are
// ignored. The error is a *SettingError for the first setting that is invalid, or wraps a
// *toml.DecodeError.
func ParsePlatform(raw []byte) (*Platform, error) {
	var platform Platform
	if err := toml.Unmarshal(raw, &platform); err != nil {
		return nil, withPosition(err)
	}
	platform.Settings.Resources.setDefaults()
	if err := platform.check(); err != nil {
		return nil, err
	}
	return &platform, nil
}

// withPosition adds the line, column and key to the error of the decoder. It returns other errors
// unchanged.
func withPosition(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return err
	}
	line, column := decodeError.Position()
	key := strings.Join(decodeError.Key(), ".")
	if key == "" {
		key = "(no key)"
	}
	return fmt.Errorf("line %d column %d: %s: %w", line, column, key, err)
}

// check returns the error of the first setting that is invalid.
func (p *Platform) check() error {
	checks := []func() error{
		p.checkAddresses,
		p.Settings.checkTeams,
		p.Settings.KV.check,
		p.Settings.checkAmounts,
	}
	for _, check := range checks {
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
		return invalidSetting("host_name", "missing")
	}
	for _, address := range []struct{ key, value string }{
		{"api_addr", p.APIAddr},
		{"mesh_addr", p.PeerAddr},
		{"external.cloud", p.External.Cloud},
		{"external.state", p.External.KV},
	} {
		if err := checkAddress(address.key, address.value); err != nil {
			return err
		}
	}
	for i, peer := range p.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		if peer.Name == "" {
			return invalidSetting(key+".host_name", "missing")
		}
		if err := checkAddress(key+".address", peer.Address); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress checks that a setting has the form host:port.
func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return invalidSetting(key, "not an address with a port: %q", address)
	}
	return nil
}
