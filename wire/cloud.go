package wire

import "ospreystile.example/ospreystile/ids"

// MachineStatus is the status of a machine in the cloud's list.
type MachineStatus string

// The statuses of a machine that decisions depend on. The cloud has others.
const (
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      ids.MachineType `msgpack:"label"`
	CPUs      float64         `msgpack:"cpus"`
	GPUs      float64         `msgpack:"accelerators"`
	MemoryGB  float64         `msgpack:"memoryGb"`
	CacheGB   float64         `msgpack:"localGb"`    // local disk for images
	FetchGBps float64         `msgpack:"pullGbPerS"` // gigabytes per second
	Price     float64         `msgpack:"hourly"`     // per hour, on demand
	SpotPrice float64         `msgpack:"marketPrice"`
	BootS     float64         `msgpack:"readyS"`
	Zones     []ids.Zone      `msgpack:"halls"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"frames"`
}

// ProvisionRequest asks the cloud for machines. A request with a RequestID that the cloud
// has served already gets the same machines again.
type ProvisionRequest struct {
	RequestID string          `msgpack:"booking"`
	Type      ids.MachineType `msgpack:"frame"`
	Zone      ids.Zone        `msgpack:"hall"`
	Spot      bool            `msgpack:"loaner"`
	Count     int             `msgpack:"number"`
}

// MachineIDs lists machines: those that the cloud provisioned, or those to terminate.
type MachineIDs struct {
	IDs []ids.MachineID `msgpack:"hosts"`
}

// Machine is one entry of the cloud's machine list.
type Machine struct {
	ID       ids.MachineID   `msgpack:"nameId"`
	Endpoint string          `msgpack:"endpoint"` // host:port of the worker
	Type     ids.MachineType `msgpack:"frame"`
	Zone     ids.Zone        `msgpack:"hall"`
	Spot     bool            `msgpack:"loaner"`
	Status   MachineStatus   `msgpack:"status"`
	AgeS     float64         `msgpack:"ageS"` // since the machine was provisioned
}

// MachinePage is a page of the cloud's machine list, in the order of the machines' IDs.
// More reports whether another page follows.
type MachinePage struct {
	Machines []Machine `msgpack:"hosts"`
	More     bool      `msgpack:"hasNext"`
}
