package wire

import (
	"fmt"
	"math"
	"slices"

	"ospreystile.example/ospreystile/ids"
)

// Priority orders jobs; a larger one goes first.
type Priority int

// The protocol's priorities.
const (
	BestEffort Priority = iota
	Normal
	High
	Critical
)

// priorities holds the protocol's words.
var priorities = map[string]Priority{"best_effort": BestEffort, "normal": Normal, "high": High, "critical": Critical}

// JobSpec is a job as its user described it. The tags are those of our own
// records in the state service.
type JobSpec struct {
	Class            string            `msgpack:"c"`
	Team             ids.Team          `msgpack:"g"`
	Service          bool              `msgpack:"s,omitempty"`
	Gang             bool              `msgpack:"gg,omitempty"`
	Priority         Priority          `msgpack:"p"`
	Tasks            int               `msgpack:"n"`
	CPUs             float64           `msgpack:"u"`
	GPUs             float64           `msgpack:"a,omitempty"`
	MemoryGB         float64           `msgpack:"m"`
	Image            ids.Image         `msgpack:"i"`
	ImageGB          float64           `msgpack:"ig"`
	Types            []ids.MachineType `msgpack:"t,omitempty"`
	Zone             ids.Zone          `msgpack:"z,omitempty"`
	OneZone          bool              `msgpack:"oz,omitempty"`
	Spread           bool              `msgpack:"sp,omitempty"`
	Spot             bool              `msgpack:"l,omitempty"`
	EstimateS        float64           `msgpack:"e,omitempty"`
	CheckpointEveryS float64           `msgpack:"ce,omitempty"`
	CheckpointS      float64           `msgpack:"cs,omitempty"`
	DeadlineS        float64           `msgpack:"d,omitempty"`
	// Needs names the jobs that must be done before any task of this one
	// starts; each once.
	DependsOn []ids.JobID `msgpack:"b,omitempty"`
}

// maxTasks is the protocol's largest job.
const maxTasks = 100_000

// fields reads a decoded map field by field and keeps the first complaint.
type fields struct {
	m   map[string]any
	err error
}

// fail notes the first complaint.
func (f *fields) fail(key, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", key, want)
	}
}

// text reads a text that must be there.
func (f *fields) text(key string, max int) string {
	s, ok := f.m[key].(string)
	if !ok || s == "" || len(s) > max {
		f.fail(key, "must be text")
	}
	return s
}

// optText reads a text that may be null or left out.
func (f *fields) optText(key string, max int) string {
	if f.m[key] == nil {
		return ""
	}
	return f.text(key, max)
}

// flag reads true or false.
func (f *fields) flag(key string) bool {
	b, ok := f.m[key].(bool)
	if !ok {
		f.fail(key, "must be true or false")
	}
	return b
}

// number reads any kind of number.
func number(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case float32:
		return float64(n), true
	}
	if n, ok := integer(v); ok {
		return float64(n), true
	}
	return 0, false
}

// integer reads any kind of integer.
func integer(v any) (int64, bool) {
	switch n := v.(type) {
	case int8:
		return int64(n), true
	case int16:
		return int64(n), true
	case int32:
		return int64(n), true
	case int64:
		return n, true
	case uint8:
		return int64(n), true
	case uint16:
		return int64(n), true
	case uint32:
		return int64(n), true
	case uint64:
		return int64(n), n <= math.MaxInt64
	}
	return 0, false
}

// amount reads a finite number that is not negative.
func (f *fields) amount(key string, positive bool) float64 {
	n, ok := number(f.m[key])
	if !ok || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 || n > 1e12 || positive && n == 0 {
		f.fail(key, "must be a fitting number")
	}
	return n
}

// ValidID tells whether an id has the form that users' ids always have. It
// also keeps it inside the state service's limit for keys.
func ValidID(id ids.JobID) bool {
	const prefix = "job-"
	if len(id) <= len(prefix) || len(id) > 120 || id[:len(prefix)] != prefix {
		return false
	}
	for _, c := range []byte(id[len(prefix):]) {
		ok := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.'
		if !ok {
			return false
		}
	}
	return true
}

