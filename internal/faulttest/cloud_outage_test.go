package faulttest

import (
	"context"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

const (
	// operatorDefaults are operator settings without any change.
	operatorDefaults = "config/operator.default.json"
	// outageObservation is how long the tasks are observed during an outage of the cloud. Tasks whose
	// machines get no answer to their heartbeats end within one lease.
	outageObservation = 2 * defaultLease
	// answerTimeout is the time within which a submission and a cancellation are answered. It leaves a
	// controller the time to start, to be elected and to send each machine its fencing token.
	answerTimeout = 15 * time.Second
)

// startCloudOutage starts a service and an outage of the cloud. The machine types are in the store by then.
func startCloudOutage(t *testing.T) (z *zoneTest, service Job) {
	t.Helper()
	z = newZoneTest(t, operatorDefaults, []ids.Zone{"gdansk"}, 2)
	service = Job{ID: "job-000001", Team: "maps", Class: "tiles", Service: true, Priority: "critical", Tasks: 4, CPUs: 1, Image: "tiles"}
	z.requireNoError(z.Users.Submit(z.ctx, service))
	z.await("all replicas run", func() bool { return z.countRunning(service.ID) == service.Tasks })
	z.Cloud.StartOutage()
	return z, service
}

// checkServesDuringCloudOutage checks that the replicas of a service continue to run, that a new job starts
// on a machine with free resources, and that a cancellation is answered and takes effect.
func (z *zoneTest) checkServesDuringCloudOutage(service Job, restartedAt time.Time) {
	z.t.Helper()
	time.Sleep(outageObservation)
	if ended := z.History.Terminations(service.ID, restartedAt); ended > 0 {
		z.t.Errorf("%d replicas ended although no machine failed", ended)
	}
	array := Job{ID: "job-000002", Team: "maps", Class: "rebuild", Priority: "normal", Tasks: 2, CPUs: 1, Image: "tiles", RunTime: time.Second}
	ctx, cancel := context.WithTimeout(z.ctx, answerTimeout)
	defer cancel()
	z.requireNoError(z.Users.Submit(ctx, array))
	z.awaitJobState(array.ID, wire.JobDone)
	ctx, cancel = context.WithTimeout(z.ctx, answerTimeout)
	defer cancel()
	if _, err := z.Users.Cancel(ctx, service.ID); err != nil {
		z.t.Errorf("the cancellation is not answered within %v: %v", answerTimeout, err)
	}
	z.await("the cancelled replicas have ended", func() bool { return z.countRunning(service.ID) == 0 })
	z.checkNoConcurrentRuns()
}

// A leader whose process is restarted at once takes its key back. If it waited for the cloud's catalog
// before it answers heartbeats, every task in the deployment would end with its lease, and no cancellation
// would be acknowledged, for as long as the cloud does not answer.
func TestLeaderRestartedDuringCloudOutageLeads(t *testing.T) {
	z, service := startCloudOutage(t)
	restartedAt := time.Now()
	z.restartController(z.leaderName())
	z.checkServesDuringCloudOutage(service, restartedAt)
}

// No controller has read the cloud's catalog once all of them are restarted in an outage of the cloud. If
// only their memory held it, no job could be accepted or placed until the outage ends.
func TestAllControllersRestartedDuringCloudOutageServe(t *testing.T) {
	z, service := startCloudOutage(t)
	restartedAt := time.Now()
	for _, c := range z.Controllers {
		c.Kill()
	}
	for _, c := range z.Controllers {
		z.requireNoError(c.Start(z.program))
	}
	z.checkServesDuringCloudOutage(service, restartedAt)
}

// leaderName returns the name in the leader key.
func (z *zoneTest) leaderName() ids.ControllerName {
	z.t.Helper()
	var holder struct {
		Name ids.ControllerName `msgpack:"n"`
	}
	entry, found := z.KV.Entry(records.LeaderKey)
	if !found || wire.Decode(entry.Value, &holder) != nil || !slices.ContainsFunc(z.Controllers, func(c *Controller) bool { return c.Name == holder.Name }) {
		z.t.Fatal("no controller leads")
	}
	return holder.Name
}
