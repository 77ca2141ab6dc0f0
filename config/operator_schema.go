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
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	return document, nil
}

// validateDocument validates a document against the schema. It returns a *SettingError for
// the first setting that is invalid.
func validateDocument(document any) error {
	schema, err := compileSchema()
	if err != nil {
		return fmt.Errorf("compile built-in schema of operator settings: %w", err)
	}
	err = schema.Validate(document)
	var validationError *jsonschema.ValidationError
	if errors.As(err, &validationError) {
		return firstCause(validationError)
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

// firstCause returns the error of the first invalid setting of a validation. The text of the
// validation error itself has one line for each invalid setting.
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

// problemOf returns the text of an error that has no causes, without the position in the document.
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