// unique keeps the first of each name, in order.
func unique[T comparable](list []T) []T {
	seen := make(map[T]bool, len(list))
	return slices.DeleteFunc(list, func(v T) bool {
		again := seen[v]
		seen[v] = true
		return again
	})
}

// ParseSubmission decodes and checks a submitted job.
func ParseSubmission(body []byte) (ids.JobID, *JobSpec, error) {
	if len(body) > MaxBody {
		return "", nil, fmt.Errorf("body is larger than %d bytes", MaxBody)
	}
	var m map[string]any
	if err := Decode(body, &m); err != nil {
		return "", nil, err
	}
	if m == nil {
		return "", nil, fmt.Errorf("body is not a map")
	}
	f := &fields{m: m}
	id := ids.JobID(f.text("nameId", 120))
	if f.err == nil && !ValidID(id) {
		f.fail("nameId", "is not a job id")
	}
	s := &JobSpec{
		Class:            f.text("workclass", 200),
		Team:             ids.Team(f.text("crew", 200)),
		CPUs:             f.amount("cpus", true),
		GPUs:             f.amount("accelerators", false),
		MemoryGB:         f.amount("memoryGb", false),
		Image:            ids.Image(f.text("bundle", 500)),
		ImageGB:          f.amount("pullGb", false),
		Zone:             ids.Zone(f.optText("hall", 200)),
		OneZone:          f.flag("oneZone"),
		Spread:           f.flag("spread"),
		Spot:             f.flag("loaner"),
		EstimateS:        f.amount("expectS", false),
		CheckpointEveryS: f.amount("snapshotEveryS", false),
		CheckpointS:      f.amount("snapshotS", false),
	}
	f.shape(s)
	s.Priority = f.priority()
	s.Tasks = f.taskCount()
	s.Types = f.machineTypes()
	s.DependsOn = f.dependencies()
	if m["dueS"] != nil {
		s.DeadlineS = f.amount("dueS", false)
	}
	if f.err != nil {
		return "", nil, f.err
	}
	return id, s, nil
}

// shape reads the kind of job.
func (f *fields) shape(s *JobSpec) {
	switch f.text("shape", 50) {
	case "batch":
	case "standing":
		s.Service = true
	case "ensemble":
		s.Gang = true
	default:
		f.fail("shape", "is not a shape of jobs")
	}
}

// priority reads the job's priority.
func (f *fields) priority() Priority {
	p, ok := priorities[f.text("urgency", 50)]
	if !ok {
		f.fail("urgency", "is not a priority")
	}
	return p
}

// taskCount reads the number of tasks.
func (f *fields) taskCount() int {
	n, ok := integer(f.m["legs"])
	if !ok || n < 1 || n > maxTasks {
		f.fail("legs", "must be a count from 1 to 100000")
	}
	return int(n)
}

// machineTypes reads the allowed machine types; none: any.
func (f *fields) machineTypes() []ids.MachineType {
	list, given := f.list("frames", "must be a list of names")
	if given && len(list) == 0 {
		f.fail("frames", "must name a machine type or be null")
	}
	var types []ids.MachineType
	for _, v := range list {
		name, ok := v.(string)
		if !ok || name == "" {
			f.fail("frames", "must be a list of names")
			break
		}
		types = append(types, ids.MachineType(name))
	}
	return unique(types)
}

// dependencies reads the jobs that must be done before this one starts.
func (f *fields) dependencies() []ids.JobID {
	list, _ := f.list("waitsOn", "must be a list of job ids")
	var jobs []ids.JobID
	for _, v := range list {
		name, _ := v.(string)
		if !ValidID(ids.JobID(name)) {
			f.fail("waitsOn", "must be a list of job ids")
			break
		}
		jobs = append(jobs, ids.JobID(name))
	}
	return unique(jobs)
}

// list reads a list that may be null or left out.
func (f *fields) list(key, want string) (list []any, given bool) {
	switch v := f.m[key].(type) {
	case nil:
		return nil, false
	case []any:
		return v, true
	}
	f.fail(key, want)
	return nil, false
}
