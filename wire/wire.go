// Package wire holds the MessagePack bodies of PROTOCOL-ospreystile.md and the
// checks on what users send. Protocol words stay in this package's tags; the
// rest of the program uses the plain terms.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
)

// MaxBody is the protocol's limit for request bodies in bytes.
const MaxBody = 64 << 10

// Encode writes a value as MessagePack.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return buf.Bytes()
}

// JSONSize is how large a value is for the limits of the state service, which are
// measured in the JSON form. raw is its MessagePack form.
func JSONSize(raw []byte) (int, error) {
	var v any
	if err := Decode(raw, &v); err != nil {
		return 0, err
	}
	text, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("wire: %w", err)
	}
	return len(text), nil
}

// ExceedsJSONSize tells whether a value is larger than a limit in bytes; 0: no limit. One
// byte of MessagePack never becomes more than six of JSON, so most values need
// not be written out to know.
func ExceedsJSONSize(v any, limit int) bool {
	if limit <= 0 {
		return false
	}
	raw := Encode(v)
	if 6*len(raw) <= limit {
		return false
	}
	n, err := JSONSize(raw)
	return err != nil || n > limit
}

// Decode reads one MessagePack value that must fill the whole body. Decoders
// of third parties have panicked on hostile input before; a panic is an error
// of the input here.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("wire: malformed body: %v", p)
		}
	}()
	// The decoder makes room for as many elements as a head announces, so
	// five bytes could take all memory. Skipping makes no room, and fails
	// where the body is shorter than its heads say.
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Skip(); err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	if r.Len() > 0 {
		return errors.New("wire: bytes after the body")
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	return nil
}

// JobState is a job's state, as users are told and as its record holds it.
type JobState string

// The states of a job. Records never say that a job is running.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// TaskState is the state of a task in a worker's report.
type TaskState string

// The states of a task.
const (
	TaskFetching      TaskState = "pulling"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskEnded         TaskState = "ended"
)

// ExitCause tells why a task ended.
type ExitCause string

// The causes of a task's end.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped"
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"
	CauseInUse   ExitCause = "in_use"
	CauseNoSuch  ExitCause = "no_such"
)

// Verb tells what a command asks of a worker.
type Verb string

// The verbs of commands.
const (
	VerbRun  Verb = "run"
	VerbKill Verb = "kill"
	VerbReap Verb = "reap"
)

// MachineStatus is the status of a machine in the cloud's list.
type MachineStatus string

// The statuses of a machine that decisions depend on.
const (
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// JobStatus is the answer about a job.
type JobStatus struct {
	ID      ids.JobID `msgpack:"nameId"`
	Status  JobState  `msgpack:"status"`
	Done    int       `msgpack:"done"`
	Running int       `msgpack:"running"`
}

// TaskStatus is one task of a worker's report.
type TaskStatus struct {
	Name         string      `msgpack:"leg"`
	Attempt      ids.Attempt `msgpack:"try"`
	State        TaskState   `msgpack:"status"`
	Cause        ExitCause   `msgpack:"cause"`
	Checkpointed bool        `msgpack:"stored"`
}

// Heartbeat is what a worker says about itself.
type Heartbeat struct {
	Machine      ids.MachineID        `msgpack:"host"`
	Endpoint     string               `msgpack:"endpoint"`
	Type         ids.MachineType      `msgpack:"frame"`
	Zone         ids.Zone             `msgpack:"hall"`
	Spot         bool                 `msgpack:"loaner"`
	Incarnation  ids.AgentIncarnation `msgpack:"tenure"`
	Sequence     ids.Sequence         `msgpack:"tick"`
	FencingToken ids.FencingToken     `msgpack:"baton"`
	SpotNoticeS  *float64             `msgpack:"warningS"`
	Tasks        []TaskStatus         `msgpack:"legs"`
}

// Newer tells whether r was made after the message with the given tenure and
// tick.
func (r *Heartbeat) Newer(t ids.AgentIncarnation, k ids.Sequence) bool {
	return r.Incarnation > t || r.Incarnation == t && r.Sequence > k
}

// Command is one command to a worker.
type Command struct {
	Verb    Verb        `msgpack:"verb" cbor:"1,keyasint"`
	Name    string      `msgpack:"leg" cbor:"2,keyasint"`
	Attempt ids.Attempt `msgpack:"try" cbor:"3,keyasint"`
	GraceS  float64     `msgpack:"leewayS" cbor:"4,keyasint"`
}

// HeartbeatResponse is the answer to a worker's report.
type HeartbeatResponse struct {
	FencingToken ids.FencingToken `msgpack:"baton" cbor:"1,keyasint"`
	Commands     []Command        `msgpack:"orders" cbor:"2,keyasint"`
}

// CommandBatch holds commands that are sent straight to a worker.
type CommandBatch struct {
	FencingToken ids.FencingToken     `msgpack:"baton"`
	Incarnation  ids.AgentIncarnation `msgpack:"tenure"`
	Commands     []Command            `msgpack:"orders"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	Leader ids.ControllerName `msgpack:"steward,omitempty"`
}

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      ids.MachineType `msgpack:"label"`
	CPUs      float64         `msgpack:"cpus"`
	GPUs      float64         `msgpack:"accelerators"`
	MemoryGB  float64         `msgpack:"memoryGb"`
	CacheGB   float64         `msgpack:"localGb"`
	FetchGBps float64         `msgpack:"pullGbPerS"`
	Price     float64         `msgpack:"hourly"`
	SpotPrice float64         `msgpack:"marketPrice"`
	BootS     float64         `msgpack:"readyS"`
	Zones     []ids.Zone      `msgpack:"halls"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"frames"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	RequestID string          `msgpack:"booking"`
	Type      ids.MachineType `msgpack:"frame"`
	Zone      ids.Zone        `msgpack:"hall"`
	Spot      bool            `msgpack:"loaner"`
	Count     int             `msgpack:"number"`
}

// MachineIDs names machines of the cloud.
type MachineIDs struct {
	IDs []ids.MachineID `msgpack:"hosts"`
}

// Machine is one entry of the cloud's machine list.
type Machine struct {
	ID       ids.MachineID   `msgpack:"nameId"`
	Endpoint string          `msgpack:"endpoint"`
	Type     ids.MachineType `msgpack:"frame"`
	Zone     ids.Zone        `msgpack:"hall"`
	Spot     bool            `msgpack:"loaner"`
	Status   MachineStatus   `msgpack:"status"`
	AgeS     float64         `msgpack:"ageS"`
}

// MachinePage is a page of the cloud's machine list.
type MachinePage struct {
	Machines []Machine `msgpack:"hosts"`
	More     bool      `msgpack:"hasNext"`
}
