package ids

// FencingToken orders the commands that a worker receives: the worker refuses a command
// whose token is smaller than one that it has accepted. The high bits hold the revision at
// which the leader was elected, and the low bits hold a counter that the leader keeps for
// each worker. So every token of a leader is larger than those of all previous leaders.
type FencingToken uint64

// fencingCounterBits is the size of the counter in a fencing token.
const fencingCounterBits = 20

// NewFencingToken returns the token for a leader's revision and a worker's counter. Only the
// low 20 bits of the counter are used.
func NewFencingToken(revision Revision, counter uint64) FencingToken {
	const counterMask = 1<<fencingCounterBits - 1
	return FencingToken(uint64(revision)<<fencingCounterBits | counter&counterMask)
}

// Revision returns the revision at which the leader that issued the token was elected.
func (t FencingToken) Revision() Revision { return Revision(t >> fencingCounterBits) }
