package faulttest

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/wire"
)

// Timing holds the times that workers and controllers go by. They are scaled down: tenths
// of a second and seconds stand for seconds and tens of seconds.
type Timing struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // of a worker
	ImageFetch        time.Duration
	Boot              time.Duration // of a machine
}

// defaultTiming is the timing of every deployment.
var defaultTiming = Timing{
	HeartbeatInterval: 400 * time.Millisecond,
	Lease:             6 * time.Second,
	ImageFetch:        300 * time.Millisecond,
	Boot:              time.Second,
}

// Deployment is a whole deployment on loopback: controllers that are real processes, and
// stand-ins for all else. Its methods may be called from any goroutine, but each controller
// is started and killed by one goroutine at a time.
type Deployment struct {
	Timing      Timing
	KV          *kvtest.Server
	Cloud       *Cloud
	Users       *Users
	History     *History
	Controllers []*Controller

	zones   []ids.Zone
	workers workerEnvironment

	mu          sync.Mutex
	partitioned map[ids.Zone]bool
}

// NewDeployment starts the stand-ins, and writes the settings of the controllers into a
// directory. The controllers are not started yet. capacity is the number of machines that
// each zone has.
func NewDeployment(directory string, zones []ids.Zone, capacity, controllers int) (*Deployment, error) {
	d := &Deployment{Timing: defaultTiming, History: NewHistory(), zones: zones, partitioned: map[ids.Zone]bool{}}
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

// addControllers gives each controller its addresses and the path of its settings.
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
		})
	}
	return nil
}

// freeAddress finds a loopback address that is not in use.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// apiAddresses lists where the controllers take requests of users and workers.
func (d *Deployment) apiAddresses() []string {
	var addresses []string
	for _, c := range d.Controllers {
		addresses = append(addresses, c.apiAddress)
	}
	return addresses
}

// startWorker starts the worker of a machine that has booted.
func (d *Deployment) startWorker(machine wire.Machine) *Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return startWorker(d.workers, machine, d.partitioned[machine.Zone])
}

// PartitionZone cuts a zone's machines off from everything, also those that boot later.
func (d *Deployment) PartitionZone(zone ids.Zone) {
	d.setPartitioned(zone, true)
	for _, worker := range d.Cloud.Workers(zone) {
		worker.Partition()
	}
}

// HealZone ends the partition of a zone.
func (d *Deployment) HealZone(zone ids.Zone) {
	d.setPartitioned(zone, false)
	for _, worker := range d.Cloud.Workers(zone) {
		worker.Heal()
	}
}

// setPartitioned sets how the workers of a zone start.
func (d *Deployment) setPartitioned(zone ids.Zone, partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned[zone] = partitioned
}

// Logs returns what all controllers have logged.
func (d *Deployment) Logs() string {
	var logs strings.Builder
	for _, c := range d.Controllers {
		fmt.Fprintf(&logs, "--- %s\n%s\n", c.Name, c.Log())
	}
	return logs.String()
}

// Close ends the controllers and all stand-ins.
func (d *Deployment) Close() error {
	var errs []error
	for _, c := range d.Controllers {
		errs = append(errs, c.Close())
	}
	d.Cloud.Close()
	d.KV.Close()
	return errors.Join(errs...)
}
