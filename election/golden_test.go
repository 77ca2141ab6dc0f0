package election

import (
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// Controllers of different versions read the leader key, so the encoding of its value in the
// key-value store must not change.
func TestLeaderKeyEncodingIsStable(t *testing.T) {
	codec := golden.Codec{Encode: func(v any) ([]byte, error) { return wire.Encode(v), nil }, Decode: wire.Decode}
	golden.Check(t, "records.json", codec, []golden.Case{
		{Name: "leader lease", Value: Identity{Name: "perch-0", PeerAddress: "10.0.0.1:8081", Incarnation: 1<<62 + 3}},
	})
}
