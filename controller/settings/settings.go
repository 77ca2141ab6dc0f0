// Package settings derives limits for the components of a controller from the platform's settings and
// the operators' settings. It holds no state.
package settings

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// maxAcknowledgementDelay bounds the time after the start of its term for which a leader may have to
// refuse to acknowledge cancellations, because a previous leader may still keep tasks of the job
// running. A job whose status queries all fail counts as lost after 90 s; the delay is half of that.
const maxAcknowledgementDelay = 45 * time.Second

const (
	// maxTransactionBytes is the maximum encoded size of a transaction.
	maxTransactionBytes = 48 << 10
	// valueShare and valueMarginBytes keep values below the maximum size that the key-value store
	// accepts, because the store may compute a different size.
	valueShare       = 0.95
	valueMarginBytes = 32
)

// IsolatedGrace returns how long a leader that cannot rule out a later leader may answer heartbeats of
// workers without replicas. A later leader may report a job as cancelled at any time, and the last lease
// of the job's tasks must expire within the cancel deadline after that.
func IsolatedGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	workers := &platform.Settings.Workers
	margin := scheduler.CancelMargin(monotonic.Seconds(workers.CancelDeadlineS), monotonic.Seconds(workers.LeaseS))
	return min(operator.Grace(), margin)
}

// IsolatedReplicaGrace returns how long a leader that cannot rule out a later leader may answer
// heartbeats of workers with replicas. It is longer than IsolatedGrace, so that a zone that is
// partitioned together with its leader keeps its services for the grace plus a lease. The later leader
// relies on this bound: until at most scheduler.CancelMargin of the grace remains, no job is reported
// as cancelled whose tasks the previous leader may keep running. The result is 0 if the cancel deadline
// is too short for any grace.
func IsolatedReplicaGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	isolated := IsolatedGrace(platform, operator)
	if isolated == 0 {
		return 0
	}
	return min(operator.Grace(), isolated+maxAcknowledgementDelay)
}

// TransactionLimits returns the limits of one transaction of the key-value store.
func TransactionLimits(platform *config.Platform) commit.Limits {
	store := platform.Settings.KV.Strictest()
	// The key-value store never admits a transaction with more writes than its write rate allows in
	// one second.
	return commit.Limits{Operations: max(1, min(store.TxnOps, int(store.WriteRPS))), Bytes: maxTransactionBytes}
}

// MaxValueBytes returns the maximum size of a value in the key-value store, encoded as JSON.
func MaxValueBytes(platform *config.Platform) int {
	return int(platform.Settings.KV.Strictest().ValueKB*1024*valueShare) - valueMarginBytes
}

// TeamLimit returns the maximum amount that a team's tasks may use at any time.
func TeamLimit(team config.Team) quota.Amount {
	if !team.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
}
