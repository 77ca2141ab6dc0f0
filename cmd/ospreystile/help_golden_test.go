package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
)

// Operators' scripts name the commands and flags, and a change of these breaks them.
func TestHelpMatchesGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, args := range [][]string{nil, {"check"}, {"version"}, {"zones"}, {"zone"}, {"zone", "hold"}, {"zone", "release"}, {"zone", "auto"},
		{"zone", "incidents"}, {"zone", "windows"}} {
		root := rootCommand()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append(args, "--help"))
		if err := root.Execute(); err != nil {
			t.Errorf("%v: %v", args, err)
		}
		fmt.Fprintf(&text, "# %s\n%s\n", strings.Join(append([]string{"ospreystile"}, args...), " "), out.String())
	}
	golden.CheckText(t, "help.txt", text.String())
}
