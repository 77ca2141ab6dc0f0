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
	Terminate         []ids.MachineID
	// RereadJobs lists jobs whose records should be read again and passed to Core.ObserveJob.
	RereadJobs []ids.JobID
	// ForgetAddresses lists the addresses of machines that are being terminated.
	ForgetAddresses []string
	// ZoneEvents lists changes of zones' conditions, for logging.
	ZoneEvents []zonerecovery.Transition
}
