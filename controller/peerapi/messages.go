package peerapi

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Ping is what controllers tell each other about themselves, as request and as answer.
type Ping struct {
	From        ids.ControllerName        `cbor:"1,keyasint"`
	Leader      ids.ControllerName        `cbor:"2,keyasint"`
	Mesh        string                    `cbor:"3,keyasint"`
	Incarnation ids.ControllerIncarnation `cbor:"4,keyasint"`
	Revision    ids.Revision              `cbor:"5,keyasint"`
	// StateOK tells that the sender reaches the key-value store.
	StateOK bool `cbor:"6,keyasint"`
	// Workers is how many workers send their heartbeats to the sender.
	Workers int `cbor:"7,keyasint"`
	// Up is for how long the sender's process has run, and Acked the revision up to which
	// a leader has acknowledged all cancellations. Older controllers lack both.
	Up    time.Duration `cbor:"11,keyasint,omitempty"`
	Acked ids.Revision  `cbor:"12,keyasint,omitempty"`
	Versions
}

// RecordFormat is the version of the stored records that this program writes once every
// controller can read it. A controller that tells no version, or a lower one, is older.
const RecordFormat = 2

// Versions is what a Ping tells about versions of controllers. Older controllers ignore it,
// and their own pings lack it.
type Versions struct {
	Format int `cbor:"8,keyasint,omitempty"`
	// Seen names the controllers whose own pings told RecordFormat or more: two that
	// cannot reach each other learn of each other from a third.
	Seen []ids.ControllerName `cbor:"9,keyasint,omitempty"`
	// Durable tells that records.FormatKey is known to be written.
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
	// NotSent tells that the request never reached the store.
	NotSent bool `cbor:"3,keyasint"`
	// Unknown tells that the request may have been carried out, or may yet be.
	Unknown bool `cbor:"4,keyasint"`
}

// JobProgress is how many tasks of a job are done and running.
type JobProgress struct {
	Done    int `cbor:"1,keyasint"`
	Running int `cbor:"2,keyasint"`
}

// JobNotice hands a job's record to the leader at once; the leader's watch would bring it
// later. The answer tells whether the leader took the record in while it held its lease and
// no earlier leader can keep tasks of the job. Older leaders answer true as soon as the
// record is queued.
type JobNotice struct {
	ID       ids.JobID    `cbor:"1,keyasint"`
	Record   []byte       `cbor:"2,keyasint"`
	Revision ids.Revision `cbor:"3,keyasint"`
}

// NewJobNotice makes the notice of a job's record at a revision.
func NewJobNotice(id ids.JobID, record *records.Job, revision ids.Revision) JobNotice {
	return JobNotice{ID: id, Record: wire.Encode(record), Revision: revision}
}

// HeartbeatAnswer is the leader's answer to one relayed heartbeat. Orders counts only if OK.
type HeartbeatAnswer struct {
	OK     bool                   `cbor:"1,keyasint"`
	Orders wire.HeartbeatResponse `cbor:"2,keyasint"`
}
