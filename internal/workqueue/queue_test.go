package workqueue

import (
	"slices"
	"testing"
)

// checkTake requires the items that Take returns.
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

func TestAddBeyondLimit(t *testing.T) {
	q := New[int](2)
	if !q.Add(1) || !q.Add(2) {
		t.Error("refused an item within the limit")
	}
	if q.Add(3) {
		t.Error("added an item beyond the limit")
	}
	checkTake(t, q, 1, 1)
	if !q.Add(4) {
		t.Error("refused an item after another was taken")
	}
	checkTake(t, q, 10, 2, 4)
}

func TestAddedReceivesOneValueForManyItems(t *testing.T) {
	q := New[int](10)
	q.Add(1)
	q.Add(2)
	<-q.Added()
	select {
	case <-q.Added():
		t.Error("received a second value")
	default:
	}
}

// A batch that was taken does not share memory with items that are added later.
func TestTakenItemsDoNotShareMemory(t *testing.T) {
	q := New[int](10)
	q.Add(1, 2, 3)
	taken := q.Take(2)
	_ = append(taken, 9)
	checkTake(t, q, 10, 3)
}
