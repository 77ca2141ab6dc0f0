package wire

import "ospreystile.example/ospreystile/ids"

// MachineStatus represents the status of a machine in the cloud's list.
type MachineStatus string

// The machine statuses that decisions depend on. The cloud also reports others.
const (
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// MachineType holds one entry of the cloud's catalog. The cloud client rejects a catalog in
// which a type has no name, no CPUs, or a negative memory size, price or boot time.
type MachineType struct {
	Name      ids.MachineType `msgpack:"label"`
	CPUs      float64         `msgpack:"cpus"`
	GPUs      float64         `msgpack:"accelerators"`
	MemoryGB  float64         `msgpack:"memoryGb"`
	CacheGB   float64         `msgpack:"localGb"`    // local disk that caches images
	FetchGBps float64         `msgpack:"pullGbPerS"` // gigabytes per second
	Price     float64         `msgpack:"hourly"`     // per hour, on demand
	SpotPrice float64         `msgpack:"marketPrice"`
	BootS     float64         `msgpack:"readyS"`
	Zones     []ids.Zone      `msgpack:"halls"`
}

// Catalog holds the cloud's machine types. It is the cloud's response to a controller.
type Catalog struct {
	Types []MachineType `msgpack:"frames"`
}

// ProvisionRequest is the leader's request for machines. The cloud responds with MachineIDs.
// A repeated request with the same RequestID gets the same machines, so it is idempotent.
type ProvisionRequest struct {
	RequestID string          `msgpack:"booking"`
	Type      ids.MachineType `msgpack:"frame"`
	Zone      ids.Zone        `msgpack:"hall"`
	Spot      bool            `msgpack:"loaner"`
	Count     int             `msgpack:"number"`
}

// MachineIDs lists the machines that the cloud provisioned, in its response to a
// ProvisionRequest, or those to terminate, in the leader's termination request.
type MachineIDs struct {
	IDs []ids.MachineID `msgpack:"hosts"`
}

// Machine holds one entry of the cloud's machine list. An empty Endpoint leaves the known one
// unchanged.
type Machine struct {
	ID       ids.MachineID   `msgpack:"nameId"`
	Endpoint string          `msgpack:"endpoint"` // host:port of the worker
	Type     ids.MachineType `msgpack:"frame"`
	Zone     ids.Zone        `msgpack:"hall"`
	Spot     bool            `msgpack:"loaner"`
	Status   MachineStatus   `msgpack:"status"`
	AgeS     float64         `msgpack:"ageS"` // since the machine was provisioned
}

// MachinePage holds a page of the cloud's machine list, sorted by machine ID. The cloud responds
// with it to the leader. More reports whether another page follows; if missing, none does.
type MachinePage struct {
	Machines []Machine `msgpack:"hosts"`
	More     bool      `msgpack:"hasNext"`
}
