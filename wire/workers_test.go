package wire

import (
	"errors"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

func TestHeartbeatNewer(t *testing.T) {
	heartbeat := Heartbeat{Incarnation: 2, Sequence: 5}
	for _, c := range []struct {
		name        string
		incarnation ids.AgentIncarnation
		sequence    ids.Sequence
		newer       bool
	}{
		{"earlier incarnation", 1, 9, true},
		{"earlier message", 2, 4, true},
		{"same message", 2, 5, false},
		{"later message", 2, 6, false},
		{"later incarnation", 3, 1, false},
	} {
		if got := heartbeat.Newer(c.incarnation, c.sequence); got != c.newer {
			t.Errorf("%s: newer: %v", c.name, got)
		}
	}
}

func TestParseHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name  string
		body  []byte
		valid bool
	}{
		{"valid", Encode(Heartbeat{Machine: "n-1", Incarnation: 6}), true},
		{"without machine", Encode(Heartbeat{Incarnation: 6}), false},
		{"without incarnation", Encode(Heartbeat{Machine: "n-1"}), false},
		{"not a map", Encode(7), false},
		{"empty", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat, err := ParseHeartbeat(c.body)
			if c.valid && (err != nil || heartbeat.Machine != "n-1" || heartbeat.Incarnation != 6) {
				t.Errorf("got %+v, %v, want a heartbeat of n-1 in incarnation 6", heartbeat, err)
			}
			if !c.valid && (heartbeat != nil || !errors.Is(err, ErrMalformedBody)) {
				t.Errorf("got %+v, %v, want %v", heartbeat, err, ErrMalformedBody)
			}
		})
	}
}
