package leader

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/zonerecovery"
)

const (
	// peerTimeout is after how long without an answer to a ping a peer counts as unreachable.
	peerTimeout = 5 * time.Second
	// followerCheckInterval is the time between two checks whether a peer follows this leader.
	followerCheckInterval = 200 * time.Millisecond
)

// connectivity returns the leader's view of its own connections: whether it holds its lease, and
// how many peers it reaches.
func connectivity(leaseConfirmed bool, peers []Peer, now monotonic.Instant) zonerecovery.Connectivity {
	view := zonerecovery.Connectivity{LeaseConfirmed: leaseConfirmed, Peers: len(peers)}
	for _, peer := range peers {
		if peer.HeardWithin(now, peerTimeout) {
			view.PeersReachable++
		}
	}
	return view
}

// awaitFollowers waits until the pings of each peer show that it follows this leader or a later
// one, and posts followersConfirmed.
func awaitFollowers(ctx context.Context, peers []Peer, revision ids.Revision, mailbox *mailbox) error {
	for _, peer := range peers {
		for peer.FollowedRevision() < revision {
			if !monotonic.Sleep(ctx, followerCheckInterval) {
				return ctx.Err()
			}
		}
	}
	mailbox.post(ctx, followersConfirmed{})
	return nil
}
