package standin

import (
	"net/http"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// held waits while the machine is cut off. It returns false if the caller has gone in the meantime.
func (w *Worker) held(r *http.Request) bool {
	cut := w.cutOff()
	if cut == nil {
		return true
	}
	select {
	case <-cut:
		return true
	case <-r.Context().Done():
		return false
	}
}

// running returns the tasks that run on the machine, with their starts.
func (w *Worker) running() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := map[string]time.Time{}
	for _, l := range w.legs {
		if l.State == wire.TaskRunning {
			tasks[l.Name] = l.started
		}
	}
	return tasks
}

func (w *Worker) show(rw http.ResponseWriter, r *http.Request) {
	if !w.held(r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, w.message())
}

func (w *Worker) do(rw http.ResponseWriter, r *http.Request) {
	var batch wire.CommandBatch
	if !parse(rw, r, &batch) || !w.held(r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if batch.FencingToken < w.baton || batch.Incarnation != w.tenure {
		reply(rw, http.StatusConflict, w.message())
		return
	}
	if batch.FencingToken > w.baton {
		w.baton = batch.FencingToken
		w.noteChange()
	}
	w.execute(batch.Commands)
	reply(rw, http.StatusOK, w.message())
}

// execute executes commands in order. The caller holds the lock, as for all methods below.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.legs, func(l *leg) bool { return l.Name == command.Name && l.Attempt == command.Attempt })
		switch {
		case i < 0 && command.Verb == wire.VerbRun:
			w.add(command)
		case i >= 0 && command.Verb == wire.VerbKill && w.legs[i].State != wire.TaskEnded:
			w.end(w.legs[i], wire.CauseStopped)
		case i >= 0 && command.Verb == wire.VerbReap && w.legs[i].State == wire.TaskEnded:
			w.legs = slices.Delete(w.legs, i, i+1)
		default:
			continue
		}
		w.noteChange()
	}
}

// refusal returns the cause for which the worker refuses to start a task of a known job, or "".
func (w *Worker) refusal(name string, job Job) wire.ExitCause {
	cpus, memory := job.CPUs, job.MemoryGB
	for _, l := range w.legs {
		if l.Name == name {
			return wire.CauseInUse
		}
		if l.State != wire.TaskEnded {
			cpus, memory = cpus+l.job.CPUs, memory+l.job.MemoryGB
		}
	}
	if cpus > w.kind.CPUs || memory > w.kind.MemoryGB {
		return wire.CauseFull
	}
	return ""
}

// add adds a task. It runs once the machine has its image.
func (w *Worker) add(command wire.Command) {
	ref, _ := ids.ParseTask(command.Name)
	job, known := w.jobs.job(string(ref.Job))
	l := &leg{TaskStatus: wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskFetching}, job: job}
	cause := wire.CauseNoSuch
	if known && ref.Index < job.Tasks {
		cause = w.refusal(command.Name, job)
	}
	if cause != "" {
		l.State, l.Cause = wire.TaskEnded, cause
		w.legs = append(w.legs, l)
		return
	}
	w.legs = append(w.legs, l)
	delay := time.Duration(job.ImageGB / w.kind.FetchGBps * float64(time.Second))
	if w.images[job.Image] {
		delay = 0
	}
	l.timer = time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.begin(l)
	})
}

// begin starts a task whose image the machine has.
func (w *Worker) begin(l *leg) {
	if !slices.Contains(w.legs, l) || l.State != wire.TaskFetching {
		return
	}
	w.images[l.job.Image] = true
	l.State, l.started = wire.TaskRunning, time.Now()
	w.record.Add("worker %s: %s try %d starts", w.machine.ID, l.Name, l.Attempt)
	w.noteChange()
	if l.job.Service {
		return
	}
	l.timer = time.AfterFunc(l.job.Run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if slices.Contains(w.legs, l) && l.State == wire.TaskRunning {
			w.end(l, wire.CauseDone)
		}
	})
}

// end ends a task and keeps it in the reports.
func (w *Worker) end(l *leg, cause wire.ExitCause) {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.State == wire.TaskRunning {
		w.record.Add("worker %s: %s try %d ends: %s", w.machine.ID, l.Name, l.Attempt, cause)
	}
	l.State, l.Cause = wire.TaskEnded, cause
	w.noteChange()
}
