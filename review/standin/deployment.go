package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Deployment is a deployment on loopback: controllers as processes, and stand-ins for the rest.
type Deployment struct {
	Options Options
	Trouble bool // whether the case has its disruption
	Record  *Record
	State   *State
	Cloud   *Cloud
	Users   *Users
	Nodes   []*Node

	folder  string
	servers []*http.Server
}

// Start starts a deployment whose record is written to the file.
func Start(options Options, recordPath string) (d *Deployment, err error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	d = &Deployment{Options: options, Record: record, State: newState(options.State)}
	if d.folder, err = os.MkdirTemp("", "ospreystile-review-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	d.Users = newUsers(d)
	d.Cloud = newCloud(d)
	if err := d.addNodes(); err != nil {
		return nil, err
	}
	d.Cloud.addInitial()
	return d, d.startNodes()
}

// startNodes starts the controllers, the first leader before the others.
func (d *Deployment) startNodes() error {
	first := d.Nodes[d.Options.FirstLeader]
	if err := first.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), firstTermTimeout)
	defer cancel()
	if d.State.AwaitLeader(ctx, "") == "" {
		return fmt.Errorf("%s does not lead after %v", first.Name, firstTermTimeout)
	}
	for _, node := range d.Nodes {
		if node == first {
			continue
		}
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// firstTermTimeout bounds the time until the first node leads.
const firstTermTimeout = 10 * time.Second

// Close ends everything and removes the temporary folder.
func (d *Deployment) Close() {
	keep := os.Getenv("KEEP_LOGS")
	for _, node := range d.Nodes {
		node.close(keep)
	}
	if d.Cloud != nil {
		d.Cloud.stop()
	}
	for _, server := range d.servers {
		server.Close()
	}
	_ = os.RemoveAll(d.folder) // a temporary folder that is left does no harm
	_ = d.Record.Close()       // what it holds is written already
}

// startWorker starts the worker of a machine that is up.
func (d *Deployment) startWorker(machine wire.Machine) *Worker {
	worker, err := startWorker(d.Record, &d.Options, machine, d.Nodes, d.Users)
	if err != nil {
		panic(fmt.Sprintf("start worker: %v", err)) // loopback has no free port left
	}
	return worker
}

// serve serves a stand-in on loopback and returns its address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // returns once Close closes the server
	return listener.Addr().String(), nil
}

// The ports of the nodes lie below those that the system gives to outgoing connections, so that none of
// these takes a node's port while the node is down.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp4", address)
		switch {
		case err == nil:
			return address, listener.Close()
		case !errors.Is(err, syscall.EADDRINUSE):
			return "", err
		}
	}
}

// addNodes adds the controllers and writes their settings files.
func (d *Deployment) addNodes() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	state, err := d.serve(d.State.handler())
	if err != nil {
		return err
	}
	for i := range d.Options.Nodes {
		node := &Node{Name: fmt.Sprintf("perch-%d", i), zone: d.Options.NodeZones[i%len(d.Options.NodeZones)], command: command, record: d.Record}
		if node.API, err = freeAddress(); err != nil {
			return err
		}
		if node.mesh, err = freeAddress(); err != nil {
			return err
		}
		node.settings = filepath.Join(d.folder, node.Name+".toml")
		d.Nodes = append(d.Nodes, node)
	}
	for _, node := range d.Nodes {
		cloud, err := d.serve(d.Cloud.handler(node.Name))
		if err != nil {
			return err
		}
		if err := d.writeSettings(node, state, cloud); err != nil {
			return err
		}
	}
	return nil
}

// link returns the address of a new link to the target, and adds the link to the lists.
func (*Deployment) link(target string, lists ...*[]*Link) (string, error) {
	link, err := newLink(target)
	if err != nil {
		return "", err
	}
	for _, list := range lists {
		*list = append(*list, link)
	}
	return link.Address(), nil
}

// writeSettings writes the settings file of a node. Everything outside the node is reached through a
// link, so that its zone can be cut off.
func (d *Deployment) writeSettings(node *Node, state, cloud string) (err error) {
	platform := config.Platform{HostName: ids.ControllerName(node.Name), Location: node.zone, APIAddr: node.API, PeerAddr: node.mesh,
		Settings: d.sharedSettings()}
	if platform.External.KV, err = d.link(state, &node.stateLinks); err != nil {
		return err
	}
	if platform.External.Cloud, err = d.link(cloud, &node.cloudLinks); err != nil {
		return err
	}
	for _, other := range d.Nodes {
		if other == node {
			continue
		}
		address, err := d.link(other.mesh, &node.peerLinks, &other.peerLinks)
		if err != nil {
			return err
		}
		platform.Seeds = append(platform.Seeds, config.Peer{Name: ids.ControllerName(other.Name), Zone: other.zone, Address: address})
	}
	raw, err := toml.Marshal(platform)
	if err != nil {
		return err
	}
	return os.WriteFile(node.settings, raw, 0o600)
}

// sharedSettings returns the settings that are the same for all nodes.
func (d *Deployment) sharedSettings() config.Settings {
	o := &d.Options
	return config.Settings{
		InitialSize: o.Initial * len(o.Zones), Zones: o.Zones, SkewMS: o.SkewMS, Teams: o.Teams, Objectives: o.Objectives,
		Workers:   config.WorkerSettings{HeartbeatIntervalS: o.Report.Seconds(), LeaseS: o.Lease.Seconds(), CancelDeadlineS: o.Cancel.Seconds()},
		KV:        config.KVLimits{Limits: config.Limits{RPS: o.State.RPS, WriteRPS: o.State.WriteRPS, ValueKB: o.State.ValueKB, TxnOps: o.State.TxnOps}},
		Cloud:     config.CloudSettings{RPS: o.CloudRPS, ListLagS: o.ListLag.Seconds()},
		Resources: o.Resources,
	}
}
