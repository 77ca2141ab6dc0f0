// Package ids defines the identifiers and version numbers that the packages pass to each
// other. Each has a type of its own, so that the compiler distinguishes a job from a machine and
// a revision from an attempt. The values are plain data; the package holds no state.
package ids

type (
	// JobID is the name that a user gave a job.
	JobID string
	// MachineID is the name that the cloud gave a machine.
	MachineID string
	// ControllerName is the host name of a controller.
	ControllerName string
	// Team is the name of a team that owns quota.
	Team string
	// Zone is the name of a zone.
	Zone string
	// Image is the name of a task image.
	Image string
	// MachineType is the name of a machine type.
	MachineType string
	// Attempt numbers the starts of one task; no number is used twice.
	Attempt uint64
	// Revision is a revision of the key-value store.
	Revision uint64
	// LeaseID identifies a lease of the key-value store.
	LeaseID uint64
	// AgentIncarnation numbers the incarnations of a worker's agent from 1. It grows when the
	// agent's lease expires, which also ends the agent's tasks.
	AgentIncarnation uint64
	// Sequence numbers the messages of one incarnation of a worker's agent.
	Sequence uint64
	// ControllerIncarnation is a random number that distinguishes one process of a controller
	// from the next.
	ControllerIncarnation uint64
)
