package commit

import (
	"testing"

	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// A batch beyond the limits would be rejected by the store. A batch must take changes in order while
// it is within all limits. It always takes at least one, since a change that is too large would
// otherwise remain in the queue indefinitely.
func TestBatchesRespectLimits(t *testing.T) {
	limits := Limits{Operations: 4, Bytes: 1000}
	for _, c := range []struct {
		name  string
		sizes []size
		want  int
	}{
		{name: "nothing queued", want: 0},
		{name: "all fit", sizes: []size{{operations: 2, bytes: 500}, {operations: 2, bytes: 500}}, want: 2},
		{name: "operations", sizes: []size{{operations: 2}, {operations: 2}, {operations: 1}}, want: 2},
		{name: "bytes", sizes: []size{{bytes: 500}, {bytes: 501}}, want: 1},
		{name: "preconditions, with the fence", sizes: []size{{preconditions: 15}, {preconditions: 1}}, want: 1},
		{name: "first change too large", sizes: []size{{operations: 9, bytes: 9000}, {}}, want: 1},
		{name: "second change too large", sizes: []size{{operations: 1}, {operations: 9}, {operations: 1}}, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := queue{limits: limits, added: make(chan struct{}, 1)}
			for _, s := range c.sizes {
				q.add(queuedChange{size: s})
			}
			if got := len(q.take()); got != c.want {
				t.Errorf("took %d changes, want %d", got, c.want)
			}
			if left := q.length(); left != len(c.sizes)-c.want {
				t.Errorf("%d changes are left in the queue", left)
			}
		})
	}
}

// If the estimate ignored keys, preconditions or the growth from MessagePack to JSON, batches would
// exceed the limits of the store.
func TestSizeOf(t *testing.T) {
	change := records.Change{
		Preconditions: []kv.Precondition{{Key: "leader"}, {Key: "jobs/1"}},
		Operations:    []kv.Operation{{PutKey: "jobs/1", Value: "123456789"}, {DeleteKey: "fleet"}},
	}
	// The value takes 10 bytes of MessagePack, estimated as 15 bytes of JSON.
	want := size{operations: 2, preconditions: 2, bytes: 4*40 + len("leader") + len("jobs/1") + len("jobs/1") + len("fleet") + 15}
	if got := sizeOf(change); got != want {
		t.Errorf("estimated %+v, want %+v", got, want)
	}
}
