package workqueue

import (
	"slices"
	"testing"
)

// checkTake checks the items that Take returns.
func checkTake(t *testing.T, q *Queue[int], limit int, want ...int) {
	t.Helper()
	if got := q.Take(limit); !slices.Equal(got, want) {
		t.Errorf("took %v, want %v", got, want)
	}
}

func TestItemsAreTakenInOrder(t *testing.T) {
	q := New[int](10)
	q.Add(1, 2)
	q.Add(3)
	checkTake(t, q, 2, 1, 2)
	q.Add(4)
	checkTake(t, q, 10, 3, 4)
	checkTake(t, q, 10)
}

// Add must refuse items beyond the limit, so that the queue cannot grow without bound if the receiver is
// slow. Taking an item must make its place available again.
func TestAddBeyondLimit(t *testing.T) {
	q := New[int](2)
	if !q.Add(1) || !q.Add(2) {
		t.Error("Add refused an item within the limit")
	}
	if q.Add(3) {
		t.Error("Add accepted an item beyond the limit")
	}
	checkTake(t, q, 1, 1)
	if !q.Add(4) {
		t.Error("Add refused an item after another was taken")
	}
	checkTake(t, q, 10, 2, 4)
}

// Add must not block while the receiver is busy, so one value represents all items added so far.
func TestAddedReceivesOneValueForManyItems(t *testing.T) {
	q := New[int](10)
	q.Add(1)
	q.Add(2)
	<-q.Added()
	select {
	case <-q.Added():
		t.Error("Added received a second value")
	default:
	}
}

// Appending to a batch that was taken must not overwrite the items that are still in the queue.
func TestTakenItemsDoNotShareMemory(t *testing.T) {
	q := New[int](10)
	q.Add(1, 2, 3)
	taken := q.Take(2)
	_ = append(taken, 9)
	checkTake(t, q, 10, 3)
}
