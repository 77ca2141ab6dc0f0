package faulttest

import (
	"net/http"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// givenAwayWithin is the time within which a controller that is cut off has the load balancer remove it.
const givenAwayWithin = 10 * time.Second

// get sends a request to a controller. It returns the status, and whether the response closes the connection.
func (z *zoneTest) get(c *Controller, path string) (status int, closes bool) {
	request, err := http.NewRequestWithContext(z.ctx, http.MethodGet, "http://"+c.apiAddress+path, http.NoBody)
	z.requireNoError(err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	response.Body.Close()
	return response.StatusCode, response.Close
}

// Users keep their connections to a controller that has lost the key-value store and its peers, and that answers
// none of their requests. If it passed its health checks, they would get no answer for as long as that lasts.
func TestIsolatedControllerGivesItsUsersAway(t *testing.T) {
	z := newZoneTest(t, operatorDefaults, []ids.Zone{"gdansk"}, 2)
	service := Job{ID: "job-000001", Team: "maps", Class: "tiles", Service: true, Priority: "critical", Tasks: 2, CPUs: 1, Image: "tiles"}
	z.requireNoError(z.Users.Submit(z.ctx, service))
	z.await("the replicas run", func() bool { return z.countRunning(service.ID) == service.Tasks })
	isolated := z.controllerNamed(z.leaderName())
	z.IsolateController(isolated)
	cutAt := time.Now()
	z.await("a poll closes its connection and the health check fails", func() bool {
		pollStatus, closes := z.get(isolated, jobPath(service.ID))
		healthStatus, _ := z.get(isolated, "/up")
		return pollStatus == http.StatusServiceUnavailable && closes && healthStatus == http.StatusServiceUnavailable
	})
	if took := time.Since(cutAt); took > givenAwayWithin {
		t.Errorf("its users are given away after %v, want %v", took, givenAwayWithin)
	}
	for _, c := range z.Controllers {
		if c == isolated {
			continue
		}
		z.await("the others answer", func() bool {
			pollStatus, _ := z.get(c, jobPath(service.ID))
			healthStatus, _ := z.get(c, "/up")
			return pollStatus == http.StatusOK && healthStatus == http.StatusOK
		})
	}
	z.ReconnectController(isolated)
	z.await("the controller is healthy again", func() bool {
		pollStatus, _ := z.get(isolated, jobPath(service.ID))
		healthStatus, _ := z.get(isolated, "/up")
		return pollStatus == http.StatusOK && healthStatus == http.StatusOK
	})
	z.checkNoConcurrentRuns()
}
