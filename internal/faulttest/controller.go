package faulttest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"

	"ospreystile.example/ospreystile/ids"
)

// Program is how a controller is started: its path, the arguments before the path of the
// settings, and the directory in which it runs.
type Program struct {
	Path      string
	Arguments []string
	Directory string
}

// Controller is one controller, which runs as a process of its own.
type Controller struct {
	Name         ids.ControllerName
	apiAddress   string
	peerAddress  string
	settingsPath string

	log     *os.File
	process *exec.Cmd     // nil while the controller is down
	exited  chan struct{} // closed when the process has ended
}

// Start starts the controller. Its log continues that of its previous process.
func (c *Controller) Start(program Program) error {
	if c.process != nil {
		return fmt.Errorf("%s runs already", c.Name)
	}
	if err := c.openLog(); err != nil {
		return err
	}
	process := exec.Command(program.Path, append(slices.Clone(program.Arguments), c.settingsPath)...)
	process.Stderr, process.Dir = c.log, program.Directory
	if err := process.Start(); err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = process.Wait() // a killed process always has an error
	}()
	c.process, c.exited = process, exited
	return nil
}

// openLog opens the log file for the first process.
func (c *Controller) openLog() (err error) {
	if c.log == nil {
		c.log, err = os.Create(c.logPath())
	}
	return err
}

// Kill ends the process without a warning, and waits for its end. A controller that is
// down stays down.
func (c *Controller) Kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill() // fails if the process has ended by itself
	<-c.exited
	c.process = nil
}

// Close kills the process and closes its log.
func (c *Controller) Close() error {
	c.Kill()
	if c.log == nil {
		return nil
	}
	return c.log.Close()
}

// Log returns what the controller has logged, or why that cannot be read.
func (c *Controller) Log() string {
	raw, err := os.ReadFile(c.logPath())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err.Error()
	}
	return string(raw)
}

// logPath is where the log is.
func (c *Controller) logPath() string { return c.settingsPath + ".log" }
