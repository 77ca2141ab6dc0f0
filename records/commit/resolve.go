package commit

import (
	"context"
	"errors"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// resolve determines what the refusal of a repeated transaction means: an earlier sending of
// it was applied and changed the revisions, or none was applied. definite is false if the store
// could not be read.
func (c *Committer) resolve(ctx context.Context, refusal answer, txn kv.Txn) (a answer, definite bool) {
	revision, applied, err := c.findApplied(ctx, txn)
	switch {
	case err != nil:
		return answer{batch: refusal.batch, err: err}, false
	case applied:
		return answer{batch: refusal.batch, result: kv.TxnResult{Applied: true, Revision: revision}}, true
	case !errors.Is(refusal.err, kv.ErrRejected):
		// Preconditions that failed also fail for copies that are executed later. A
		// rejection says nothing about preconditions: the store may yet execute a copy
		// that it accepted before.
		refusal.batch.state = queued
	}
	return refusal, true
}

// findApplied reports whether a transaction was applied, and at which revision. The first
// record that it put is enough, since a transaction is applied as a whole. Without any, the
// first key that it deleted is: no other transaction deletes it. The revision is then zero.
func (c *Committer) findApplied(ctx context.Context, txn kv.Txn) (revision ids.Revision, applied bool, err error) {
	for _, operation := range txn.Operations {
		if operation.PutKey != "" {
			return c.findPut(ctx, operation)
		}
	}
	entry, found, err := c.store.Get(ctx, txn.Operations[0].DeleteKey)
	return entry.Revision, err == nil && !found, err
}

// findPut reports whether the store holds the record that an operation puts, and at which
// revision. Records are compared by nonce.
func (c *Committer) findPut(ctx context.Context, put kv.Operation) (revision ids.Revision, applied bool, err error) {
	entry, found, err := c.store.Get(ctx, put.PutKey)
	if err != nil {
		return 0, false, err
	}
	own, err := nonceOf(wire.Encode(put.Value))
	if err != nil || !found {
		return 0, false, err
	}
	if stored, err := nonceOf(entry.Value); err != nil || stored != own {
		return 0, false, nil // a record without a readable nonce is another writer's
	}
	return entry.Revision, true, nil
}

// nonceOf reads the nonce of an encoded record. All records keep it in the same field.
func nonceOf(record []byte) (uint64, error) {
	var fields struct {
		Nonce uint64 `msgpack:"w"`
	}
	err := wire.Decode(record, &fields)
	return fields.Nonce, err
}
