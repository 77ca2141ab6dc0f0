package golden

import (
	"fmt"
	"reflect"
	"testing"
)

// CheckFieldsSet reports an error for each empty field of a value, and for fields of one struct that
// have the same value. A golden test would not detect that two such fields are swapped.
func CheckFieldsSet(t testing.TB, name string, value any) {
	t.Helper()
	checkValue(t, name, reflect.ValueOf(value))
}

// checkValue checks a value and, recursively, its elements and fields. path names the value in errors.
func checkValue(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if !v.IsValid() || v.IsZero() && v.Kind() != reflect.Struct {
		t.Errorf("%s is empty", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		checkValue(t, path, v.Elem())
	case reflect.Slice:
		checkElements(t, path, v)
	case reflect.Struct:
		checkFields(t, path, v)
	}
}

// checkElements checks that a slice is not empty, and checks its elements that are structs or pointers.
func checkElements(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if v.Len() == 0 {
		t.Errorf("%s is empty", path)
	}
	for i := range v.Len() {
		if kind := v.Index(i).Kind(); kind == reflect.Struct || kind == reflect.Pointer {
			checkValue(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

// checkFields checks the fields of a struct, and that no two have the same value. Bool fields may,
// because only one bool value is not empty.
func checkFields(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	seen := map[string]string{} // path of the field by its value
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() && !field.Anonymous {
			continue
		}
		fieldPath := path + "." + field.Name
		checkValue(t, fieldPath, v.Field(i))
		if kind := field.Type.Kind(); kind == reflect.Bool || kind == reflect.Struct || kind == reflect.Pointer {
			continue
		}
		value := fmt.Sprintf("%s %v", field.Type.Kind(), v.Field(i))
		if other := seen[value]; other != "" {
			t.Errorf("%s has the same value as %s", fieldPath, other)
		}
		seen[value] = fieldPath
	}
}
