package commit

import (
	"slices"
	"sync"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Limits are the limits of one transaction. A change that exceeds them on its own is still
// sent, in a transaction of its own: the store decides.
type Limits struct {
	// Operations is the largest number of puts and deletes.
	Operations int
	// Bytes is the largest estimated size, in the form in which the store measures it.
	Bytes int
}

// preconditionsPerOperation is how many preconditions the store allows in a transaction for
// each operation that it allows.
const preconditionsPerOperation = 4

// The store measures a transaction as JSON, which is not its form on the wire. Encoding each
// change as JSON would cost more than it gains, so its size is estimated. Limits leave a margin
// for estimates that are too low. If a batch is too large all the same, the store rejects it,
// and its changes are sent one at a time.
const (
	// bytesPerKey is the size of a precondition or operation without its key and value:
	// braces, field names, and a revision.
	bytesPerKey = 40
	// jsonBytes is how many bytes of JSON a record takes for messagePackBytes of
	// MessagePack: both spell out field names, JSON also numbers and punctuation.
	jsonBytes, messagePackBytes = 3, 2
)

// size is how much of the limits changes take.
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

// fits reports whether a transaction of the size is within the limits.
func (s size) fits(limits Limits) bool {
	return s.operations <= limits.Operations && s.bytes <= limits.Bytes &&
		s.preconditions <= preconditionsPerOperation*limits.Operations
}

// queue holds the changes that are not yet in a batch, in the order of submission.
type queue struct {
	limits Limits
	// added receives a value after a change was added; one value may stand for many changes.
	added chan struct{}

	mu      sync.Mutex
	changes []queuedChange
}

// add appends a change.
func (q *queue) add(change queuedChange) {
	q.mu.Lock()
	q.changes = append(q.changes, change)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// length returns the number of changes.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.changes)
}

// take removes as many changes as one transaction may hold: at least one if there is any.
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
