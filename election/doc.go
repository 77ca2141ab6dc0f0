// Package election elects one of the controllers as leader. [Election] takes part for one
// controller: it campaigns for the leader key in the key-value store, watches the key while
// another controller holds it, and runs the leader's work during each [Term]. It makes no
// decisions about jobs or machines, and it writes no key except the leader key.
//
// # Why two leaders cannot act at the same time
//
// Leader key. A candidate acquires the key by a commit with the precondition that the key is
// absent. The key is attached to a lease, and the store deletes it when the lease expires or
// is revoked. The key therefore names at most one leader. A controller that finds an earlier
// process of its own in the key replaces it immediately, since that process has ended.
//
// Lease validity. The leader measures the validity of its lease from the instant before it sent
// the last successful grant or renewal. The store starts the lease no earlier than that. The
// leader subtracts the clock drift between the two machines and a safety margin. During the
// term, while [Term.HoldsLease] is true, the key therefore still exists, and no other
// controller has acquired it. The leader revokes its lease only after the term has ended and
// its work has returned.
//
// Fencing token. The revision of the key increases with each leader, and each revision belongs
// to a single term. Commits have the precondition that the key is at the leader's revision,
// and commands to workers carry a token derived from it. A commit or command that a leader
// sends just before its lease expires has no effect if it arrives after the next leader has
// acted.
//
// Store outage. While no controller can reach the store, no other leader can be elected. The
// leader may continue to answer heartbeats for a bounded grace period, so that workers keep
// their tasks, but it cannot commit records. The next leader relies on the bounds of this
// period. A leader cannot distinguish an outage from its own isolation, during which a later
// leader may have been elected. Acknowledgements by all peers rule out a later leader: each
// peer was asked after the lease became invalid and knew of no later leader. The peer's process
// has also run since before the lease became invalid, so that the peer cannot have led and lost
// that knowledge in a restart. Without acknowledgements by all peers, the shorter isolation
// bounds apply. [LeaseBounds] holds the bounds. [Authority] lists the states and what each
// permits.
//
// Process pause. A process that was paused finds its lease expired without having contacted
// the store. It may act again only after a renewal that started within the last 5 seconds has
// completed, successfully or not.
//
// Indeterminate result. A commit or revocation without a response may have been executed, or
// may still be executed later. A candidate whose commit received no response does not lead.
// It revokes the lease, so that the key is deleted if the commit is applied after all. If the
// revocation fails too, the key is deleted when the lease expires. A commit whose response
// arrives after a later leader was observed begins no term, because this controller may have
// announced to its peers that it follows that leader.
package election
