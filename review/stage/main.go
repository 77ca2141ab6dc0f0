// Stage plays one case of the second review: it starts stand-ins for the state service, the cloud, the
// workers and the users on loopback addresses, and the controllers as separate processes with the run line
// of the deploy file. It plays a small deployment with or without the disruption of the case, writes what
// was sent, answered and run to a record, and checks one rule.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun is the time after which a case that has not ended is given up.
const maxRun = 116 * time.Second

// scenario plays a case. It returns what broke the rule, or "" if the rule held.
type scenario func(ctx context.Context, s *stage) (broken string, err error)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"small-tasks": playSmallTasks,
	"mistakes":    playMistakes,
	"swarm":       playSwarm,
	"nested":      playNested,
	"stored":      playStored,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE REPOSITORY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit status.
func run(name, repository, recordPath string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	s := &stage{repository: repository, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.close()
	record.addf("case %s, with the disruption: %v", name, s.trouble)
	broken, err := scenarios[name](ctx, s)
	switch {
	case err != nil:
		record.addf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		record.addf("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	record.addf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
