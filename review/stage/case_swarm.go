package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	swarmSize       = 2500 // single checks with the disruption
	smallSwarmSize  = 500  // and without
	submittersCount = 24
	submitRate      = 62 // a second; the state service takes 80 changes a second
	guaranteedWait  = 60 * time.Second
)

// playSwarm lets a team without a guarantee submit single checks, more than the machines can run at once. Then a
// team submits a job of the same priority that fits into its guarantee.
func playSwarm(ctx context.Context, s *stage) (broken string, err error) {
	p := pistePlan(2)
	p.settings.Teams = append(p.settings.Teams, config.Team{Name: "snoforskning"})
	if err := s.start(p); err != nil {
		return "", err
	}
	u := s.deployment.users
	if err := u.awaitUp(ctx); err != nil {
		return "", err
	}
	size := smallSwarmSize
	if s.trouble {
		size = swarmSize
	}
	if err := s.submitSwarm(ctx, size); err != nil {
		return "", err
	}
	fetch := &job{id: "job-900000", class: "feed-fetch", team: "karta-jamtland", urgency: "best_effort", legs: 6, cpus: 1, memoryGB: 1.6,
		pullGB: 0.1, runTime: 15 * time.Second}
	if err := u.submit(ctx, fetch); err != nil {
		return "", err
	}
	accepted, _ := fetch.times()
	for time.Since(accepted) < guaranteedWait {
		u.poll(ctx, fetch)
		if _, first := fetch.times(); !first.IsZero() {
			s.record.addf("first task of %s ran %v after it was accepted", fetch.id, first.Sub(accepted))
			return "", nil
		}
		if !monotonic.Sleep(ctx, time.Second) {
			return "", ctx.Err()
		}
	}
	return fmt.Sprintf("no task of %s, whose team uses nothing of its guarantee, was started within %v", fetch.id, guaranteedWait), nil
}

// submitSwarm submits single checks at submitRate.
func (s *stage) submitSwarm(ctx context.Context, size int) error {
	var group sync.WaitGroup
	var failed atomic.Pointer[error]
	numbers := make(chan int)
	for range submittersCount {
		group.Go(func() {
			for i := range numbers {
				check := &job{id: ids.JobID(fmt.Sprintf("job-%06d", i)), class: "lift-checks", team: "snoforskning", urgency: "best_effort",
					legs: 1, cpus: 1, memoryGB: 1.6, pullGB: 0.1, runTime: 60 * time.Second}
				if err := s.deployment.users.submit(ctx, check); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second / submitRate)
	defer ticker.Stop()
	for i := range size {
		<-ticker.C
		numbers <- i
	}
	close(numbers)
	group.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
