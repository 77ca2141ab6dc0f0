package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

const (
	vastLegs     = 4800 // tasks of the array with the disruption
	modestLegs   = 600  // and without
	smallTaskRun = 40 * time.Second
	// lastPoll is the time of the run after which the job is not polled any more.
	lastPoll     = 110 * time.Second
	pollInterval = 5 * time.Second
)

// playSmallTasks submits one array of small tasks, which run for 40 s. The three machines can run all of them at
// once. With the disruption it is a vast one.
func playSmallTasks(ctx context.Context, s *stage) (broken string, err error) {
	if err := s.start(pistePlan(1)); err != nil {
		return "", err
	}
	u := s.deployment.users
	if err := u.awaitUp(ctx); err != nil {
		return "", err
	}
	survey := &job{id: "job-000001", class: "slope-survey", team: "karta-jamtland", urgency: "best_effort", legs: modestLegs, cpus: 0.02,
		memoryGB: 0.03, pullGB: 0.5, runTime: smallTaskRun}
	if s.trouble {
		survey.legs = vastLegs
	}
	if err := u.submit(ctx, survey); err != nil {
		return "", err
	}
	for s.record.elapsed() < lastPoll {
		if u.poll(ctx, survey).Status == wire.JobDone {
			return "", nil
		}
		if !monotonic.Sleep(ctx, pollInterval) {
			return "", ctx.Err()
		}
	}
	return s.lostTasks(survey), nil
}

// lostTasks describes how often the workers lost all their tasks because the controllers refused their reports. It
// returns "" if that did not happen, so that the job is only late.
func (s *stage) lostTasks(survey *job) string {
	leases, refused := 0, 0
	for _, w := range s.deployment.cloud.workers() {
		w.mu.Lock()
		for _, refusals := range w.lostLeases {
			leases++
			refused += refusals[http.StatusBadRequest]
		}
		w.mu.Unlock()
	}
	if leases == 0 || refused == 0 {
		return ""
	}
	starts, _, done := survey.counts()
	return fmt.Sprintf("%d of %d tasks are done after %d starts: %d times a worker's lease ended, and all its tasks, since the controllers answered its reports with 400 (%d reports)",
		done, survey.legs, starts, leases, refused)
}
