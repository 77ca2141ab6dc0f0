package config

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed operator.schema.json
var operatorSchema []byte

// parseDocument parses JSON in the form that the schema validates.
func parseDocument(raw []byte) (any, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	return document, nil
}

// validateDocument checks a document against the schema. It returns a *SettingError for
// the first setting that is invalid.
func validateDocument(document any) error {
	schema, err := compileSchema()
	if err != nil {
		return fmt.Errorf("built-in schema: %w", err)
	}
	err = schema.Validate(document)
	var invalidDocument *jsonschema.ValidationError
	if errors.As(err, &invalidDocument) {
		return firstCause(invalidDocument)
	}
	return err
}

// compileSchema compiles the built-in schema.
func compileSchema() (*jsonschema.Schema, error) {
	const name = "operator.schema.json"
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(operatorSchema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, schema); err != nil {
		return nil, err
	}
	return compiler.Compile(name)
}

// firstCause returns the error of the first setting that a validation found invalid. The
// validation's own error has a line for each.
func firstCause(validation *jsonschema.ValidationError) error {
	for len(validation.Causes) > 0 {
		validation = validation.Causes[0]
	}
	key := "(top)"
	if len(validation.InstanceLocation) > 0 {
		key = strings.Join(validation.InstanceLocation, ".")
	}
	return &SettingError{Key: key, Problem: problemOf(validation)}
}

// problemOf describes an error that has no causes, without its position.
func problemOf(validation *jsonschema.ValidationError) string {
	output := validation.BasicOutput()
	switch {
	case output.Error != nil:
		return output.Error.String()
	case len(output.Errors) > 0 && output.Errors[0].Error != nil:
		return output.Errors[0].Error.String()
	}
	return validation.Error()
}
