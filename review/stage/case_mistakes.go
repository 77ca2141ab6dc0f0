package main

import (
	"context"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

const (
	// healthyJobs is the number of jobs of the class without a mistake. One of 25 has one, as the site file
	// says (broken = 0.04).
	healthyJobs = 24
	// onlyZone is the zone in which the case's jobs must run. The cloud has one machine for them there.
	onlyZone ids.Zone = "lodz-b"
	// longestWait is the time after which a job must not wait any more while a machine that fits has room.
	longestWait = 90 * time.Second
)

// rebuild returns a job of the class series-rebuild. It may only run in the zone, unless that is "".
func rebuild(number int, zone ids.Zone, legs int, runTime time.Duration) *job {
	j := &job{id: ids.JobID(fmt.Sprintf("job-%06d", number)), class: "series-rebuild", team: "archiwum-gdansk", urgency: "normal", legs: legs,
		cpus: 8, memoryGB: 30, pullGB: 0.8, runTime: runTime}
	if zone != "" {
		j.hall = zone
	}
	return j
}

// playMistakes runs a replica of a service and some jobs. With the disruption one of the jobs was submitted with a
// mistake and fails until its user cancels it. Then a job is submitted for which the only machine has room.
func playMistakes(ctx context.Context, s *stage) (broken string, err error) {
	if err := s.start(archivePlan()); err != nil {
		return "", err
	}
	u := s.deployment.users
	if err := u.awaitUp(ctx); err != nil {
		return "", err
	}
	gateway := &job{id: "job-000001", class: "query-gateway", team: "uslugi-klienta", urgency: "critical", service: true, legs: 1, cpus: 2,
		memoryGB: 12, pullGB: 0.7, hall: onlyZone, frames: []string{"wezel-duzy"}}
	if err := u.submit(ctx, gateway); err != nil {
		return "", err
	}
	if err := awaitRunning(ctx, gateway); err != nil {
		return "", err
	}
	if err := s.playHealthyJobs(ctx); err != nil {
		return "", err
	}
	if s.trouble {
		if err := s.playMistake(ctx); err != nil {
			return "", err
		}
	}
	last := rebuild(900, onlyZone, 2, 5*time.Second)
	if err := u.submit(ctx, last); err != nil {
		return "", err
	}
	return s.awaitStart(ctx, last, longestWait)
}

// playHealthyJobs submits the jobs without a mistake and waits until all are done.
func (s *stage) playHealthyJobs(ctx context.Context) error {
	var jobs []*job
	for i := range healthyJobs {
		j := rebuild(100+i, "", 1, 500*time.Millisecond)
		if err := s.deployment.users.submit(ctx, j); err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		for s.deployment.users.poll(ctx, j).Status != wire.JobDone {
			if !monotonic.Sleep(ctx, 200*time.Millisecond) {
				return fmt.Errorf("%s is not done", j.id)
			}
		}
	}
	return nil
}

// awaitRunning waits until a task of a job runs.
func awaitRunning(ctx context.Context, j *job) error {
	for {
		if _, running, _ := j.counts(); running > 0 {
			return nil
		}
		if !monotonic.Sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("no task of %s runs", j.id)
		}
	}
}

// playMistake submits a job with a mistake, which its user cancels 3 s after the first task has run.
func (s *stage) playMistake(ctx context.Context) error {
	wrong := rebuild(800, onlyZone, 3, 30*time.Second)
	wrong.mistake = true
	if err := s.deployment.users.submit(ctx, wrong); err != nil {
		return err
	}
	if err := awaitRunning(ctx, wrong); err != nil {
		return err
	}
	monotonic.Sleep(ctx, 3*time.Second)
	return s.deployment.users.cancel(ctx, wrong)
}

// awaitStart polls a job until its first task runs. It returns what broke the rule if none does within the time.
func (s *stage) awaitStart(ctx context.Context, j *job, within time.Duration) (broken string, err error) {
	accepted, _ := j.times()
	for time.Since(accepted) < within {
		s.deployment.users.poll(ctx, j)
		if _, first := j.times(); !first.IsZero() {
			s.record.addf("the first task of %s ran %v after it was accepted", j.id, first.Sub(accepted))
			return "", nil
		}
		if !monotonic.Sleep(ctx, time.Second) {
			return "", ctx.Err()
		}
	}
	for _, w := range s.deployment.cloud.workers() {
		w.mu.Lock()
		s.record.addf("%s in %s has these tasks: %v", w.machine.ID, w.machine.Zone, w.status().Tasks)
		w.mu.Unlock()
	}
	return fmt.Sprintf("no task of %s was started within %v", j.id, within), nil
}
