// Package operatorclient implements the client with which operators' commands call the leader of a
// deployment. It calls each controller in turn until the leader answers.
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

// callTimeout bounds the call to one controller. It is longer than the leader's own timeout for recording
// an override.
const callTimeout = 6 * time.Second

// Client calls the controllers of a deployment on behalf of an operator. It is not safe for concurrent
// use.
type Client struct{ peers []*peerrpc.Peer }

// New returns a client of the controllers in the platform's settings: the controller on this machine and
// the seeds, with their addresses.
func New(self ids.ControllerName, selfAddress string, seeds map[ids.ControllerName]string) *Client {
	c := &Client{peers: []*peerrpc.Peer{peerrpc.NewPeer(self, selfAddress)}}
	for _, name := range slices.Sorted(maps.Keys(seeds)) {
		c.peers = append(c.peers, peerrpc.NewPeer(name, seeds[name]))
	}
	return c
}

// Zones returns the conditions of all zones.
func (c *Client) Zones(ctx context.Context) (peerapi.ZonesResponse, error) {
	return c.callLeader(ctx, peerapi.OpZones, struct{}{})
}

// OverrideZone sends an override to the leader, and returns the conditions of all zones once the
// override is recorded.
func (c *Client) OverrideZone(ctx context.Context, override peerapi.ZoneOverride) (peerapi.ZonesResponse, error) {
	return c.callLeader(ctx, peerapi.OpZoneOverride, override)
}

// callLeader calls the controllers one after another until the leader answers or refuses the request.
// If the leader does neither, callLeader returns the joined errors of all controllers.
func (c *Client) callLeader(ctx context.Context, op peerrpc.Operation, request any) (peerapi.ZonesResponse, error) {
	var response peerapi.ZonesResponse
	var failures []error
	for _, peer := range c.peers {
		err := callOnce(ctx, peer, op, request, &response)
		if err == nil {
			return response, nil
		}
		failures = append(failures, err)
		if refusedByLeader(err) {
			return response, err
		}
	}
	return response, errors.Join(failures...)
}

// callOnce calls a controller over a new connection and closes it.
func callOnce(ctx context.Context, peer *peerrpc.Peer, op peerrpc.Operation, request any, response *peerapi.ZonesResponse) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer peer.Close()
	return peer.Call(ctx, op, request, response)
}

// refusedByLeader reports whether an error is a refusal by the leader.
func refusedByLeader(err error) bool {
	return errors.Is(err, peerrpc.ErrRemote) && !errors.Is(err, peerapi.ErrNotLeading)
}
