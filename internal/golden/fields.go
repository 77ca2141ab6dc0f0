package golden

import (
	"fmt"
	"reflect"
	"testing"
)

// CheckFieldsSet reports fields of a value that are empty, and fields of one struct that have the
// same value: two of these could be swapped unnoticed.
func CheckFieldsSet(t testing.TB, name string, value any) {
	t.Helper()
	checkValue(t, name, reflect.ValueOf(value))
}

// checkValue checks a value and what is below it. path names the value.
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

// checkElements checks the elements of a slice that have fields.
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

// checkFields checks the fields of a struct, and that no two have the same value. Flags
// have only one value that is not empty, so they may.
func checkFields(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	seen := map[string]string{} // the path of the field that has a value
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
