package ids

import "testing"

// A token that does not grow lets a worker refuse commands of its leader, or accept commands of a
// previous one.
func TestFencingTokenOrder(t *testing.T) {
	for _, c := range []struct {
		name            string
		smaller, larger FencingToken
	}{
		{"counter of one leader", NewFencingToken(412, 3), NewFencingToken(412, 4)},
		{"next leader", NewFencingToken(412, 1<<20-1), NewFencingToken(413, 0)},
	} {
		if c.smaller >= c.larger {
			t.Errorf("%s: %d is not smaller than %d", c.name, c.smaller, c.larger)
		}
	}
}

// Without a mask, a counter that overflows its bits changes the revision in the token, which then
// passes for a token of a later leader.
func TestFencingTokenRevision(t *testing.T) {
	for _, counter := range []uint64{0, 3, 1<<20 - 1, 1 << 20} {
		if got := NewFencingToken(412, counter).Revision(); got != 412 {
			t.Errorf("counter %d: revision %d", counter, got)
		}
	}
}
