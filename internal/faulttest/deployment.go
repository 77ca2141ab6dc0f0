package faulttest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/wire"
)

// Timing holds the intervals and delays of workers and machines. They are about a tenth of those of a
// real deployment, so that tests run faster.
type Timing struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // of workers
	ImageFetch        time.Duration
	Boot              time.Duration // of machines
}

// defaultLease is the lease of workers in all deployments.
const defaultLease = 6 * time.Second

// defaultTiming is the timing of all deployments.
var defaultTiming = Timing{
	HeartbeatInterval: 400 * time.Millisecond,
	Lease:             defaultLease,
	ImageFetch:        300 * time.Millisecond,
	Boot:              time.Second,
}

// defaultRAMMB is the memory that the settings of all deployments grant to each controller, in megabytes.
const defaultRAMMB = 200

// defaultKVLimits are the limits of the key-value store in the settings of all deployments.
var defaultKVLimits = config.Limits{RPS: 2000, WriteRPS: 800, ValueKB: 8, TxnOps: 32}

// Deployment is a whole deployment on loopback: real controller processes and fakes of everything
// else. It is safe for concurrent use, except that only one goroutine at a time may start or kill a
// given controller.
type Deployment struct {
	Timing      Timing
	KV          *kvtest.Server
	Cloud       *Cloud
	Users       *Users
	History     *History
	Controllers []*Controller

	zones    []ids.Zone
	kvLimits config.Limits
	ramMB    float64 // memory granted to each controller
	workers  workerEnvironment

	mu          sync.Mutex
	partitioned map[ids.Zone]bool
}

// NewDeployment starts the fakes and writes the controllers' settings files to the directory. It
// does not start the controllers. capacity is the number of machines per zone.
func NewDeployment(directory string, zones []ids.Zone, capacity, controllers int) (*Deployment, error) {
	d := &Deployment{Timing: defaultTiming, History: NewHistory(), zones: zones, kvLimits: defaultKVLimits, ramMB: defaultRAMMB, partitioned: map[ids.Zone]bool{}}
	if err := d.addControllers(directory, controllers); err != nil {
		return nil, err
	}
	d.Users = NewUsers(d.apiAddresses())
	d.workers = workerEnvironment{timing: d.Timing, controllers: d.apiAddresses(), users: d.Users, history: d.History}
	d.KV = kvtest.NewServer(kvtest.NewStore())
	d.Cloud = NewCloud(zones, capacity, d.Timing.Boot, d.startWorker)
	for _, c := range d.Controllers {
		if err := d.writeSettings(c); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	return d, nil
}

// addControllers adds controllers, each with its own addresses and settings path.
func (d *Deployment) addControllers(directory string, count int) error {
	for i := range count {
		api, err := freeAddress()
		if err != nil {
			return err
		}
		peer, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("controller-%d", i)
		d.Controllers = append(d.Controllers, &Controller{
			Name:         ids.ControllerName(name),
			apiAddress:   api,
			peerAddress:  peer,
			settingsPath: filepath.Join(directory, name+".toml"),
			links:        map[string]*link{},
		})
	}
	return nil
}

// freeAddress returns a loopback address on which nothing listens. Its IP address is a random one of
// 127.0.0.0/8, not 127.0.0.1: outgoing connections of all processes take their ports on 127.0.0.1, and
// could take this one before the controller listens on it, or between its restarts.
func freeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", randomOctet(), randomOctet(), randomOctet())
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// randomOctet returns a random part of an IPv4 address, from 1 to 254.
func randomOctet() int {
	return 1 + rand.IntN(254)
}

// apiAddresses returns the addresses on which the controllers serve users and workers.
func (d *Deployment) apiAddresses() []string {
	var addresses []string
	for _, c := range d.Controllers {
		addresses = append(addresses, c.apiAddress)
	}
	return addresses
}

// startWorker starts the worker of a booted machine.
func (d *Deployment) startWorker(machine wire.Machine) *Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return startWorker(d.workers, machine, d.partitioned[machine.Zone])
}

// PartitionZone isolates all machines of the zone, also those that boot later, from the network.
func (d *Deployment) PartitionZone(zone ids.Zone) {
	d.setPartitioned(zone, true)
	for _, worker := range d.Cloud.Workers(zone) {
		worker.Partition()
	}
}

// HealZone ends the partition of the zone.
func (d *Deployment) HealZone(zone ids.Zone) {
	d.setPartitioned(zone, false)
	for _, worker := range d.Cloud.Workers(zone) {
		worker.Heal()
	}
}

// IsolateController cuts a controller from the key-value store and from its peers, but not from users, workers and
// the cloud.
func (d *Deployment) IsolateController(c *Controller) { d.setIsolated(c, true) }

// ReconnectController ends the isolation of a controller.
func (d *Deployment) ReconnectController(c *Controller) { d.setIsolated(c, false) }

// setIsolated sets whether the links of a controller, and those of the others to it, are cut.
func (d *Deployment) setIsolated(isolated *Controller, cut bool) {
	for _, c := range d.Controllers {
		for target, l := range c.links {
			if c == isolated || target == isolated.peerAddress {
				l.setCut(cut)
			}
		}
	}
}

// setPartitioned sets whether workers that start in the zone are partitioned.
func (d *Deployment) setPartitioned(zone ids.Zone, partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned[zone] = partitioned
}

// Logs returns the logs of all controllers.
func (d *Deployment) Logs() string {
	var logs strings.Builder
	for _, c := range d.Controllers {
		fmt.Fprintf(&logs, "--- %s\n%s\n", c.Name, c.Log())
	}
	return logs.String()
}

// Close kills the controllers and stops the fakes.
func (d *Deployment) Close() error {
	var errs []error
	for _, c := range d.Controllers {
		errs = append(errs, c.Close())
	}
	d.Cloud.Close()
	d.KV.Close()
	return errors.Join(errs...)
}
