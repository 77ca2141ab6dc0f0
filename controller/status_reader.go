package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/workqueue"
	"ospreystile.example/ospreystile/kv"
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

// idleRefreshInterval is the interval between two refreshes without a query. The key-value store keeps only
// the last changes, and a replica that lacks one of them must be built again.
const idleRefreshInterval = 10 * time.Second

// maxJobReads is the maximum number of single jobs that are read for a batch of queries while the list of
// all jobs is being read.
const maxJobReads = 8

// statusReader answers queries by barrier reads: it refreshes its replica of the jobs, and then answers
// all queries that arrived before the refresh was sent. So the load on the key-value store does not grow
// with the number of queries. Answers are linearizable: any status that another controller returned
// before a query arrived was committed before the refresh was sent, so the replica contains it.
//
// After the start of the process the replica is built in the background, page by page (jobLister). In the
// meantime queries about jobs that it does not contain are answered by reads of single jobs, as many as the
// rate allows. These are as new as the query too.
//
// The method run owns the replica and all goroutines. Any goroutine may call query.
type statusReader struct {
	replica  *jobReplica
	lister   *jobLister
	capacity *jobCapacity
	// minReadInterval is the minimum interval between two reads. It bounds the share of the
	// key-value store's request rate that the status reads of all controllers use.
	minReadInterval time.Duration
	progress        progressSource
	// queue holds the queries that are not in a batch yet.
	queue *workqueue.Queue[statusQuery]
}

// newStatusReader returns a reader whose reads are at least minReadInterval apart.
func newStatusReader(store jobStore, minReadInterval time.Duration, progress progressSource, capacity *jobCapacity, log *slog.Logger) *statusReader {
	return &statusReader{replica: newJobReplica(store), lister: newJobLister(store, minReadInterval, log), capacity: capacity, minReadInterval: minReadInterval, progress: progress,
		queue: workqueue.New[statusQuery](maxQueuedQueries)}
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

// run answers queries until the context ends. One read is in flight at a time, besides that of a page of the
// list of all jobs. Queries that arrive in the meantime wait for the next read.
func (r *statusReader) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.lister.run(ctx) })
	idle := time.NewTicker(idleRefreshInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case listed := <-r.lister.pages:
			r.applyPage(listed)
			continue
		case <-idle.C:
			// If it fails, the next query fails too, or a later refresh makes up for it.
			_ = r.refresh(ctx)
			continue
		case <-r.queue.Added():
		}
		batch := r.queue.Take(maxQueuedQueries)
		if len(batch) == 0 {
			continue
		}
		budget := &readBudget{remaining: maxJobReads}
		if active := r.answerBatch(ctx, batch, budget); len(active.queries) > 0 {
			// The leader may be slow to answer, and the next batch does not wait for it.
			running.Go(func() { r.answerActive(ctx, active) })
		}
		if !r.sleep(ctx, time.Duration(1+maxJobReads-budget.remaining)*r.minReadInterval) {
			return ctx.Err()
		}
	}
}

// sleep waits for a duration and applies pages in the meantime. It returns false if the context ends first.
func (r *statusReader) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case listed := <-r.lister.pages:
			r.applyPage(listed)
		case <-timer.C:
			return true
		}
	}
}

// applyPage applies a page to the replica, unless it belongs to a list that was given up.
func (r *statusReader) applyPage(listed listedPage) {
	if listed.list == r.lister.current() {
		r.replica.applyPage(listed)
		r.capacity.observe(len(r.replica.jobs))
	}
}

// refresh refreshes the replica. If the store does not keep all changes any more that the replica lacks, the
// list of all jobs is read again.
func (r *statusReader) refresh(ctx context.Context) error {
	err := r.replica.refresh(ctx)
	if errors.Is(err, kv.ErrCompacted) {
		r.replica = newJobReplica(r.replica.store)
		r.lister.restart()
		return nil
	}
	r.capacity.observe(len(r.replica.jobs))
	return err
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
func (r *statusReader) answerBatch(ctx context.Context, batch []statusQuery, budget *readBudget) (active activeQueries) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := r.refresh(ctx); err != nil {
		for _, query := range batch {
			query.reply <- queryAnswer{err: err}
		}
		return activeQueries{}
	}
	for _, query := range batch {
		answer := r.lookUp(ctx, query, budget)
		if answer.err != nil || !answer.found || answer.job.Status.Terminal() {
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
func (r *statusReader) lookUp(ctx context.Context, query statusQuery, budget *readBudget) (answer queryAnswer) {
	for _, id := range append([]ids.JobID{query.id}, query.dependsOn...) {
		if err := r.replica.ensure(ctx, id, budget); err != nil {
			return queryAnswer{err: err}
		}
	}
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
