// Package ids holds the small types for ids, versions and times that the
// rest of the program passes around.
package ids

import (
	"context"
	"strconv"
	"strings"
	"time"
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

// Instant is a reading of a steady clock.
type Instant time.Duration

// Add moves an instant.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub is the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Clock tells steady time. Tests put their own in its place.
type Clock interface{ Now() Instant }

type steady struct{ start time.Time }

// Steady returns the process's steady clock. It starts above zero so that the
// zero Instant always lies in the past.
func Steady() Clock { return steady{time.Now().Add(-time.Hour)} }

func (s steady) Now() Instant { return Instant(time.Since(s.start)) }

// Seconds turns a decimal count of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Drift widens a wait so that it has surely passed on another machine's
// steady clock, which may differ by 0.05% from true time, as may ours.
func Drift(d time.Duration) time.Duration { return d + d/500 + 10*time.Millisecond }

// Pause waits for a time; it is false if the context ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
