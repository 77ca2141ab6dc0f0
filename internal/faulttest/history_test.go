package faulttest

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// History must detect a task that runs twice at the same time and a task that is started again after it
// completed. Otherwise the deployment tests would pass although a task ran twice.
func TestHistoryDetectsConcurrentAndRepeatedRuns(t *testing.T) {
	task := ids.TaskRef{Job: "job-1"}
	event := func(kind EventKind, machine ids.MachineID, attempt ids.Attempt) Event {
		return Event{Task: task, Attempt: attempt, Machine: machine, Zone: "a", Kind: kind}
	}
	for _, c := range []struct {
		name                 string
		events               []Event
		violations, repeated int
	}{
		{"moved after it was terminated", []Event{
			event(StartReceived, "n-1", 1), event(Started, "n-1", 1), event(Terminated, "n-1", 1),
			event(StartReceived, "n-2", 2), event(Started, "n-2", 2),
		}, 0, 0},
		{"runs twice", []Event{
			event(StartReceived, "n-1", 1), event(Started, "n-1", 1),
			event(StartReceived, "n-2", 2), event(Started, "n-2", 2),
		}, 1, 0},
		{"started again after it completed", []Event{
			event(StartReceived, "n-1", 1), event(Started, "n-1", 1), event(Completed, "n-1", 1),
			event(StartReceived, "n-2", 2),
		}, 0, 1},
	} {
		history := NewHistory()
		for _, e := range c.events {
			history.Add(e)
		}
		if got := len(history.Violations()); got != c.violations || history.RepeatedStarts() != c.repeated {
			t.Errorf("%s: %d violations, %d repeated", c.name, got, history.RepeatedStarts())
		}
	}
}

// The counts by zone, job and time must include only matching events and starts that do not run yet.
func TestHistoryCounts(t *testing.T) {
	event := func(kind EventKind, index int, zone ids.Zone) Event {
		return Event{Task: ids.TaskRef{Job: "job-1", Index: index}, Attempt: 1, Machine: "n-1", Zone: zone, Kind: kind}
	}
	history, began := NewHistory(), time.Now()
	for _, e := range []Event{
		event(StartReceived, 0, "a"), event(Started, 0, "a"),
		event(StartReceived, 1, "a"), event(StartReceived, 2, "a"), event(Terminated, 2, "a"),
		event(StartReceived, 3, "b"), event(Started, 3, "b"), event(Completed, 3, "b"),
	} {
		history.Add(e)
	}
	all, none := func(ids.JobID) bool { return true }, func(ids.JobID) bool { return false }
	if got := history.RunningByZone("job-1"); got["a"] != 1 || got["b"] != 0 {
		t.Errorf("running: %v", got)
	}
	for _, c := range []struct {
		name      string
		got, want int
	}{
		{"starts in flight", history.StartsInFlight("a", began, all), 1},
		{"starts in flight of no job", history.StartsInFlight("a", began, none), 0},
		{"starts in flight from now on", history.StartsInFlight("a", time.Now(), all), 0},
		{"starts received", history.StartsReceived("job-1", "a", began), 3},
		{"starts received of another job", history.StartsReceived("job-2", "a", began), 0},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}
