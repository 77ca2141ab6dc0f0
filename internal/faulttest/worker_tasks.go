package faulttest

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// workerTask is an attempt of a task on the worker's machine.
type workerTask struct {
	wire.TaskStatus
	ref   ids.TaskRef
	timer *time.Timer // fires at the next state change; nil if there is none
}

// stopTimer cancels the next state change.
func (t *workerTask) stopTimer() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// cachedImageDelay is how long a task takes to load an image that the machine has cached.
const cachedImageDelay = time.Millisecond

// recordEvent adds an event of the task to the history.
func (w *Worker) recordEvent(task *workerTask, kind EventKind) {
	w.history.Add(Event{Task: task.ref, Attempt: task.Attempt, Machine: w.machine.ID, Zone: w.machine.Zone, Kind: kind})
}

// executeCommands executes the commands in order. The caller holds the lock, as for all methods below.
func (w *Worker) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		w.executeCommand(command)
		w.triggerHeartbeat()
	}
}

// executeCommand executes a command. A command that is not valid in the state of its task has no
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

// addTask adds a task, which starts once its image is fetched. A task of an unknown job ends immediately.
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

// startTask starts a task whose image is fetched.
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

// hasTask reports whether the task is on the machine in the given state and the lease is valid.
func (w *Worker) hasTask(task *workerTask, state wire.TaskState) bool {
	return slices.Contains(w.tasks, task) && task.State == state && !w.leaseExpired()
}

// endTask ends a task that has not ended yet and records the event.
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

// dropTasks terminates and removes all tasks.
func (w *Worker) dropTasks() {
	for _, task := range w.tasks {
		task.stopTimer()
		if task.State != wire.TaskEnded {
			w.recordEvent(task, Terminated)
		}
	}
	w.tasks = nil
}
