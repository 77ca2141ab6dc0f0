package faulttest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"

	"ospreystile.example/ospreystile/ids"
)

// Program describes how a controller process is started.
type Program struct {
	Path      string
	Arguments []string // precede the path of the settings file
	Directory string   // working directory
}

// Controller is a controller that runs as a separate process.
type Controller struct {
	Name         ids.ControllerName
	apiAddress   string
	peerAddress  string
	settingsPath string
	links        map[string]*link // to the key-value store and the peers, by address

	log     *os.File
	process *exec.Cmd     // nil while the process does not run
	exited  chan struct{} // closed when the process has exited
}

// linkTo returns the address of the controller's link to an address, and starts the link if there is none.
func (c *Controller) linkTo(target string) (string, error) {
	if existing := c.links[target]; existing != nil {
		return existing.address(), nil
	}
	started, err := newLink(target)
	if err != nil {
		return "", fmt.Errorf("link %s to %s: %w", c.Name, target, err)
	}
	c.links[target] = started
	return started.address(), nil
}

// Start starts the controller process. Its log is appended to that of previous processes.
func (c *Controller) Start(program Program) error {
	if c.process != nil {
		return fmt.Errorf("start %s: already running", c.Name)
	}
	if err := c.openLog(); err != nil {
		return err
	}
	process := exec.Command(program.Path, append(slices.Clone(program.Arguments), c.settingsPath)...)
	process.Stderr, process.Dir = c.log, program.Directory
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = process.Wait() // Wait always returns an error for a killed process
	}()
	c.process, c.exited = process, exited
	return nil
}

// openLog creates the log file unless it is open already.
func (c *Controller) openLog() (err error) {
	if c.log == nil {
		c.log, err = os.Create(c.logPath())
	}
	return err
}

// Kill kills the process with SIGKILL and waits until it has exited. It does nothing if the process
// does not run.
func (c *Controller) Kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill() // fails if the process has already exited
	<-c.exited
	c.process = nil
}

// Close kills the process, and closes the links and the log file.
func (c *Controller) Close() error {
	c.Kill()
	for _, l := range c.links {
		l.close()
	}
	if c.log == nil {
		return nil
	}
	return c.log.Close()
}

// Log returns the controller's log, or the error message if the log cannot be read.
func (c *Controller) Log() string {
	raw, err := os.ReadFile(c.logPath())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err.Error()
	}
	return string(raw)
}

// logPath returns the path of the log file.
func (c *Controller) logPath() string { return c.settingsPath + ".log" }
