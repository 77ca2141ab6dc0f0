// Command citest runs the project's tests in CI: all of them but those that
// KNOWN-RED.txt lists, which it prints and expects to fail. It runs in the module's
// root directory.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/internal/knownfailures"
)

// listFile names the list; without it no test is passed over.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(1)
	}
}

func run() error {
	entries, err := readList()
	if err != nil {
		return err
	}
	return knownfailures.Run(entries, goTest{}, os.Stdout)
}

func readList() ([]knownfailures.Entry, error) {
	file, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := knownfailures.Parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listFile, err)
	}
	return entries, nil
}

// goTest runs go test with the flags of README.md.
type goTest struct{}

var testFlags = []string{"test", "-race", "-timeout", "10m"}

// All implements knownfailures.Runner.
func (goTest) All(skip string) error {
	args := slices.Clone(testFlags)
	if skip != "" {
		args = append(args, "-skip", skip)
	}
	cmd := exec.Command("go", append(args, "./...")...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// Packages implements knownfailures.Runner.
func (goTest) Packages(test string) ([]string, error) {
	packages, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing packages: %w", err)
	}
	var found []string
	for pkg := range strings.FieldsSeq(string(packages)) {
		listed, err := exec.Command("go", "test", "-list", "^"+test+"$", pkg).Output()
		if err != nil {
			return nil, fmt.Errorf("listing the tests of %s: %w", pkg, err)
		}
		if bytes.HasPrefix(listed, []byte(test+"\n")) {
			found = append(found, pkg)
		}
	}
	return found, nil
}

// Passes implements knownfailures.Runner.
func (goTest) Passes(pkg, test string) (bool, error) {
	output, err := exec.Command("go", append(slices.Clone(testFlags), "-run", "^"+test+"$", pkg)...).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &exit) && bytes.Contains(output, []byte("--- FAIL: "+test)):
		return false, nil
	}
	return false, fmt.Errorf("%w: %s", err, output)
}
