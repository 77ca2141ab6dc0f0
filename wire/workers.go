package wire

import (
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// TaskState represents the state of a task in a worker's heartbeat.
type TaskState string

// The states of a task. The leader treats an unknown state as one that has not ended.
const (
	TaskFetching      TaskState = "pulling"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskEnded         TaskState = "ended"
)

// ExitCause represents the reason why a task ended.
type ExitCause string

// The causes of a task's end. With the last three the worker refused to start the task. The
// leader treats an unknown cause like CauseStopped.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped" // by a command
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"    // too few free resources on the machine
	CauseInUse   ExitCause = "in_use"  // another attempt of the task is on the machine
	CauseNoSuch  ExitCause = "no_such" // the worker found no such job or task
)

// Verb represents the action that a command requests of a worker.
type Verb string

// The verbs of commands. VerbReap makes the worker forget a task that has ended.
const (
	VerbRun  Verb = "run"
	VerbKill Verb = "kill"
	VerbReap Verb = "reap"
)

// TaskStatus holds the status of one task in a heartbeat. The leader ignores a task with a
// malformed name.
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

// Heartbeat is a worker's status. A worker sends it to a controller, which responds with a
// HeartbeatResponse or a Redirect. It is also the worker's response to a CommandBatch and to a
// request for a heartbeat.
type Heartbeat struct {
	Machine ids.MachineID `msgpack:"host"`
	// Endpoint is host:port of the worker. An empty one leaves the known endpoint unchanged.
	Endpoint    string               `msgpack:"endpoint"`
	Type        ids.MachineType      `msgpack:"frame"`
	Zone        ids.Zone             `msgpack:"hall"`
	Spot        bool                 `msgpack:"loaner"`
	Incarnation ids.AgentIncarnation `msgpack:"tenure"`
	Sequence    ids.Sequence         `msgpack:"tick"`
	// FencingToken is the largest token that the worker has seen.
	FencingToken ids.FencingToken `msgpack:"baton"`
	// SpotNoticeS is the time until the cloud terminates the spot instance; nil or missing
	// means that the cloud has not announced a termination.
	SpotNoticeS *float64     `msgpack:"warningS"`
	Tasks       []TaskStatus `msgpack:"legs"`
}

const (
	// heartbeatHeaderBytes bounds the size of all fields of a heartbeat but its tasks, in bytes of JSON.
	heartbeatHeaderBytes = 1 << 10
	// MaxHeartbeatTasksBytes is the space for the tasks in a heartbeat, in bytes of JSON, the form in
	// which the protocol measures bodies. A heartbeat with more is larger than MaxBodyBytes, and no
	// controller accepts it.
	MaxHeartbeatTasksBytes = MaxBodyBytes - heartbeatHeaderBytes
	// longestTaskStatus is the JSON form of the longest task status and its separator, without the job ID.
	longestTaskStatus = `{"leg":"/99999","try":9999999999,"status":"flushing","cause":"stopped","stored":false},`
)

// MaxTaskStatusBytes returns the space that a task of a job takes in a heartbeat at most, in bytes of
// JSON. Its MessagePack form is not larger.
func MaxTaskStatusBytes(id ids.JobID) int { return len(longestTaskStatus) + len(id) }

// ParseHeartbeat decodes a heartbeat, which must name its machine and incarnation. Every error
// wraps ErrMalformedBody.
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

// Command holds one command of the leader to a worker.
type Command struct {
	Verb Verb `msgpack:"verb" cbor:"1,keyasint"`
	// Name is the task's name, such as job-000412/3.
	Name    string      `msgpack:"leg" cbor:"2,keyasint"`
	Attempt ids.Attempt `msgpack:"try" cbor:"3,keyasint"`
	// GraceS is the time that a killed task gets to store a checkpoint. If it is less than the
	// job's CheckpointS, the task ends immediately.
	GraceS float64 `msgpack:"leewayS" cbor:"4,keyasint"`
}

// HeartbeatResponse is the leader's response to a worker's heartbeat. A follower relays it from
// the leader in CBOR. Commands is sent even if empty.
type HeartbeatResponse struct {
	FencingToken ids.FencingToken `msgpack:"baton" cbor:"1,keyasint"`
	Commands     []Command        `msgpack:"orders" cbor:"2,keyasint"`
}

// CommandBatch holds commands that the leader sends to a worker between heartbeats. The worker
// responds with a Heartbeat in any case. It rejects the commands if the token is smaller than
// one that it has seen, or if its incarnation differs. Commands is sent even if empty.
type CommandBatch struct {
	FencingToken ids.FencingToken     `msgpack:"baton"`
	Incarnation  ids.AgentIncarnation `msgpack:"tenure"`
	Commands     []Command            `msgpack:"orders"`
}

// Redirect is a controller's response to a heartbeat that the worker should send elsewhere.
// Target is the controller to send heartbeats to; missing means that the sender knows no leader.
type Redirect struct {
	Target ids.ControllerName `msgpack:"steward,omitempty"`
}
