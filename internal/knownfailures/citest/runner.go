package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// goTest is a knownfailures.Runner that runs the go command.
type goTest struct{}

// testFlags are the arguments of the go command with which README.md runs the tests.
var testFlags = []string{"test", "-race", "-timeout", "10m"}

// RunAll runs all tests that do not match the pattern skip, and prints their output.
func (goTest) RunAll(skip string) error {
	args := slices.Clone(testFlags)
	if skip != "" {
		args = append(args, "-skip", skip)
	}
	cmd := exec.Command("go", append(args, "./...")...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// Packages returns the packages that have a test with this name.
func (goTest) Packages(test string) ([]string, error) {
	packages, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing packages: %w", err)
	}
	var found []string
	for pkg := range strings.FieldsSeq(string(packages)) {
		listed, err := exec.Command("go", "test", "-list", exactPattern(test), pkg).Output()
		if err != nil {
			return nil, fmt.Errorf("listing the tests of %s: %w", pkg, err)
		}
		if bytes.HasPrefix(listed, []byte(test+"\n")) {
			found = append(found, pkg)
		}
	}
	return found, nil
}

// Passes runs one test and reports whether it passes. It returns an error if the run gives no result for
// the test, for example because the package does not compile.
func (goTest) Passes(pkg, test string) (bool, error) {
	args := append(slices.Clone(testFlags), "-run", exactPattern(test), pkg)
	output, err := exec.Command("go", args...).CombinedOutput()
	if err == nil {
		return true, nil
	}
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && bytes.Contains(output, []byte("--- FAIL: "+test)) {
		return false, nil
	}
	return false, fmt.Errorf("running %s of %s: %w: %s", test, pkg, err, output)
}

// exactPattern returns a pattern that matches only the given test name.
func exactPattern(test string) string { return "^" + test + "$" }
