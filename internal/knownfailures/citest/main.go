// Command citest runs the project's tests in CI. It prints the tests that KNOWN-RED.txt lists and
// expects them to fail; all others must pass. It must be run in the module's root directory.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"ospreystile.example/ospreystile/internal/knownfailures"
)

// listFile is the name of the list of known failures. If the file does not exist, no test may fail.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(1)
	}
}

// run reads the list and runs the tests.
func run() error {
	entries, err := readList()
	if err != nil {
		return err
	}
	return knownfailures.Run(entries, goTest{}, os.Stdout)
}

// readList reads the list of known failures. It returns an empty list if the file does not exist.
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
