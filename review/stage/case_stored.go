package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

const (
	// storedJobs is the number of jobs that have ended before, with the disruption, and fewStoredJobs without.
	storedJobs    = 600_000
	fewStoredJobs = 10_000
	// restartDelay is how long after its end a controller is back.
	restartDelay = 3 * time.Second
)

// playStored starts the controllers for a state service that holds the records of jobs that have ended, as the
// program wrote them. The platform ends a controller that holds more memory than granted, and starts it again. A
// user submits a job.
func playStored(ctx context.Context, s *stage) (broken string, err error) {
	stored := fewStoredJobs
	if s.trouble {
		stored = storedJobs
	}
	s.beforeControllers = func(d *deployment) {
		for i := range stored {
			d.state.server.Put(records.JobKey(rebuild(100_000+i, "", 1, 0).id),
				records.Job{Nonce: uint64(i)<<20 | 1<<52, Status: wire.JobDone, Tasks: 4, DoneMS: timeNow().UnixMilli() - int64(storedJobs-i)*1000})
		}
		d.record.addf("the state service holds %d jobs that are done", stored)
	}
	if err := s.start(archivePlan()); err != nil {
		return "", err
	}
	watching, stop := context.WithCancel(ctx)
	var platform sync.WaitGroup
	ended := 0
	platform.Go(func() { ended = s.deployment.enforceMemory(watching, restartDelay) })
	defer platform.Wait()
	defer stop()
	if err := s.deployment.users.awaitUp(ctx); err != nil {
		return "", err
	}
	last := rebuild(1, "", 2, 5*time.Second)
	if err := s.deployment.users.submit(ctx, last); err != nil {
		return "", err
	}
	broken, err = s.awaitStart(ctx, last, longestWait)
	stop()
	platform.Wait()
	if broken != "" {
		broken = fmt.Sprintf("%s; %d times a controller held more memory than the %v MB that it is granted, and was ended", broken, ended, s.deployment.settings.Resources.RAMMB)
	}
	return broken, err
}

// enforceMemory ends controllers that hold more memory than they are granted, until the context ends. It starts
// them again after the delay, unless that is 0. It returns how many it ended.
func (d *deployment) enforceMemory(ctx context.Context, restart time.Duration) (ended int) {
	peaks, back := map[*controllerProcess]float64{}, map[*controllerProcess]time.Time{}
	for monotonic.Sleep(ctx, 5*time.Millisecond) {
		for _, c := range d.controllers {
			switch {
			case c.process == nil && restart > 0 && timeNow().After(back[c]):
				if err := d.startController(c); err != nil {
					d.record.addf("%v", err)
				}
			case c.process != nil:
				held := residentMB(c.process.Process.Pid)
				peaks[c] = max(peaks[c], held)
				if held > d.settings.Resources.RAMMB {
					d.record.addf("platform: %s holds %.0f MB and is ended", c.name, held)
					c.kill()
					ended++
					back[c] = timeNow().Add(restart)
				}
			}
		}
	}
	for _, c := range d.controllers {
		d.record.addf("platform: %s held %.0f MB at most", c.name, peaks[c])
	}
	return ended
}
