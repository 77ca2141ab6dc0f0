// Package operatorclient is the client that operators' commands use to call the leader of a
// deployment. It tries each controller in turn until the leader answers.
package operatorclient

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/peerrpc"
)

// callTimeout bounds the call to one controller. It is longer than a leader takes to record an
// override, or to give up.
const callTimeout = 6 * time.Second

// Client asks the controllers of a deployment on an operator's behalf. One goroutine at a time
// may use it.
type Client struct{ peers []*peerrpc.Peer }

// New makes a client of the controllers in the platform's settings: the one on this machine, and
// the seeds with their addresses.
func New(self ids.ControllerName, selfAddress string, seeds map[ids.ControllerName]string) *Client {
	c := &Client{peers: []*peerrpc.Peer{peerrpc.NewPeer(self, selfAddress)}}
	for _, name := range slices.Sorted(maps.Keys(seeds)) {
		c.peers = append(c.peers, peerrpc.NewPeer(name, seeds[name]))
	}
	return c
}

// Zones asks for the conditions of all zones.
func (c *Client) Zones(ctx context.Context) (peerapi.ZonesResponse, error) {
	return c.callLeader(ctx, peerapi.OpZones, struct{}{})
}

// OverrideZone has the leader apply an override, and returns the conditions of all zones
// once it is recorded.
func (c *Client) OverrideZone(ctx context.Context, override peerapi.ZoneOverride) (peerapi.ZonesResponse, error) {
	return c.callLeader(ctx, peerapi.OpZoneOverride, override)
}

// callLeader calls one controller after the other until the leader answers or refuses. Without an
// answer it returns the joined errors of all controllers.
func (c *Client) callLeader(ctx context.Context, op peerrpc.Operation, request any) (peerapi.ZonesResponse, error) {
	var answer peerapi.ZonesResponse
	var failures []error
	for _, peer := range c.peers {
		err := callOnce(ctx, peer, op, request, &answer)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, err)
		if refusedByLeader(err) {
			return answer, err
		}
	}
	return answer, errors.Join(failures...)
}

// callOnce calls a controller over a connection of its own.
func callOnce(ctx context.Context, peer *peerrpc.Peer, op peerrpc.Operation, request any, answer *peerapi.ZonesResponse) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer peer.Close()
	return peer.Call(ctx, op, request, answer)
}

// refusedByLeader reports whether an error is the leader's refusal.
func refusedByLeader(err error) bool {
	return errors.Is(err, peerrpc.ErrRemote) && !errors.Is(err, peerapi.ErrNotLeading)
}
