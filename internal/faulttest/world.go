package faulttest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Job is a job as its user describes it, as far as the stand-ins need it.
type Job struct {
	ID       ids.JobID
	Team     string
	Class    string
	Service  bool
	Priority string
	Tasks    int
	CPUs     float64
	Image    ids.Image
	Run      time.Duration
}

// World is a deployment on loopback: controllers that are real processes, and stand-ins for
// all else. Times are scaled down: reports and leases are seconds where they are tens.
type World struct {
	Report, Lease, Fetch time.Duration
	Zones                []ids.Zone
	State                *kvtest.Server
	Cloud                *Cloud
	History              *History
	Nodes                []*Node

	mu   sync.Mutex
	jobs map[ids.JobID]Job
	cut  map[ids.Zone]bool
}

// Node is one controller process.
type Node struct {
	Name     string
	api      string
	mesh     string
	settings string
	log      *os.File
	command  *exec.Cmd
	done     chan error
}

// Program is how a controller is started: its path, the arguments before the settings file,
// and the directory in which it runs.
type Program struct {
	Path string
	Args []string
	Dir  string
}

// NewWorld starts the stand-ins and writes the settings of so many controllers into a
// directory.
func NewWorld(dir string, zones []ids.Zone, capacity, controllers int) (*World, error) {
	w := &World{Report: 400 * time.Millisecond, Lease: 6 * time.Second, Fetch: 300 * time.Millisecond, Zones: zones,
		State: kvtest.NewServer(kvtest.NewStore()), History: NewHistory(), jobs: map[ids.JobID]Job{}, cut: map[ids.Zone]bool{}}
	w.Cloud = NewCloud(zones, capacity, time.Second, w.bringUp)
	for n := range controllers {
		api, err := freeAddress()
		if err != nil {
			return w, err
		}
		mesh, err := freeAddress()
		if err != nil {
			return w, err
		}
		name := fmt.Sprintf("controller-%d", n)
		w.Nodes = append(w.Nodes, &Node{Name: name, api: api, mesh: mesh, settings: filepath.Join(dir, name+".toml")})
	}
	for _, n := range w.Nodes {
		if err := os.WriteFile(n.settings, []byte(w.settingsOf(n)), 0o600); err != nil {
			return w, err
		}
	}
	return w, nil
}

// freeAddress finds a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settingsOf is a controller's platform file.
func (w *World) settingsOf(n *Node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nlocation = %q\napi_addr = %q\nmesh_addr = %q\n", n.Name, w.Zones[0], n.api, n.mesh)
	for _, peer := range w.Nodes {
		if peer != n {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\naddress = %q\n", peer.Name, peer.mesh)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", w.Cloud.Address(), w.State.Address())
	fmt.Fprintf(&b, "[settings]\nzones = [%s]\n", quoted(w.Zones))
	for _, team := range []string{"archive", "maps"} {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = 64.0\ncpus_max = 400.0\n", team)
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n", w.Report.Seconds(), w.Lease.Seconds(), 4*w.Lease.Seconds())
	b.WriteString("[settings.state]\nrps = 2000.0\nwrite_rps = 800.0\nvalue_kb = 8.0\ntxn_ops = 32\n")
	b.WriteString("[settings.cloud]\nrps = 50.0\nlist_lag_s = 0.5\n[settings.resources]\ncpu_share = 1.0\nram_mb = 200.0\nsockets = 1500\n")
	return b.String()
}

// quoted lists zones for a TOML file.
func quoted(zones []ids.Zone) string {
	var out []string
	for _, zone := range zones {
		out = append(out, fmt.Sprintf("%q", zone))
	}
	return strings.Join(out, ", ")
}

// NodeAddress is where a controller takes requests, counted round.
func (w *World) NodeAddress(n int) string { return w.Nodes[n%len(w.Nodes)].api }

// Start starts a controller.
func (w *World) Start(n *Node, p Program) error {
	var err error
	if n.log == nil {
		if n.log, err = os.Create(n.settings + ".log"); err != nil {
			return err
		}
	}
	n.command = exec.Command(p.Path, append(append([]string(nil), p.Args...), n.settings)...)
	n.command.Stderr, n.command.Dir = n.log, p.Dir
	if err := n.command.Start(); err != nil {
		return err
	}
	n.done = make(chan error, 1)
	go func(command *exec.Cmd, done chan<- error) { done <- command.Wait() }(n.command, n.done)
	return nil
}

// Kill ends a controller at once.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.done
	n.command = nil
}

// Logs is what all controllers have logged.
func (w *World) Logs() string {
	var b strings.Builder
	for _, n := range w.Nodes {
		raw, _ := os.ReadFile(n.settings + ".log")
		fmt.Fprintf(&b, "--- %s\n%s\n", n.Name, raw)
	}
	return b.String()
}

// Close ends all that was started.
func (w *World) Close() {
	for _, n := range w.Nodes {
		n.Kill()
	}
	w.Cloud.Close()
	w.State.Close()
}

// bringUp starts the worker of a machine that has booted.
func (w *World) bringUp(m wire.Machine) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return startWorker(w, m, w.cut[m.Zone])
}

