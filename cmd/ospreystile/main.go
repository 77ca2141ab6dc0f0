// Command ospreystile runs one controller of the cluster scheduler. Its subcommands check
// settings, and show and control the recovery of zones.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

func main() {
	// A controller has a fraction of one core, so more running threads only add context switches.
	runtime.GOMAXPROCS(1)
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ospreystile:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}
