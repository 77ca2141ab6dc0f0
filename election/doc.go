// Package election elects the controller that leads. [Election] takes part for one
// controller: it campaigns for the leader key in the key-value store, watches the key while
// another controller holds it, and runs the leader's work for each [Term]. It decides
// nothing about jobs or machines and writes no key but the leader key.
//
// # Why two leaders cannot act at the same time
//
// Leader key. A candidate takes the key by a commit with the precondition that the key is
// absent. The key is attached to a lease, and the store deletes it when the lease expires or
// is revoked. So the key names one leader at most. A controller that finds an earlier
// process of its own in the key replaces it at once, since that process has ended.
//
// Lease validity. The leader counts the lease from before it sent the grant or renewal that
// succeeded, which is never later than the store does. It subtracts the clock drift between
// the two machines and a safety margin ([LeaseBounds]). While the term goes on and
// [Term.HoldsLease] is true, the key therefore still exists, and no other controller has taken
// it. The leader revokes its lease only after the term has ended and its work has returned.
//
// Fencing token. The revision of the key grows with each leader and serves one term only.
// Commits have the precondition that the key is at the leader's revision, and commands to
// workers carry a token derived from it. What a leader sends just before its lease expires
// does nothing if it arrives after the next leader has acted.
//
// Store outage. While the store is unreachable for all, no other controller can be elected.
// The leader may go on answering heartbeats for a bounded grace, so that workers keep their
// tasks; it can record nothing. The next leader counts on the bounds of the grace. A leader
// cannot tell an outage from its own isolation, in which a later leader may have been
// elected. It rules that out by acknowledgements: each peer was asked after the lease became
// invalid, knew of no later leader, and has run since before that, so that it cannot have
// led and forgotten it. Without all acknowledgements the shorter isolation bounds apply.
// [Authority] lists the states and what each permits.
//
// Process pause. A process that was paused finds its lease expired, without having asked the
// store. It may act again only once a renewal that started within the last 5 seconds has
// completed, successfully or not.
//
// Indeterminate result. A commit or revocation without an answer may have been executed, or
// may yet be. A candidate whose commit gave no answer does not lead. It revokes the lease,
// so that a key which was taken after all disappears, at the latest when the lease expires.
// A commit whose answer arrives after a later leader was observed begins no term, because
// this controller may have announced to its peers that it follows that leader.
package election
