package scheduler

import "ospreystile.example/ospreystile/monotonic"

// answerBounds holds the latest time at which a previous leader answers machines on which a replica was recorded
// when this term began, and the latest time at which it answers all other machines.
type answerBounds struct {
	replicasAnsweredUntil, othersAnsweredUntil monotonic.Instant
}

// latest returns the later bounds of both.
func (b answerBounds) latest(other answerBounds) answerBounds {
	return answerBounds{max(b.replicasAnsweredUntil, other.replicasAnsweredUntil), max(b.othersAnsweredUntil, other.othersAnsweredUntil)}
}

// earliest returns the earlier bounds of both.
func (b answerBounds) earliest(other answerBounds) answerBounds {
	return answerBounds{min(b.replicasAnsweredUntil, other.replicasAnsweredUntil), min(b.othersAnsweredUntil, other.othersAnsweredUntil)}
}
