// Package golden compares what the tests of other packages encode with files beside
// them, so that a change of names in the code cannot change what is stored or sent.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update makes the files anew. What a change of them means for stored records and for
// controllers of other versions must be known before it is used.
var update = flag.Bool("update", false, "write the golden files anew")

// Codec is how values become bytes and values again.
type Codec struct {
	Encode func(any) ([]byte, error)
	Decode func([]byte, any) error
}

// Case is a value whose bytes must stay. All fields of a value must be filled, since an
// empty one would not show a changed name; Partial is for values that lack some on purpose.
type Case struct {
	Name    string
	Value   any
	Partial bool
}

// Check decodes the bytes that a file holds for each case, compares the value with the
// case's, and encodes it again byte by byte.
func Check(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	if *update {
		write(t, file, codec, cases)
	}
	kept := read(t, file)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			if !c.Partial {
				Filled(t, c.Name, c.Value)
			}
			raw, found := kept[c.Name]
			if !found {
				t.Fatalf("%s holds no bytes for it", file)
			}
			got := reflect.New(reflect.TypeOf(c.Value))
			if err := codec.Decode(raw, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got.Elem().Interface(), c.Value) {
				t.Errorf("read %+v, want %+v", got.Elem(), c.Value)
			}
			if again, err := codec.Encode(got.Elem().Interface()); err != nil || !bytes.Equal(again, raw) {
				t.Errorf("written as %x, %v, want %x", again, err, raw)
			}
		})
		delete(kept, c.Name)
	}
	for name := range kept {
		t.Errorf("%s: %q belongs to no case", file, name)
	}
}

// read reads a file of bytes by name.
func read(t *testing.T, file string) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var text map[string]string
	if err := json.Unmarshal(raw, &text); err != nil {
		t.Fatal(err)
	}
	kept := map[string][]byte{}
	for name, h := range text {
		if kept[name], err = hex.DecodeString(h); err != nil {
			t.Fatal(err)
		}
	}
	return kept
}

// write makes a file of bytes by name.
func write(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	text := map[string]string{}
	for _, c := range cases {
		raw, err := codec.Encode(c.Value)
		if err != nil {
			t.Fatalf("%s: %v", c.Name, err)
		}
		text[c.Name] = hex.EncodeToString(raw)
	}
	raw, err := json.MarshalIndent(text, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	save(t, file, append(raw, '\n'))
}

// save writes a file beside the test.
func save(t *testing.T, file string, raw []byte) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join("testdata", file), raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Text compares a text with a file, byte by byte.
func Text(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		save(t, file, []byte(got))
	}
	want, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// Filled finds fields that are empty, and fields of one struct that have the same value:
// two such could change places unnoticed.
func Filled(t *testing.T, name string, value any) {
	t.Helper()
	filled(t, name, reflect.ValueOf(value))
}

// filled looks at one value and what is below it.
func filled(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if !v.IsValid() || v.IsZero() && v.Kind() != reflect.Struct {
		t.Errorf("%s is empty", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		filled(t, path, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			if k := v.Index(i).Kind(); k == reflect.Struct || k == reflect.Pointer {
				filled(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
		}
	case reflect.Struct:
		filledFields(t, path, v)
	}
}

// filledFields looks at the fields of a struct.
func filledFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	seen := map[string]string{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() && !f.Anonymous {
			continue
		}
		at := path + "." + f.Name
		filled(t, at, v.Field(i))
		if k := f.Type.Kind(); k == reflect.Bool || k == reflect.Struct || k == reflect.Pointer {
			continue
		}
		key := fmt.Sprintf("%s %v", f.Type.Kind(), v.Field(i))
		if other := seen[key]; other != "" {
			t.Errorf("%s has the same value as %s", at, other)
		}
		seen[key] = at
	}
}
