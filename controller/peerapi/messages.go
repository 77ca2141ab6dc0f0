package peerapi

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Ping holds the state of one controller. The request and the answer of a ping both are a Ping.
type Ping struct {
	// From is the sender.
	From ids.ControllerName `cbor:"1,keyasint"`
	// Leader, LeaderPeerAddress, Incarnation and Revision describe the latest leader that the sender
	// knows. All but Revision are zero if the leader key was deleted.
	Leader            ids.ControllerName        `cbor:"2,keyasint"`
	LeaderPeerAddress string                    `cbor:"3,keyasint"`
	Incarnation       ids.ControllerIncarnation `cbor:"4,keyasint"`
	Revision          ids.Revision              `cbor:"5,keyasint"`
	// StoreReachable reports whether the sender can reach the key-value store.
	StoreReachable bool `cbor:"6,keyasint"`
	// Workers is the number of workers that send their heartbeats to the sender.
	Workers int `cbor:"7,keyasint"`
	// Uptime is the time since the sender's process started, and AcknowledgedRevision the revision
	// up to which a leader has acknowledged all cancellations. Controllers of older versions send
	// neither.
	Uptime               time.Duration `cbor:"11,keyasint,omitempty"`
	AcknowledgedRevision ids.Revision  `cbor:"12,keyasint,omitempty"`
	Versions
}

// RecordFormat is the format version of the stored records that this program writes once every
// controller can read it. A controller that sends no format version or a lower one is older.
const RecordFormat = 2

// Versions holds the part of a Ping about the versions of controllers. Controllers of older versions do
// not send it, and ignore it.
type Versions struct {
	Format int `cbor:"8,keyasint,omitempty"`
	// Upgraded lists the controllers whose pings to the sender had at least RecordFormat. Two
	// controllers that cannot reach each other learn each other's version from a third.
	Upgraded []ids.ControllerName `cbor:"9,keyasint,omitempty"`
	// Durable reports whether the sender knows that records.FormatKey has been written.
	Durable bool `cbor:"10,keyasint,omitempty"`
}

// StoreCall represents a request to the key-value store that a peer forwards.
type StoreCall struct {
	Method    string `cbor:"1,keyasint"`
	Path      string `cbor:"2,keyasint"`
	Body      []byte `cbor:"3,keyasint"`
	TimeoutMS int64  `cbor:"4,keyasint"`
}

// StoreResponse holds the response of the key-value store to a StoreCall.
type StoreResponse struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
	// NotSent reports whether the request was never sent to the store.
	NotSent bool `cbor:"3,keyasint"`
	// Indeterminate reports whether the request may have been executed, or may still be executed.
	Indeterminate bool `cbor:"4,keyasint"`
}

// JobProgress holds the number of a job's tasks that are done and that are running.
type JobProgress struct {
	Done    int `cbor:"1,keyasint"`
	Running int `cbor:"2,keyasint"`
}

// JobNotice holds a job's record, which is sent to the leader before the leader's watch returns it. The
// answer reports whether the leader observed the record while it held its lease and no previous leader
// can keep tasks of the job running beyond the cancel deadline. Leaders of older versions answer true as
// soon as the record is queued.
type JobNotice struct {
	ID       ids.JobID    `cbor:"1,keyasint"`
	Record   []byte       `cbor:"2,keyasint"`
	Revision ids.Revision `cbor:"3,keyasint"`
}

// NewJobNotice returns the notice of a job's record at a revision.
func NewJobNotice(id ids.JobID, record *records.Job, revision ids.Revision) JobNotice {
	return JobNotice{ID: id, Record: wire.Encode(record), Revision: revision}
}

// HeartbeatAnswer holds the leader's answer to one relayed heartbeat. OK reports whether the heartbeat
// is answered. Response is valid only if OK is true.
type HeartbeatAnswer struct {
	OK       bool                   `cbor:"1,keyasint"`
	Response wire.HeartbeatResponse `cbor:"2,keyasint"`
}
