package main

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// execute executes commands in order. The caller holds the lock of the worker, as for all methods of this file.
func (w *worker) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.Name == command.Name && t.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbRun && i < 0:
			w.run(command)
		case command.Verb == wire.VerbKill && i >= 0 && w.tasks[i].State != wire.TaskEnded:
			w.end(w.tasks[i], wire.CauseStopped)
		case command.Verb == wire.VerbReap && i >= 0 && w.tasks[i].State == wire.TaskEnded:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
	}
}

// run starts a task, or refuses it.
func (w *worker) run(command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskFetching}}
	ref, _ := ids.ParseTask(command.Name)
	t.job = w.deployment.users.find(ref.Job)
	if cause := w.refuses(t); cause != "" {
		t.State, t.Cause = wire.TaskEnded, cause
		w.deployment.record.addf("%s: %s try %d refused: %s", w.machine.ID, t.Name, t.Attempt, cause)
	}
	w.tasks = append(w.tasks, t)
	w.change()
	if t.State == wire.TaskEnded {
		return
	}
	image := t.job.image()
	ready, known := w.images[image]
	if !known {
		ready = timeNow().Add(time.Duration(t.job.imageGB() / w.deployment.pullGBPerS * float64(time.Second)))
		w.images[image] = ready
	}
	t.timer = time.AfterFunc(max(0, time.Until(ready)), func() { w.begin(t) })
}

// refuses returns why a task is refused, or "".
func (w *worker) refuses(t *task) wire.ExitCause {
	if t.job == nil {
		return wire.CauseNoSuch
	}
	need := t.job.resources()
	for _, other := range w.tasks {
		if other.State == wire.TaskEnded {
			continue
		}
		if other.Name == t.Name {
			return wire.CauseInUse
		}
		need = need.Plus(other.job.resources())
	}
	i := slices.IndexFunc(w.deployment.types, func(m wire.MachineType) bool { return m.Name == w.machine.Type })
	if !need.FitsIn(placement.MachineResources(&w.deployment.types[i])) {
		return wire.CauseFull
	}
	return ""
}

// begin starts a task whose image is there. It takes the lock.
func (w *worker) begin(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.tasks, t) || t.State != wire.TaskFetching {
		return
	}
	t.State = wire.TaskRunning
	w.deployment.record.addf("%s: %s try %d runs", w.machine.ID, t.Name, t.Attempt)
	t.job.began(t.Name)
	w.change()
	after, cause := t.job.runTime, wire.CauseDone
	if t.job.mistake {
		after, cause = time.Second, wire.CauseError
	}
	if t.job.service && !t.job.mistake {
		return
	}
	t.timer = time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if slices.Contains(w.tasks, t) && t.State == wire.TaskRunning {
			w.end(t, cause)
		}
	})
}

// end ends a task that has not ended.
func (w *worker) end(t *task, cause wire.ExitCause) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.State == wire.TaskRunning {
		t.job.ended(t.Name)
		if cause == wire.CauseDone {
			t.job.completed(t.Name)
		}
	}
	t.State, t.Cause = wire.TaskEnded, cause
	w.deployment.record.addf("%s: %s try %d ended: %s", w.machine.ID, t.Name, t.Attempt, cause)
	w.change()
}
