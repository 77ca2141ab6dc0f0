package standin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/ids"
)

// Node is one controller, which runs as a process of its own. One goroutine at a time may start, stop
// or kill it.
type Node struct {
	Name string
	API  string // address for users and workers

	zone     ids.Zone
	mesh     string
	settings string // path of the settings file
	command  []string
	record   *Record
	// The links to the state service and the cloud, and to and from the other nodes.
	stateLinks, cloudLinks, peerLinks []*Link
	log                               *os.File
	process                           *exec.Cmd // nil while no process runs
	exited                            chan struct{}

	mu  sync.Mutex
	cut bool
}

// runCommand returns the start command of the deploy file.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	var service struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &service); err != nil {
		return nil, err
	}
	return strings.Fields(service.Run), nil
}

// Start starts the controller with the start command of the deploy file.
func (n *Node) Start() error {
	if n.log == nil {
		log, err := os.Create(n.settings + ".log")
		if err != nil {
			return err
		}
		n.log = log
	}
	process := exec.Command(n.command[0], append(slices.Clone(n.command[1:]), n.settings)...)
	process.Stderr = n.log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = process.Wait() // a killed process always returns an error
	}()
	n.process, n.exited = process, exited
	n.record.Add("node %s: starts", n.Name)
	return nil
}

// Kill kills the controller and waits until it has ended.
func (n *Node) Kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill() // fails if the process has ended already
	<-n.exited
	n.process = nil
	n.record.Add("node %s: killed", n.Name)
}

// ended reports whether the process has ended by itself.
func (n *Node) ended() bool {
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// SetCut begins or ends a cut of the node's zone from everything outside it.
func (n *Node) SetCut(cut bool) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
	setCut(cut, n.stateLinks, n.cloudLinks, n.peerLinks)
}

// SetCutFromStateAndPeers begins or ends a cut of the node from the state service and the other nodes.
func (n *Node) SetCutFromStateAndPeers(cut bool) { setCut(cut, n.stateLinks, n.peerLinks) }

// setCut begins or ends a cut of all links.
func setCut(cut bool, lists ...[]*Link) {
	for _, link := range slices.Concat(lists...) {
		link.SetCut(cut)
	}
}

// isCut reports whether the node's zone is cut off.
func (n *Node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// cutFor reports whether a cut separates the node from a zone.
func (n *Node) cutFor(zone ids.Zone) bool { return zone != n.zone && n.isCut() }

// close kills the controller and closes its log and its links. If keep is not empty, a copy of the log
// is left in that folder.
func (n *Node) close(keep string) {
	n.Kill()
	for _, link := range slices.Concat(n.stateLinks, n.cloudLinks, n.peerLinks) {
		link.close()
	}
	if n.log == nil {
		return
	}
	n.log.Close()
	if raw, err := os.ReadFile(n.log.Name()); err == nil && keep != "" {
		_ = os.WriteFile(filepath.Join(keep, n.Name+".log"), raw, 0o600) // the logs are only an aid
	}
}
