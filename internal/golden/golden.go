// Package golden compares what the tests of other packages encode or print with files in
// their testdata directories. So a change of names in the code cannot change what is
// stored, sent or printed. Only tests use it.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update rewrites the files. Use it only if it is known what the change means for
// stored records and for controllers of other versions.
var update = flag.Bool("update", false, "write the golden files anew")

// Codec converts values to bytes and back.
type Codec struct {
	Encode func(any) ([]byte, error)
	Decode func([]byte, any) error
}

// Case is a value whose bytes must not change. All of its fields must be filled, since an
// empty field would hide a changed name. Partial is for a value that lacks some on purpose.
type Case struct {
	Name    string
	Value   any
	Partial bool
}

// Check decodes the bytes that a file holds for each case, compares the result with the
// case's value, and compares the bytes with those that the value is encoded to. Each case
// is a subtest.
func Check(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	if *update {
		writeCases(t, file, codec, cases)
	}
	golden := readCases(t, file)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			raw, found := golden[c.Name]
			if !found {
				t.Fatalf("%s holds no bytes for this case", file)
			}
			c.check(t, raw, codec)
		})
		delete(golden, c.Name)
	}
	for name := range golden {
		t.Errorf("%s: %q belongs to no case", file, name)
	}
}

// check compares one case with its golden bytes.
func (c *Case) check(t *testing.T, raw []byte, codec Codec) {
	t.Helper()
	if !c.Partial {
		CheckFieldsSet(t, c.Name, c.Value)
	}
	got := reflect.New(reflect.TypeOf(c.Value))
	if err := codec.Decode(raw, got.Interface()); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Elem().Interface(), c.Value) {
		t.Errorf("read %+v, want %+v", got.Elem(), c.Value)
	}
	if reencoded, err := codec.Encode(got.Elem().Interface()); err != nil || !bytes.Equal(reencoded, raw) {
		t.Errorf("written as %x, %v, want %x", reencoded, err, raw)
	}
}

// CheckText compares a text with a file, byte by byte.
func CheckText(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		writeFile(t, file, []byte(got))
	}
	if want := string(readFile(t, file)); got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// readCases reads a file that holds the bytes of cases by name, in hexadecimal.
func readCases(t *testing.T, file string) map[string][]byte {
	t.Helper()
	var texts map[string]string
	if err := json.Unmarshal(readFile(t, file), &texts); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	golden := map[string][]byte{}
	for name, text := range texts {
		raw, err := hex.DecodeString(text)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		golden[name] = raw
	}
	return golden
}

// writeCases writes a file for readCases.
func writeCases(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	texts := map[string]string{}
	for _, c := range cases {
		raw, err := codec.Encode(c.Value)
		if err != nil {
			t.Fatalf("%s: %v", c.Name, err)
		}
		texts[c.Name] = hex.EncodeToString(raw)
	}
	raw, err := json.MarshalIndent(texts, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, file, append(raw, '\n'))
}

// testdataDir is where golden files are, from the directory of the test.
const testdataDir = "testdata"

// readFile reads a golden file.
func readFile(t *testing.T, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(testdataDir, file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// writeFile writes a golden file.
func writeFile(t *testing.T, file string, raw []byte) {
	t.Helper()
	if err := os.MkdirAll(testdataDir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(testdataDir, file), raw, 0o644); err != nil {
		t.Fatal(err)
	}
}
