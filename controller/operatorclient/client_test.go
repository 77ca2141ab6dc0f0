package operatorclient

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/peerrpc"
)

// serve starts a server that responds to every operation with an answer or an error, and returns its
// address.
func serve(t *testing.T, answer any, refusal error) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := func(context.Context, peerrpc.Operation, []byte) (any, error) { return answer, refusal }
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = peerrpc.Serve(ctx, listener, handler, slog.New(slog.DiscardHandler)) })
	t.Cleanup(func() { cancel(); serving.Wait() })
	return listener.Addr().String()
}

// The client must skip followers and return the leader's answer.
func TestClientFindsLeader(t *testing.T) {
	follower := serve(t, nil, peerapi.ErrNotLeading)
	leader := serve(t, peerapi.ZonesResponse{Enabled: true, Leader: "n-2"}, nil)
	client := New("n-0", follower, map[ids.ControllerName]string{"n-2": leader, "n-1": follower})
	if answer, err := client.Zones(t.Context()); err != nil || answer.Leader != "n-2" || !answer.Enabled {
		t.Errorf("%+v, %v", answer, err)
	}
}

// The client must return the leader's refusal without calling other controllers, since no other controller
// would apply the override.
func TestClientReturnsLeaderRefusal(t *testing.T) {
	refusingLeader := serve(t, nil, peerapi.ErrZoneRecoveryDisabled)
	otherController := serve(t, peerapi.ZonesResponse{Leader: "n-1"}, nil)
	client := New("n-0", refusingLeader, map[ids.ControllerName]string{"n-1": otherController})
	_, err := client.OverrideZone(t.Context(), peerapi.ZoneOverride{Zone: "a"})
	if !errors.Is(err, peerrpc.ErrRemote) || !errors.Is(err, peerapi.ErrZoneRecoveryDisabled) || !strings.Contains(err.Error(), peerapi.ErrZoneRecoveryDisabled.Error()) {
		t.Errorf("%v", err)
	}
}

// Without a leader the error must join the errors of all controllers.
func TestClientJoinsErrorsWithoutLeader(t *testing.T) {
	follower := serve(t, nil, peerapi.ErrNotLeading)
	client := New("n-0", "127.0.0.1:1", map[ids.ControllerName]string{"n-1": follower})
	_, err := client.Zones(t.Context())
	if !errors.Is(err, peerrpc.ErrNotSent) || !errors.Is(err, peerrpc.ErrRemote) {
		t.Errorf("%v", err)
	}
}
