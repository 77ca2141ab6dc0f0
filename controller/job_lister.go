package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// listRetryDelay is the delay before a page of the list of all jobs that could not be read is read again.
const listRetryDelay = 250 * time.Millisecond

// listedPage holds a page of the list of all jobs.
type listedPage struct {
	kv.Page
	// list identifies the list to which the page belongs.
	list uint64
	// firstRevision is the revision of the first page of the list, and last reports whether this is the
	// last page.
	firstRevision ids.Revision
	last          bool
}

// jobLister reads the list of all jobs page by page. It has no deadline: a page that cannot be read is read
// again, and no page is read twice otherwise. The method run owns the goroutine that reads; restart may be
// called by one other goroutine.
type jobLister struct {
	store kv.PageStore
	// interval is the minimum interval between two reads, which leaves a share of the key-value store's
	// request rate to queries.
	interval time.Duration
	log      *slog.Logger
	// pages receives the pages in their order.
	pages chan listedPage
	// list is the number of the current list.
	list      atomic.Uint64
	restarted chan struct{}
}

func newJobLister(store kv.PageStore, interval time.Duration, log *slog.Logger) *jobLister {
	return &jobLister{store: store, interval: interval, log: log, pages: make(chan listedPage), restarted: make(chan struct{}, 1)}
}

// current returns the number of the current list.
func (l *jobLister) current() uint64 { return l.list.Load() }

// restart gives the current list up and begins another one.
func (l *jobLister) restart() {
	l.list.Add(1)
	select {
	case l.restarted <- struct{}{}:
	default: // a restart is pending
	}
}

// run reads the list, and reads it again after each restart, until the context ends.
func (l *jobLister) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.readList(ctx, l.current())
		select {
		case <-ctx.Done():
		case <-l.restarted:
		}
	}
}

// readList reads one list until it is complete or given up.
func (l *jobLister) readList(ctx context.Context, list uint64) {
	startedAt, jobs := time.Now(), 0
	pages := kv.NewPages(l.store, records.JobPrefix)
	for !pages.Complete() {
		page, err := pages.Next(ctx)
		if err != nil {
			l.log.Debug("job list read failed", "after", pages.LastKey(), "err", err)
			if !monotonic.Sleep(ctx, listRetryDelay) {
				return
			}
			continue
		}
		jobs += len(page.Entries)
		select {
		case <-ctx.Done():
			return
		case l.pages <- listedPage{Page: page, list: list, firstRevision: pages.FirstRevision(), last: pages.Complete()}:
		}
		if list != l.current() || !monotonic.Sleep(ctx, l.interval) {
			return
		}
	}
	l.log.Info("job list read", "jobs", jobs, "took", time.Since(startedAt).Round(time.Millisecond))
}
