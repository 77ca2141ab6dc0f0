package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// Polls asks for the states of jobs, as their users do, and keeps which polls were answered. It is safe
// for concurrent use.
type Polls struct {
	deployment *Deployment
	every      time.Duration

	mu      sync.Mutex
	results map[string][]pollResult
}

// pollResult is the result of one poll.
type pollResult struct {
	at       time.Time
	answered bool
	state    wire.JobState
}

// NewPolls returns a Polls that asks for each job at the given interval.
func NewPolls(d *Deployment, every time.Duration) *Polls {
	return &Polls{deployment: d, every: every, results: map[string][]pollResult{}}
}

// Watch asks for a job's state until the context ends.
func (p *Polls) Watch(ctx context.Context, id string) {
	go func() {
		for sleep(ctx, p.every) {
			at := time.Now()
			answer := p.deployment.Users.Poll(ctx, id)
			if ctx.Err() != nil {
				return
			}
			p.deployment.Record.Add("user: poll %s at %q: %d %q", id, answer.Node, answer.Status, answer.State)
			p.add(id, pollResult{at: at, answered: answer.Answered(), state: answer.State})
		}
	}()
}

func (p *Polls) add(id string, result pollResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[id] = append(p.results[id], result)
}

// State returns the last state that a poll for the job told, or "".
func (p *Polls) State(id string) wire.JobState {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, result := range slices.Backward(p.results[id]) {
		if result.answered {
			return result.state
		}
	}
	return ""
}

// Silence returns the longest time for which every poll for the job failed, and the fraction of the polls
// for other jobs in that time that were answered.
func (p *Polls) Silence(id string) (longest time.Duration, othersAnswered float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first, last time.Time
	begin := time.Time{}
	for _, result := range p.results[id] {
		switch {
		case result.answered:
			begin = time.Time{}
			continue
		case begin.IsZero():
			begin = result.at
		}
		if d := result.at.Sub(begin); d > longest {
			longest, first, last = d, begin, result.at
		}
	}
	return longest, p.answeredOthers(id, first, last)
}

// SilenceSince returns how long after an instant every poll for the job failed, up to the first that was
// answered.
func (p *Polls) SilenceSince(id string, since time.Time) (silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, result := range p.results[id] {
		if result.at.Before(since) {
			continue
		}
		if result.answered {
			return silence
		}
		silence = result.at.Sub(since)
	}
	return silence
}

// answeredOthers returns the fraction of the polls for other jobs in a period that were answered. The
// caller holds the lock.
func (p *Polls) answeredOthers(id string, first, last time.Time) float64 {
	answered, all := 0, 0
	for other, results := range p.results {
		if other == id {
			continue
		}
		for _, result := range results {
			if result.at.Before(first) || result.at.After(last) {
				continue
			}
			all++
			if result.answered {
				answered++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(answered) / float64(all)
}
