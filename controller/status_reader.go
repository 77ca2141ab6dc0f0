package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/workqueue"
	"ospreystile.example/ospreystile/monotonic"
)

// maxWaitingQueries bounds the queue of queries.
const maxQueuedQueries = 512

// errOverloaded refuses a query while the queue is full.
var errOverloaded = errors.New("too many status queries wait")

// statusQuery asks for the state of a job and, before the job is accepted, of its dependencies.
type statusQuery struct {
	id        ids.JobID
	dependsOn []ids.JobID
	// reply has a buffer of one.
	reply chan<- queryAnswer
}

// queryAnswer is the answer to a statusQuery. The other fields are valid only if err is nil.
type queryAnswer struct {
	job   jobSnapshot
	found bool
	err   error
	// accepted is set if all dependencies were accepted, and dependencyCancelled if one of them
	// is cancelled.
	dependenciesAccepted, dependencyCancelled bool
	progress                                  peerapi.JobProgress
}

// progressSource returns the progress of each of the jobs, or nil if it is not known.
type progressSource func(ctx context.Context, jobs []ids.JobID) []peerapi.JobProgress

// statusReader answers queries by barrier reads: it refreshes its replica of the jobs, and then
// answers all queries that arrived before the refresh was sent. So the load on the key-value store
// does not grow with the queries, and answers are linearizable: what another controller returned
// before a query arrived was committed before the refresh was sent, and is in the replica.
//
// The method run owns the replica and all goroutines; any goroutine may call ask.
type statusReader struct {
	replica jobReplica
	// gap is the least time between two reads. It bounds the share of the key-value store's
	// request rate that the status reads of all controllers take.
	minReadInterval time.Duration
	progress        progressSource
	// waiting holds the queries that are in no round yet.
	queue *workqueue.Queue[statusQuery]
}

// newStatusReader makes a reader whose reads are at least gap apart.
func newStatusReader(store jobStore, minReadInterval time.Duration, progress progressSource) *statusReader {
	return &statusReader{replica: jobReplica{store: store}, minReadInterval: minReadInterval, progress: progress, queue: workqueue.New[statusQuery](maxQueuedQueries)}
}

// ask waits for the answer to one query. The error of the answer is errOverloaded, the
// context's, or the store's.
func (r *statusReader) query(ctx context.Context, id ids.JobID, dependsOn []ids.JobID) queryAnswer {
	reply := make(chan queryAnswer, 1)
	if !r.queue.Add(statusQuery{id: id, dependsOn: dependsOn, reply: reply}) {
		return queryAnswer{err: errOverloaded}
	}
	select {
	case answer := <-reply:
		// After a process pause the deadline may have passed when the answer arrives. The
		// answer may then be older than what other controllers have returned since.
		if deadline, ok := ctx.Deadline(); ok && time.Now().After(deadline) {
			return queryAnswer{err: context.DeadlineExceeded}
		}
		return answer
	case <-ctx.Done():
		return queryAnswer{err: ctx.Err()}
	}
}

// run answers queries until the context ends. One read is in flight at a time; queries that
// arrive meanwhile wait for the next.
func (r *statusReader) run(ctx context.Context) error {
	var answering sync.WaitGroup
	defer answering.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.queue.Added():
		}
		batch := r.queue.Take(maxQueuedQueries)
		if len(batch) == 0 {
			continue
		}
		if active := r.answerBatch(ctx, batch); len(active.queries) > 0 {
			// The leader may be slow to answer. The next round does not wait for it.
			answering.Go(func() { r.answerActive(ctx, active) })
		}
		if !monotonic.Sleep(ctx, r.minReadInterval) {
			return ctx.Err()
		}
	}
}

// activeQueries are the queries of a round about jobs that are not done or cancelled, and their
// answers as far as the replica knows them.
type activeQueries struct {
	queries []statusQuery
	jobs    []ids.JobID
	answers []queryAnswer
}

// answerRound refreshes the replica and answers the queries of a round. It returns those about
// active jobs unanswered, since only the leader knows their progress.
func (r *statusReader) answerBatch(ctx context.Context, batch []statusQuery) (active activeQueries) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := r.replica.refresh(ctx); err != nil {
		for _, query := range batch {
			query.reply <- queryAnswer{err: err}
		}
		return activeQueries{}
	}
	for _, query := range batch {
		answer := r.lookUp(query)
		if !answer.found || answer.job.Status.Terminal() {
			query.reply <- answer
			continue
		}
		active.queries = append(active.queries, query)
		active.jobs = append(active.jobs, query.id)
		active.answers = append(active.answers, answer)
	}
	return active
}

// lookUp answers a query from the replica, without progress.
func (r *statusReader) lookUp(query statusQuery) (answer queryAnswer) {
	answer.job, answer.found = r.replica.get(query.id)
	answer.dependenciesAccepted, answer.dependencyCancelled = r.replica.dependencyState(query.dependsOn)
	return answer
}

// answerActive adds the progress of active jobs, if it is known, and answers.
func (r *statusReader) answerActive(ctx context.Context, active activeQueries) {
	progress := r.progress(ctx, active.jobs)
	for i, query := range active.queries {
		if i < len(progress) {
			active.answers[i].progress = progress[i]
		}
		query.reply <- active.answers[i]
	}
}
