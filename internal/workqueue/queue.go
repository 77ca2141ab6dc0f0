// Package workqueue implements a bounded queue from which one goroutine takes items in batches.
package workqueue

import "sync"

// Queue is a bounded first-in, first-out queue. Any goroutine may add items. One goroutine waits for
// Added and takes the items.
type Queue[T any] struct {
	limit int
	// added receives a value after items were added. One value may represent many items.
	added chan struct{}

	mu    sync.Mutex
	items []T
}

// New returns an empty queue that holds at most limit items.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, added: make(chan struct{}, 1)}
}

// Add appends items and reports whether it did. It appends none of them if the queue would exceed its
// limit.
func (q *Queue[T]) Add(items ...T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items)+len(items) > q.limit {
		return false
	}
	q.items = append(q.items, items...)
	select {
	case q.added <- struct{}{}:
	default:
	}
	return true
}

// Added returns a channel that receives a value after items were added. The receiver must then
// call Take until it returns none.
func (q *Queue[T]) Added() <-chan struct{} { return q.added }

// Take removes and returns up to limit items from the front of the queue.
func (q *Queue[T]) Take(limit int) []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.items), limit)
	taken := q.items[:n:n]
	q.items = q.items[n:]
	return taken
}
