package leader

import (
	"context"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/zonerecovery"
)

const (
	// peerTimeout is how long after its last answer to a ping a peer counts as reachable.
	peerTimeout = 5 * time.Second
	// followerCheckInterval is the time between two checks whether a peer follows this leader.
	followerCheckInterval = 200 * time.Millisecond
)

// connectivity returns the leader's view of its own connectivity: whether it holds its lease, and how
// many peers are reachable.
func connectivity(leaseConfirmed bool, peers []Peer, now monotonic.Instant) zonerecovery.Connectivity {
	view := zonerecovery.Connectivity{LeaseConfirmed: leaseConfirmed, Peers: len(peers)}
	for _, peer := range peers {
		if peer.AnsweredWithin(now, peerTimeout) {
			view.PeersReachable++
		}
	}
	return view
}

// awaitFollowers waits until each peer's pings show that the peer follows this leader or a later one. It posts
// followerConfirmed for each peer, and then followersConfirmed.
func awaitFollowers(ctx context.Context, peers []Peer, revision ids.Revision, mailbox *mailbox) error {
	waiting := slices.Clone(peers)
	for {
		waiting = slices.DeleteFunc(waiting, func(peer Peer) bool {
			follows := peer.FollowedRevision() >= revision
			if follows {
				mailbox.post(ctx, followerConfirmed{peer.Controller()})
			}
			return follows
		})
		if len(waiting) == 0 {
			mailbox.post(ctx, followersConfirmed{})
			return nil
		}
		if !monotonic.Sleep(ctx, followerCheckInterval) {
			return ctx.Err()
		}
	}
}
