package faulttest

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
)

// writeSettings writes the platform settings file of the controller.
func (d *Deployment) writeSettings(c *Controller) error {
	settings, err := d.controllerSettings(c)
	if err != nil {
		return err
	}
	raw, err := toml.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", c.Name, err)
	}
	return os.WriteFile(c.settingsPath, raw, 0o600)
}

// controllerSettings returns the platform settings of the controller, which reaches the key-value store and its
// peers through links.
func (d *Deployment) controllerSettings(c *Controller) (config.Platform, error) {
	kvAddress, err := c.linkTo(d.KV.Address())
	if err != nil {
		return config.Platform{}, err
	}
	platform := config.Platform{
		HostName: c.Name,
		Location: d.zones[0],
		APIAddr:  c.apiAddress,
		PeerAddr: c.peerAddress,
		External: config.External{Cloud: d.Cloud.Address(), KV: kvAddress},
		Settings: d.sharedSettings(),
	}
	for _, peer := range d.Controllers {
		if peer == c {
			continue
		}
		address, err := c.linkTo(peer.peerAddress)
		if err != nil {
			return config.Platform{}, err
		}
		platform.Seeds = append(platform.Seeds, config.Peer{Name: peer.Name, Address: address})
	}
	return platform, nil
}

// sharedSettings returns the settings that are the same for all controllers.
func (d *Deployment) sharedSettings() config.Settings {
	settings := config.Settings{
		Zones: d.zones,
		Workers: config.WorkerSettings{
			HeartbeatIntervalS: d.Timing.HeartbeatInterval.Seconds(),
			LeaseS:             d.Timing.Lease.Seconds(),
			CancelDeadlineS:    4 * d.Timing.Lease.Seconds(),
		},
		KV:        config.KVLimits{Limits: d.kvLimits},
		Cloud:     config.CloudSettings{RPS: 50, ListLagS: 0.5},
		Resources: config.Resources{CPUShare: 1, RAMMB: d.ramMB, Sockets: 1500},
	}
	for _, team := range []ids.Team{"archive", "maps"} {
		settings.Teams = append(settings.Teams, config.Team{Name: team, CPUs: 64, CPUsMax: 400})
	}
	return settings
}
