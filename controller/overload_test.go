package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// What can't be taken because too much waits already is refused at once, with a time to
// come back: it must not wait for its deadline first.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := testNode(t, testConfig("127.0.0.1:1"))
		n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
		for range maxIntake { // nothing commits here
			n.intake.Submit(records.Change{}, time.Time{}, func(records.CommitResult) {})
		}
		waiting, stop := context.WithCancel(t.Context())
		for range maxWaitingQueries { // nor answers
			go n.statusReads.ask(waiting, "job-1", nil)
		}
		synctest.Wait()
		began := time.Now()
		for name, answer := range map[string]server.Response{
			"submission": n.Submit(t.Context(), "job-2", &wire.JobSpec{Class: "c", Team: "red", Tasks: 1, CPUs: 1}),
			"poll":       n.Status(t.Context(), "job-2"),
		} {
			if answer.Status != 503 || answer.RetryAfter <= 0 {
				t.Errorf("%s: %+v", name, answer)
			}
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("refused after %v", waited)
		}
		for range maxWaitingReports(n.cfg.Settings.Resources.Sockets) {
			go n.relay.relay(waiting, nil)
		}
		synctest.Wait()
		began = time.Now()
		if answer := n.relay.relay(t.Context(), nil); answer.Status != 503 || time.Since(began) > 0 {
			t.Errorf("report: %+v after %v", answer, time.Since(began))
		}
		stop()
		synctest.Wait()
	})
}
