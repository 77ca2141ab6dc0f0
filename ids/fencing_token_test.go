package ids

import "testing"

func TestFencingTokenOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		smaller, next FencingToken
	}{
		{"counter of one leader", NewFencingToken(412, 3), NewFencingToken(412, 4)},
		{"next leader", NewFencingToken(412, 1<<20-1), NewFencingToken(413, 0)},
	} {
		if c.smaller >= c.next {
			t.Errorf("%s: %d is not smaller than %d", c.name, c.smaller, c.next)
		}
	}
}

func TestFencingTokenKeepsItsRevision(t *testing.T) {
	for _, counter := range []uint64{0, 3, 1<<20 - 1, 1 << 20} {
		if got := NewFencingToken(412, counter).Revision(); got != 412 {
			t.Errorf("counter %d: revision %d", counter, got)
		}
	}
}
