// Package golden compares encoded values, requests and printed output with golden files in the testdata
// directory of the package under test. The files ensure that renaming identifiers does not change what
// is stored, sent or printed. Only tests use this package.
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

// update makes Check and CheckText rewrite the golden files. A rewritten file means that the format
// changes, so set it only after checking the effect on stored records and on controllers of other
// versions.
var update = flag.Bool("update", false, "rewrite the golden files")

// Codec encodes values to bytes and decodes them.
type Codec struct {
	Encode func(any) ([]byte, error)
	Decode func([]byte, any) error
}

// Case holds a value whose encoding must not change. All of its fields must be set, because an empty
// field could hide a changed name.
type Case struct {
	Name  string
	Value any
	// Partial allows a value to have empty fields.
	Partial bool
}

// Check decodes the golden bytes of each case, compares the result with the case's value, and checks that
// encoding the result gives the same bytes. Each case is a subtest. Every entry of the file must belong
// to a case.
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
				t.Fatalf("%s has no entry for this case", file)
			}
			c.check(t, raw, codec)
		})
		delete(golden, c.Name)
	}
	for name := range golden {
		t.Errorf("%s: entry %q belongs to no case", file, name)
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
		t.Errorf("decoded %+v, want %+v", got.Elem(), c.Value)
	}
	if reencoded, err := codec.Encode(got.Elem().Interface()); err != nil || !bytes.Equal(reencoded, raw) {
		t.Errorf("encoded %x, %v, want %x", reencoded, err, raw)
	}
}

// CheckText compares a text with the content of a golden file.
func CheckText(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		writeFile(t, file, []byte(got))
	}
	if want := string(readFile(t, file)); got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// readCases reads a golden file, which maps the names of cases to their bytes in hexadecimal.
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

// writeCases writes a golden file that readCases reads.
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

// testdataDir is the directory of golden files, relative to that of the test.
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
