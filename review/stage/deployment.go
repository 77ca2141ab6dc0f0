package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// stage holds what a case uses: the record, and the deployment once it is started.
type stage struct {
	repository string
	record     *recorder
	// trouble reports whether the disruption of the case takes place.
	trouble    bool
	deployment *deployment
	// beforeControllers is called before the controllers are started, unless it is nil.
	beforeControllers func(d *deployment)
}

// plan holds the size and the settings of a deployment.
type plan struct {
	// controllerZones holds the zone of each controller.
	controllerZones []ids.Zone
	settings        config.Settings
	types           []wire.MachineType
	// capacity is the number of ordinary machines that the cloud has of each type in each zone.
	capacity int
	// boot is how long a machine boots.
	boot time.Duration
	// pullGBPerS is the rate at which a machine fetches images.
	pullGBPerS float64
}

// deployment is a small deployment on loopback. The stand-ins of the cloud, the workers and the users are in
// this package, that of the state service is the project's own behind the limits of the settings.
type deployment struct {
	plan
	record      *recorder
	directory   string
	runLine     []string
	repository  string
	state       *stateService
	cloud       *cloudService
	users       *users
	controllers []*controllerProcess
}

// controllerProcess is a controller and its process.
type controllerProcess struct {
	name     ids.ControllerName
	api, rpc string
	settings string
	log      *os.File
	process  *exec.Cmd
	exited   chan struct{}
}

// start starts the stand-ins and all controllers.
func (s *stage) start(p plan) error {
	directory, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return err
	}
	d := &deployment{plan: p, record: s.record, directory: directory, repository: s.repository}
	s.deployment = d
	if err := d.readRunLine(); err != nil {
		return err
	}
	if d.state, err = newStateService(p.settings.KV.Limits); err != nil {
		return err
	}
	if err := d.addControllers(); err != nil {
		return err
	}
	d.users = newUsers(d)
	d.cloud = newCloudService(d)
	if s.beforeControllers != nil {
		s.beforeControllers(d)
	}
	for _, c := range d.controllers {
		if err := d.writeSettings(c); err != nil {
			return err
		}
		if err := d.startController(c); err != nil {
			return err
		}
	}
	return nil
}

// readRunLine reads the run line of the deploy file.
func (d *deployment) readRunLine() error {
	raw, err := os.ReadFile(filepath.Join(d.repository, "deploy", "service.toml"))
	if err != nil {
		return err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return err
	}
	if d.runLine = strings.Fields(deploy.Run); len(d.runLine) == 0 {
		return errors.New("the deploy file has no run line")
	}
	return nil
}

// loopbackHost is a loopback address that hardly any other process uses, so that no port of a controller is taken
// before the controller listens there, also while several cases run side by side.
var loopbackHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", loopbackHost+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addControllers names the controllers and gives them addresses.
func (d *deployment) addControllers() error {
	for i := range d.controllerZones {
		api, err := freeAddress()
		if err != nil {
			return err
		}
		rpc, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("perch-%d", i)
		d.controllers = append(d.controllers, &controllerProcess{
			name: ids.ControllerName(name), api: api, rpc: rpc, settings: filepath.Join(d.directory, name+".toml")})
	}
	return nil
}

// writeSettings writes the settings file of a controller.
func (d *deployment) writeSettings(c *controllerProcess) error {
	platform := config.Platform{HostName: c.name, APIAddr: c.api, PeerAddr: c.rpc, Settings: d.settings,
		External: config.External{Cloud: d.cloud.address, KV: d.state.address}}
	for i, other := range d.controllers {
		if other == c {
			platform.Location = d.controllerZones[i]
			continue
		}
		platform.Seeds = append(platform.Seeds, config.Peer{Name: other.name, Zone: d.controllerZones[i], Address: other.rpc})
	}
	raw, err := toml.Marshal(platform)
	if err != nil {
		return err
	}
	return os.WriteFile(c.settings, raw, 0o600)
}

// startController starts the process of a controller.
func (d *deployment) startController(c *controllerProcess) error {
	log, err := os.OpenFile(c.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(d.runLine[0], append(d.runLine[1:len(d.runLine):len(d.runLine)], c.settings)...)
	process.Dir, process.Stderr = d.repository, log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", c.name, err)
	}
	d.record.addf("%s started", c.name)
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = process.Wait() // a killed process always returns an error
	}()
	c.log, c.process, c.exited = log, process, exited
	return nil
}

// kill kills the process of a controller and waits until it has ended.
func (c *controllerProcess) kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill() // fails if the process has ended
	<-c.exited
	_ = c.log.Close()
	c.process = nil
}

// close ends all processes and stand-ins, and removes the temporary folder. With KEEP_LOGS the folder stays.
func (s *stage) close() {
	d := s.deployment
	if d == nil {
		return
	}
	for _, c := range d.controllers {
		c.kill()
	}
	if d.cloud != nil {
		d.cloud.close()
	}
	if d.state != nil {
		d.state.close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.directory)
		return
	}
	_ = os.RemoveAll(d.directory)
}
