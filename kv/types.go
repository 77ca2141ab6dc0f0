package kv

import (
	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
)

// Entry holds a key, its value and the revision that wrote it last.
type Entry struct {
	Key      string             `msgpack:"key"`
	Value    msgpack.RawMessage `msgpack:"v"`
	Revision ids.Revision       `msgpack:"stamp"`
	// Lease is the lease that the key is attached to; 0 means none.
	Lease ids.LeaseID `msgpack:"hold"`
}

// Precondition requires that a key was last written at a revision. Revision 0 requires that
// the key does not exist.
type Precondition struct {
	Key      string       `msgpack:"key"`
	Revision ids.Revision `msgpack:"stamp"`
}

// Operation is one change of a transaction. It puts PutKey or deletes DeleteKey; only one is set.
type Operation struct {
	PutKey string `msgpack:"write,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	// Lease is the lease that the key is attached to; 0 means none.
	Lease     ids.LeaseID `msgpack:"hold,omitempty"`
	DeleteKey string      `msgpack:"drop,omitempty"`
}

// Txn is a compare-and-swap transaction: all operations are applied if all preconditions hold,
// and none otherwise.
type Txn struct {
	Preconditions []Precondition `msgpack:"guards"`
	Operations    []Operation    `msgpack:"apply,omitempty"`
}

// TxnResult holds the definite result of a transaction.
type TxnResult struct {
	// Applied reports whether the transaction was applied.
	Applied bool
	// Revision is the transaction's revision if it was applied, and the store's revision otherwise.
	Revision ids.Revision
	// FailedKeys are the keys whose preconditions did not hold.
	FailedKeys []string
}

// Event holds one change that a watch returns. Either PutKey or DeletedKey is set.
type Event struct {
	PutKey     string             `msgpack:"write"`
	DeletedKey string             `msgpack:"drop"`
	Value      msgpack.RawMessage `msgpack:"v"`
	Revision   ids.Revision       `msgpack:"stamp"`
}
