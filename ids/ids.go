// Package ids holds the typed identifiers and version numbers that the packages pass
// to each other, so that the compiler tells a job from a machine and a revision from
// an attempt.
package ids

import (
	"strconv"
	"strings"
)

type (
	// JobID is a user's name for a job.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// ControllerName is a controller's host name.
	ControllerName string
	// Team is the name of a team that owns quota.
	Team string
	// Zone is the name of a zone.
	Zone string
	// Image is the name of a task image.
	Image string
	// MachineType is the name of a machine type.
	MachineType string
	// Attempt numbers the starts of one task; a number is never used twice.
	Attempt uint64
	// Revision is a revision of the state service.
	Revision uint64
	// LeaseID names a lease of the state service.
	LeaseID uint64
	// AgentIncarnation counts a worker's sessions.
	AgentIncarnation uint64
	// Sequence counts a worker's messages.
	Sequence uint64
	// ControllerIncarnation tells one process of a controller from the next.
	ControllerIncarnation uint64
)

// FencingToken is the fencing token that workers compare: the leader's revision in the
// high bits and a per-worker counter in the low ones.
type FencingToken uint64

const counterBits = 20

// NewFencingToken makes the token of a leader's revision and a worker's counter.
func NewFencingToken(s Revision, counter uint64) FencingToken {
	return FencingToken(uint64(s)<<counterBits | counter&(1<<counterBits-1))
}

// Revision returns the leader's revision inside the token.
func (t FencingToken) Revision() Revision { return Revision(t >> counterBits) }

// TaskRef names one task of a job.
type TaskRef struct {
	Job   JobID
	Index int
}

// String is the task's name on the wire, such as job-000412/3.
func (r TaskRef) String() string { return string(r.Job) + "/" + strconv.Itoa(r.Index) }

// ParseTask reads a task's wire name.
func ParseTask(s string) (TaskRef, bool) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskRef{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskRef{}, false
	}
	return TaskRef{JobID(s[:i]), n}, true
}
