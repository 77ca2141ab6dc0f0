package standin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// Verdict is the result of a case, and its exit code.
type Verdict int

// The verdicts.
const (
	Held   Verdict = 0
	Broken Verdict = 1
	Failed Verdict = 2 // the case could not run
)

// Case is one case. Play runs it on a deployment, with the disruption if Deployment.Trouble is set.
type Case struct {
	Options Options
	Play    func(ctx context.Context, d *Deployment) (Verdict, error)
}

// Main runs a case and ends the process. The argument names the file for the record.
func Main(c Case) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	verdict, err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(int(verdict))
}

// errUsage means that the name of the record's file is missing.
var errUsage = errors.New("usage: CASE RECORD")

func (c Case) run(ctx context.Context) (Verdict, error) {
	if len(os.Args) != 2 {
		return Failed, errUsage
	}
	d, err := Start(c.Options, os.Args[1])
	if err != nil {
		return Failed, err
	}
	defer d.Close()
	d.Trouble = os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.Users.Probe(ctx)
	verdict, err := c.Play(ctx, d)
	if ctx.Err() != nil {
		verdict, err = Failed, ctx.Err()
	}
	if err == nil && !d.nodesAlive() {
		verdict, err = Failed, errors.New("a node ended by itself")
	}
	d.Record.Add("verdict: %d %v", verdict, err)
	return verdict, err
}

// nodesAlive reports whether no node has ended by itself.
func (d *Deployment) nodesAlive() bool {
	for _, node := range d.Nodes {
		if node.ended() {
			return false
		}
	}
	return true
}

// errNotRunning means that jobs did not start in time.
var errNotRunning = errors.New("the jobs did not start in time")

const (
	// settleTime is how long the jobs may take to start.
	settleTime = 20 * time.Second
	settlePoll = 100 * time.Millisecond
)

// Settle submits jobs, watches them, and waits until each of them runs or is done.
func (d *Deployment) Settle(ctx context.Context, polls *Polls, jobs []Job) error {
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, job := range jobs {
		if !d.Users.SubmitUntilAccepted(limited, job) {
			return errNotRunning
		}
		polls.Watch(ctx, job.ID)
	}
	for _, job := range jobs {
		for polls.State(job.ID) != wire.JobRunning && polls.State(job.ID) != wire.JobDone {
			if !sleep(limited, settlePoll) {
				return errNotRunning
			}
		}
	}
	return nil
}

// Node returns the node with a name, or nil.
func (d *Deployment) Node(name string) *Node {
	for _, node := range d.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// WithdrawUntilAnswered repeats the cancellation of a job until it is answered or the context ends.
func (d *Deployment) WithdrawUntilAnswered(ctx context.Context, id string) {
	for ctx.Err() == nil {
		answer := d.Users.Withdraw(ctx, id)
		d.Record.Add("user: withdraw %s at %q: %d %q", id, answer.Node, answer.Status, answer.State)
		if answer.Answered() {
			return
		}
		sleep(ctx, answer.retryAfter)
	}
}

// The rule "forgotten": for forgottenAfter every poll for a job fails while most others are answered. Once
// all troubles are over, no poll for a job is answered for unansweredAfter.
const (
	forgottenAfter  = 90 * time.Second
	mostAnswered    = 0.5
	unansweredAfter = 75 * time.Second
)

// Unanswered checks the rule "forgotten" for a job once all troubles are over.
func (d *Deployment) Unanswered(polls *Polls, id string, since time.Time) Verdict {
	silence := polls.SilenceSince(id, since)
	d.Record.Add("since all troubles are over, every poll for %s failed for %.1f s", id, silence.Seconds())
	if silence >= unansweredAfter {
		d.Record.Add("rule broken: forgotten: %s", id)
		return Broken
	}
	return Held
}

// Forgotten checks the rule "forgotten" for a job.
func (d *Deployment) Forgotten(polls *Polls, id string) Verdict {
	silence, others := polls.Silence(id)
	d.Record.Add("every poll for %s failed for %.1f s, while %.0f%% of the others were answered", id, silence.Seconds(), 100*others)
	if silence >= forgottenAfter && others > mostAnswered {
		d.Record.Add("rule broken: forgotten")
		return Broken
	}
	return Held
}

// Wait waits and reports whether the case goes on.
func Wait(ctx context.Context, duration time.Duration) bool { return sleep(ctx, duration) }
