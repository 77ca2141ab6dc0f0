package faulttest

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// workerTask is an attempt of a task on a worker's machine.
type workerTask struct {
	wire.TaskStatus
	ref   ids.TaskRef
	timer *time.Timer // of the next change of the state; nil: there is none
}

// stopTimer cancels the next change of the state.
func (t *workerTask) stopTimer() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// cachedImageDelay is how long a task waits for an image that the machine has.
const cachedImageDelay = time.Millisecond

// recordEvent adds an event of a task to the history.
func (w *Worker) recordEvent(task *workerTask, kind EventKind) {
	w.history.Add(Event{Task: task.ref, Attempt: task.Attempt, Machine: w.machine.ID, Zone: w.machine.Zone, Kind: kind})
}

// executeCommands executes commands in order. The caller holds the lock, as for all methods
// below.
func (w *Worker) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		w.executeCommand(command)
		w.triggerHeartbeat()
	}
}

// executeCommand executes one command. One that does not fit the state of its task has no
// effect.
func (w *Worker) executeCommand(command wire.Command) {
	ref, _ := ids.ParseTask(command.Name)
	i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.ref == ref && t.Attempt == command.Attempt })
	if i < 0 {
		if command.Verb == wire.VerbRun {
			w.addTask(ref, command)
		}
		return
	}
	ended := w.tasks[i].State == wire.TaskEnded
	switch {
	case command.Verb == wire.VerbKill && !ended:
		w.endTask(w.tasks[i], wire.CauseStopped)
	case command.Verb == wire.VerbReap && ended:
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

// addTask adds a task, which starts once the machine has its image.
func (w *Worker) addTask(ref ids.TaskRef, command wire.Command) {
	task := &workerTask{TaskStatus: wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskFetching}, ref: ref}
	w.tasks = append(w.tasks, task)
	job, known := w.users.Job(ref.Job)
	if !known {
		task.State, task.Cause = wire.TaskEnded, wire.CauseNoSuch
		return
	}
	w.recordEvent(task, StartReceived)
	delay := w.timing.ImageFetch
	if w.images[job.Image] {
		delay = cachedImageDelay
	}
	task.timer = time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.startTask(task, job)
	})
}

// startTask starts a task whose image is there.
func (w *Worker) startTask(task *workerTask, job Job) {
	if !w.hasTask(task, wire.TaskFetching) {
		return
	}
	w.images[job.Image] = true
	task.State = wire.TaskRunning
	w.recordEvent(task, Started)
	w.triggerHeartbeat()
	if job.Service {
		return
	}
	task.timer = time.AfterFunc(job.RunTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.hasTask(task, wire.TaskRunning) {
			w.endTask(task, wire.CauseDone)
		}
	})
}

// hasTask reports whether a task is on the machine in a state, under a valid lease.
func (w *Worker) hasTask(task *workerTask, state wire.TaskState) bool {
	return slices.Contains(w.tasks, task) && task.State == state && !w.leaseExpired()
}

// endTask ends a task that has not ended.
func (w *Worker) endTask(task *workerTask, cause wire.ExitCause) {
	task.State, task.Cause = wire.TaskEnded, cause
	task.stopTimer()
	event := Terminated
	if cause == wire.CauseDone {
		event = Completed
	}
	w.recordEvent(task, event)
	w.triggerHeartbeat()
}

// dropTasks terminates and forgets all tasks.
func (w *Worker) dropTasks() {
	for _, task := range w.tasks {
		task.stopTimer()
		if task.State != wire.TaskEnded {
			w.recordEvent(task, Terminated)
		}
	}
	w.tasks = nil
}
