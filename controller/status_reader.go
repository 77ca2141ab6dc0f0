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

// maxQueuedQueries is the maximum number of queued queries.
const maxQueuedQueries = 512

// errOverloaded is the error of a query that arrives while the queue is full.
var errOverloaded = errors.New("status query queue is full")

// statusQuery represents a query for the state of a job and, before the job is accepted, of its
// dependencies.
type statusQuery struct {
	id        ids.JobID
	dependsOn []ids.JobID
	// reply has a buffer of one, so sending the answer never blocks.
	reply chan<- queryAnswer
}

// queryAnswer holds the answer to a statusQuery. If err is not nil, no other field is valid.
type queryAnswer struct {
	job   jobSnapshot
	found bool
	err   error
	// dependenciesAccepted reports whether all dependencies were accepted, and dependencyCancelled
	// whether one of them is cancelled.
	dependenciesAccepted, dependencyCancelled bool
	progress                                  peerapi.JobProgress
}

// progressSource returns the progress of each job, or nil if the progress is not known.
type progressSource func(ctx context.Context, jobs []ids.JobID) []peerapi.JobProgress

// statusReader answers queries by barrier reads: it refreshes its replica of the jobs, and then answers
// all queries that arrived before the refresh was sent. So the load on the key-value store does not grow
// with the number of queries. Answers are linearizable: any status that another controller returned
// before a query arrived was committed before the refresh was sent, so the replica contains it.
//
// The method run owns the replica and all goroutines. Any goroutine may call query.
type statusReader struct {
	replica jobReplica
	// minReadInterval is the minimum interval between two reads. It bounds the share of the
	// key-value store's request rate that the status reads of all controllers use.
	minReadInterval time.Duration
	progress        progressSource
	// queue holds the queries that are not in a batch yet.
	queue *workqueue.Queue[statusQuery]
}

// newStatusReader returns a reader whose reads are at least minReadInterval apart.
func newStatusReader(store jobStore, minReadInterval time.Duration, progress progressSource) *statusReader {
	return &statusReader{replica: jobReplica{store: store}, minReadInterval: minReadInterval, progress: progress, queue: workqueue.New[statusQuery](maxQueuedQueries)}
}

// query waits for the answer to one query. The error of the answer is errOverloaded, or an error of the
// context or of the store.
func (r *statusReader) query(ctx context.Context, id ids.JobID, dependsOn []ids.JobID) queryAnswer {
	reply := make(chan queryAnswer, 1)
	if !r.queue.Add(statusQuery{id: id, dependsOn: dependsOn, reply: reply}) {
		return queryAnswer{err: errOverloaded}
	}
	select {
	case answer := <-reply:
		// After a pause of the process, the deadline may have passed when the answer arrives.
		// The answer may then be older than an answer that another controller has returned
		// in the meantime.
		if deadline, ok := ctx.Deadline(); ok && time.Now().After(deadline) {
			return queryAnswer{err: context.DeadlineExceeded}
		}
		return answer
	case <-ctx.Done():
		return queryAnswer{err: ctx.Err()}
	}
}

// run answers queries until the context ends. One read is in flight at a time. Queries that arrive in
// the meantime wait for the next read.
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
			// The leader may be slow to answer, and the next batch does not wait for it.
			answering.Go(func() { r.answerActive(ctx, active) })
		}
		if !monotonic.Sleep(ctx, r.minReadInterval) {
			return ctx.Err()
		}
	}
}

// activeQueries holds the queries of a batch about jobs that are neither done nor cancelled, the jobs,
// and the answers without the jobs' progress. The elements with the same index belong together.
type activeQueries struct {
	queries []statusQuery
	jobs    []ids.JobID
	answers []queryAnswer
}

// answerBatch refreshes the replica and answers the queries of a batch, except those about active jobs.
// It returns these unanswered, since only the leader knows the progress of active jobs.
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

// lookUp returns the answer to a query from the replica, without the job's progress.
func (r *statusReader) lookUp(query statusQuery) (answer queryAnswer) {
	answer.job, answer.found = r.replica.get(query.id)
	answer.dependenciesAccepted, answer.dependencyCancelled = r.replica.dependencyState(query.dependsOn)
	return answer
}

// answerActive adds the progress of the jobs to the answers, if it is known, and sends the answers.
func (r *statusReader) answerActive(ctx context.Context, active activeQueries) {
	progress := r.progress(ctx, active.jobs)
	for i, query := range active.queries {
		if i < len(progress) {
			active.answers[i].progress = progress[i]
		}
		query.reply <- active.answers[i]
	}
}
