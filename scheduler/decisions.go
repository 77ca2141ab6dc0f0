package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Decisions holds the decisions made since the last Step.
type Decisions struct {
	// RecordChanges lists changes to commit. Their results should be passed to Core.CommitResult.
	RecordChanges []records.Change
	// SendCommands lists machines to which commands should be sent now. See Core.TakeCommands.
	SendCommands []ids.MachineID
	// RequestHeartbeats lists machines that should be asked for a heartbeat.
	RequestHeartbeats []ids.MachineID
	Provision         []wire.ProvisionRequest
	// Terminate lists machines to terminate while the leader holds its lease. TerminateCancelled lists
	// machines that hold a task of a cancelled job. They must be terminated before the cancel deadline,
	// and so also without the lease. A machine may be in both lists. The cloud's confirmations should be
	// passed to Core.MachinesTerminated.
	Terminate, TerminateCancelled []ids.MachineID
	// RereadJobs lists jobs whose records should be read again and passed to Core.ObserveJob.
	RereadJobs []ids.JobID
	// ForgetAddresses lists the addresses of machines that are being terminated.
	ForgetAddresses []string
	// ZoneEvents lists changes of zones' conditions, for logging.
	ZoneEvents []zonerecovery.Transition
}
