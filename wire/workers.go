package wire

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// TaskState is the state of a task in a worker's heartbeat.
type TaskState string

// The states of a task.
const (
	TaskFetching      TaskState = "pulling"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskEnded         TaskState = "ended"
)

// ExitCause is the reason why a task ended.
type ExitCause string

// The causes of a task's end. The last three mean that the worker refused the start.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped" // by a command
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"    // too few free resources on the machine
	CauseInUse   ExitCause = "in_use"  // the machine has another attempt of the task
	CauseNoSuch  ExitCause = "no_such" // the worker found no such job or task
)

// Verb is what a command asks of a worker.
type Verb string

// The verbs of commands. VerbReap has the worker forget a task that ended.
const (
	VerbRun  Verb = "run"
	VerbKill Verb = "kill"
	VerbReap Verb = "reap"
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	// Name is the task's name, such as job-000412/3; see ids.ParseTask.
	Name    string      `msgpack:"leg"`
	Attempt ids.Attempt `msgpack:"try"`
	State   TaskState   `msgpack:"status"`
	// Cause is set once State is TaskEnded.
	Cause ExitCause `msgpack:"cause"`
	// Checkpointed reports whether a stopped task has stored a checkpoint.
	Checkpointed bool `msgpack:"stored"`
}

// Heartbeat is the status that a worker sends to a controller.
type Heartbeat struct {
	Machine     ids.MachineID        `msgpack:"host"`
	Endpoint    string               `msgpack:"endpoint"` // host:port of the worker
	Type        ids.MachineType      `msgpack:"frame"`
	Zone        ids.Zone             `msgpack:"hall"`
	Spot        bool                 `msgpack:"loaner"`
	Incarnation ids.AgentIncarnation `msgpack:"tenure"`
	Sequence    ids.Sequence         `msgpack:"tick"`
	// FencingToken is the largest that the worker has seen.
	FencingToken ids.FencingToken `msgpack:"baton"`
	// SpotNoticeS is how long a spot instance still has; nil means that the cloud has not
	// announced its termination.
	SpotNoticeS *float64     `msgpack:"warningS"`
	Tasks       []TaskStatus `msgpack:"legs"`
}

// ParseHeartbeat decodes a heartbeat, which must name its machine and incarnation. An error wraps
// ErrMalformedBody.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := Decode(body, heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		return nil, fmt.Errorf("%w: heartbeat without machine or incarnation", ErrMalformedBody)
	}
	return heartbeat, nil
}

// Newer reports whether the heartbeat was made after the message of the same worker that
// has the given incarnation and sequence number.
func (h *Heartbeat) Newer(incarnation ids.AgentIncarnation, sequence ids.Sequence) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// Command is one command to a worker.
type Command struct {
	Verb Verb `msgpack:"verb" cbor:"1,keyasint"`
	// Name is the task's name, such as job-000412/3.
	Name    string      `msgpack:"leg" cbor:"2,keyasint"`
	Attempt ids.Attempt `msgpack:"try" cbor:"3,keyasint"`
	// GraceS is how long a killed task may take to store a checkpoint. If that is less than
	// the job's CheckpointS, the task ends at once.
	GraceS float64 `msgpack:"leewayS" cbor:"4,keyasint"`
}

// HeartbeatResponse is the leader's response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken ids.FencingToken `msgpack:"baton" cbor:"1,keyasint"`
	Commands     []Command        `msgpack:"orders" cbor:"2,keyasint"`
}

// CommandBatch holds commands that the leader sends to a worker between heartbeats. The
// worker refuses them if the token is smaller than one that it has seen, or if its
// incarnation is another.
type CommandBatch struct {
	FencingToken ids.FencingToken     `msgpack:"baton"`
	Incarnation  ids.AgentIncarnation `msgpack:"tenure"`
	Commands     []Command            `msgpack:"orders"`
}

// Redirect is a follower's response to a heartbeat. Leader is the controller to send
// heartbeats to; empty means that the follower knows of no leader.
type Redirect struct {
	Leader ids.ControllerName `msgpack:"steward,omitempty"`
}