// Cut cuts a zone's machines off from everything, those that come up later too, or connects
// them again.
func (w *World) Cut(zone ids.Zone, cut bool) {
	w.mu.Lock()
	w.cut[zone] = cut
	w.mu.Unlock()
	for _, worker := range w.Cloud.Workers(zone) {
		worker.SetCut(cut)
	}
}

// Job finds what a user uploaded.
func (w *World) Job(id ids.JobID) (Job, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, ok := w.jobs[id]
	return job, ok
}

// errNotAnswered tells that no controller gave a definite answer.
var errNotAnswered = errors.New("no controller answered")

// Submit sends a job to the controllers until one takes it.
func (w *World) Submit(ctx context.Context, job Job) error {
	w.mu.Lock()
	w.jobs[job.ID] = job
	w.mu.Unlock()
	shape, expect := "batch", job.Run.Seconds()
	if job.Service {
		shape, expect = "standing", 0
	}
	body := map[string]any{"nameId": job.ID, "workclass": job.Class, "crew": job.Team, "shape": shape, "urgency": job.Priority, "legs": job.Tasks,
		"cpus": job.CPUs, "accelerators": 0.0, "memoryGb": 1.0, "bundle": job.Image, "pullGb": 0.3, "frames": nil, "hall": nil, "oneZone": false,
		"spread": false, "loaner": false, "expectS": expect, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil}
	_, err := w.ask(ctx, http.MethodPost, "/api/jobs", wire.Encode(body))
	return err
}

// Status asks for a job's state until a controller answers.
func (w *World) Status(ctx context.Context, id ids.JobID) (wire.JobStatus, error) {
	return w.ask(ctx, http.MethodGet, "/api/jobs/"+string(id), nil)
}

// Cancel cancels a job.
func (w *World) Cancel(ctx context.Context, id ids.JobID) (wire.JobStatus, error) {
	return w.ask(ctx, http.MethodPost, "/api/jobs/"+string(id)+"/withdraw", []byte{})
}

// StatusAt asks one controller for a job's state.
func (w *World) StatusAt(ctx context.Context, node int, id ids.JobID) (wire.JobStatus, error) {
	return w.askAt(ctx, node, http.MethodGet, "/api/jobs/"+string(id), nil)
}

// ask tries one controller after the other.
func (w *World) ask(ctx context.Context, method, path string, body []byte) (status wire.JobStatus, err error) {
	for n := 0; ctx.Err() == nil; n++ {
		if status, err = w.askAt(ctx, n, method, path, body); err == nil {
			return status, nil
		}
		monotonic.Sleep(ctx, 100*time.Millisecond)
	}
	return status, errors.Join(errNotAnswered, err)
}

// askAt sends a request to one controller.
func (w *World) askAt(ctx context.Context, node int, method, path string, body []byte) (status wire.JobStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.NodeAddress(node)+path, bytes.NewReader(body))
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return status, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return status, fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return status, wire.Decode(raw, &status)
}
