package peerapi

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Ping is the state of one controller, which the two sides of a ping exchange.
type Ping struct {
	// From is the sender.
	From ids.ControllerName `cbor:"1,keyasint"`
	// Leader, LeaderPeerAddress, Incarnation and Revision describe the latest leader that the
	// sender knows. All but Revision are zero if the key of that leader was deleted.
	Leader            ids.ControllerName        `cbor:"2,keyasint"`
	LeaderPeerAddress string                    `cbor:"3,keyasint"`
	Incarnation       ids.ControllerIncarnation `cbor:"4,keyasint"`
	Revision          ids.Revision              `cbor:"5,keyasint"`
	// StoreReachable is set while the sender reaches the key-value store.
	StoreReachable bool `cbor:"6,keyasint"`
	// Workers is how many workers send their heartbeats to the sender.
	Workers int `cbor:"7,keyasint"`
	// Uptime is for how long the sender's process has run, and AcknowledgedRevision the
	// revision up to which a leader has acknowledged all cancellations. Older controllers send
	// neither.
	Uptime               time.Duration `cbor:"11,keyasint,omitempty"`
	AcknowledgedRevision ids.Revision  `cbor:"12,keyasint,omitempty"`
	Versions
}

// RecordFormat is the version of the stored records that this program writes once every
// controller can read it. A controller that sends no version, or a lower one, is older.
const RecordFormat = 2

// Versions is the part of a Ping about the versions of controllers. Older controllers ignore it,
// and do not send it.
type Versions struct {
	Format int `cbor:"8,keyasint,omitempty"`
	// Upgraded names the controllers whose own pings had RecordFormat or more, so that two
	// controllers that cannot reach each other learn each other's version from a third.
	Upgraded []ids.ControllerName `cbor:"9,keyasint,omitempty"`
	// Durable is set once records.FormatKey is known to be written.
	Durable bool `cbor:"10,keyasint,omitempty"`
}

// StoreCall is a request to the key-value store that a peer forwards.
type StoreCall struct {
	Method    string `cbor:"1,keyasint"`
	Path      string `cbor:"2,keyasint"`
	Body      []byte `cbor:"3,keyasint"`
	TimeoutMS int64  `cbor:"4,keyasint"`
}

// StoreAnswer is the answer of the key-value store to a StoreCall.
type StoreAnswer struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
	// NotSent is set if the request never reached the store.
	NotSent bool `cbor:"3,keyasint"`
	// Indeterminate is set if the request may have been executed, or may yet be.
	Indeterminate bool `cbor:"4,keyasint"`
}

// JobProgress is how many tasks of a job are done and running.
type JobProgress struct {
	Done    int `cbor:"1,keyasint"`
	Running int `cbor:"2,keyasint"`
}

// JobNotice sends a job's record to the leader before the leader's watch returns it. The answer
// is true if the leader observed the record while it held its lease and no earlier leader can
// keep tasks of the job. Older leaders answer true as soon as the record is queued.
type JobNotice struct {
	ID       ids.JobID    `cbor:"1,keyasint"`
	Record   []byte       `cbor:"2,keyasint"`
	Revision ids.Revision `cbor:"3,keyasint"`
}

// NewJobNotice makes the notice of a job's record at a revision.
func NewJobNotice(id ids.JobID, record *records.Job, revision ids.Revision) JobNotice {
	return JobNotice{ID: id, Record: wire.Encode(record), Revision: revision}
}

// HeartbeatAnswer is the leader's answer to one relayed heartbeat. Response is valid only if OK
// is set; otherwise the heartbeat is not answered.
type HeartbeatAnswer struct {
	OK       bool                   `cbor:"1,keyasint"`
	Response wire.HeartbeatResponse `cbor:"2,keyasint"`
}
