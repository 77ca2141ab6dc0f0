package commit

import (
	"context"
	"errors"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// resolve determines whether an earlier attempt of a repeated transaction was applied. failed is the
// conflict or rejection of the repeated transaction. If an earlier attempt was applied, it changed the
// revisions, so that the repeated transaction conflicts with it. definite reports whether the store
// could be read.
func (c *Committer) resolve(ctx context.Context, failed sendResult, txn kv.Txn) (r sendResult, definite bool) {
	revision, applied, err := c.findApplied(ctx, txn)
	switch {
	case err != nil:
		return sendResult{batch: failed.batch, err: err}, false
	case applied:
		return sendResult{batch: failed.batch, result: kv.TxnResult{Applied: true, Revision: revision}}, true
	case !errors.Is(failed.err, kv.ErrRejected):
		// Preconditions that failed also fail for earlier attempts that are executed
		// later. A rejection does not depend on preconditions, so the store may still
		// execute an earlier attempt that it accepted.
		failed.batch.state = queued
	}
	return failed, true
}

// findApplied reports whether a transaction was applied, and returns its revision. It looks only for
// the first record that the transaction puts, because a transaction is applied as a whole. A
// transaction without a put was applied if the first key that it deletes is absent, because no other
// transaction deletes that key. The revision is zero in that case.
func (c *Committer) findApplied(ctx context.Context, txn kv.Txn) (revision ids.Revision, applied bool, err error) {
	for _, operation := range txn.Operations {
		if operation.PutKey != "" {
			return c.findPut(ctx, operation)
		}
	}
	entry, found, err := c.store.Get(ctx, txn.Operations[0].DeleteKey)
	return entry.Revision, err == nil && !found, err
}

// findPut reports whether the store holds the record that an operation puts, and returns the revision
// of the record. Records are compared by nonce.
func (c *Committer) findPut(ctx context.Context, put kv.Operation) (revision ids.Revision, applied bool, err error) {
	entry, found, err := c.store.Get(ctx, put.PutKey)
	if err != nil {
		return 0, false, err
	}
	ownNonce, err := nonceOf(wire.Encode(put.Value))
	if err != nil || !found {
		return 0, false, err
	}
	if storedNonce, err := nonceOf(entry.Value); err != nil || storedNonce != ownNonce {
		return 0, false, nil // a record without a readable nonce is another writer's as well
	}
	return entry.Revision, true, nil
}

// nonceOf returns the nonce of an encoded record. All records store it in the same field.
func nonceOf(record []byte) (uint64, error) {
	var fields struct {
		Nonce uint64 `msgpack:"w"`
	}
	err := wire.Decode(record, &fields)
	return fields.Nonce, err
}
