package commit

import (
	"slices"
	"sync"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Limits holds the limits of one transaction. A single change that exceeds them is still sent, in
// a separate transaction, and the store decides whether to reject it.
type Limits struct {
	// Operations is the maximum number of puts and deletes.
	Operations int
	// Bytes is the maximum estimated size in bytes of JSON, the form in which the store
	// measures it.
	Bytes int
}

// preconditionsPerOperation is the number of preconditions that the store allows in a transaction
// for each operation that it allows.
const preconditionsPerOperation = 4

// The store measures a transaction as JSON, although it is sent as MessagePack. Encoding each change
// as JSON would cost more than an exact size is worth, so the size is estimated. Limits leave a
// margin for estimates that are too low. If a batch is nevertheless too large, the store rejects it,
// and its changes are sent individually.
const (
	// bytesPerKey is the JSON size of a precondition or operation without its key and value:
	// braces, field names, and a revision.
	bytesPerKey = 40
	// jsonBytes is the number of bytes of JSON for messagePackBytes bytes of MessagePack in a
	// record. Both contain the field names. JSON also has decimal numbers and punctuation.
	jsonBytes, messagePackBytes = 3, 2
)

// size holds the counts and bytes of changes that are compared with Limits.
type size struct {
	operations    int
	preconditions int
	bytes         int
}

// sizeOf estimates the size of a change.
func sizeOf(change records.Change) size {
	s := size{operations: len(change.Operations), preconditions: len(change.Preconditions)}
	for _, operation := range change.Operations {
		s.bytes += len(operation.PutKey) + len(operation.DeleteKey) + bytesPerKey
		if operation.Value != nil {
			s.bytes += jsonBytes * len(wire.Encode(operation.Value)) / messagePackBytes
		}
	}
	for _, precondition := range change.Preconditions {
		s.bytes += len(precondition.Key) + bytesPerKey
	}
	return s
}

// plus returns the sum of two sizes.
func (s size) plus(other size) size {
	return size{
		operations:    s.operations + other.operations,
		preconditions: s.preconditions + other.preconditions,
		bytes:         s.bytes + other.bytes,
	}
}

// fits reports whether a transaction of size s is within the limits.
func (s size) fits(limits Limits) bool {
	return s.operations <= limits.Operations && s.bytes <= limits.Bytes &&
		s.preconditions <= preconditionsPerOperation*limits.Operations
}

// queue holds the changes that are not yet in a batch, in the order of submission.
type queue struct {
	limits Limits
	// added receives a value after changes were added. One value may represent several changes.
	added chan struct{}

	mu      sync.Mutex
	changes []queuedChange
}

// add appends a change and signals on added.
func (q *queue) add(change queuedChange) {
	q.mu.Lock()
	q.changes = append(q.changes, change)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// length returns the number of queued changes.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.changes)
}

// take removes and returns as many changes as one transaction may hold. It takes at least one
// change unless the queue is empty.
func (q *queue) take() []queuedChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := size{preconditions: 1} // the fence
	n := 0
	for _, change := range q.changes {
		total = total.plus(change.size)
		if n > 0 && !total.fits(q.limits) {
			break
		}
		n++
	}
	taken := slices.Clone(q.changes[:n])
	q.changes = slices.Delete(q.changes, 0, n)
	return taken
}
