package configuration

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// maxValueBytes bounds the part of a refused value that an error shows.
const maxValueBytes = 80

// checkSchema validates a decoded document and turns the validator's findings into problems.
func checkSchema(tree any, file *ast.File) error {
	schema, err := compiled()
	if err != nil {
		return &Error{Operation: "check", Kind: Schema, Err: eris.Wrap(err, "built-in schema")}
	}
	err = schema.Validate(tree)
	var invalid *jsonschema.ValidationError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &invalid):
		return &Error{Operation: "check", Kind: Schema, Err: eris.Wrap(err, "validation")}
	}
	result := &Error{Operation: "check", Kind: Schema}
	for _, leaf := range leaves(invalid) {
		if items, ok := leaf.ErrorKind.(*kind.MaxItems); ok {
			return tooLarge(pathText(leaf.InstanceLocation), items.Got, items.Want, "exceptions")
		}
		result.Problems = append(result.Problems, problemsOf(leaf, tree, file)...)
	}
	return result
}

func leaves(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var found []*jsonschema.ValidationError
	for _, c := range e.Causes {
		found = append(found, leaves(c)...)
	}
	return found
}

func problemsOf(e *jsonschema.ValidationError, tree any, file *ast.File) []Problem {
	path := e.InstanceLocation
	value := shown(valueAt(tree, path))
	one := func(path []string, value, allowed string) Problem {
		return Problem{Line: lineOf(file, path), Path: pathText(path), Value: value, Allowed: allowed}
	}
	var problems []Problem
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			problems = append(problems, one(append(path[:len(path):len(path)], name), "", "only known names: "+knownNames(path)))
		}
	case *kind.Required:
		for _, name := range k.Missing {
			problems = append(problems, Problem{Line: lineOf(file, path), Path: pathText(append(path[:len(path):len(path)], name)), Value: "(absent)", Allowed: "required"})
		}
	case *kind.Type:
		problems = append(problems, one(path, value, strings.Join(k.Want, " or ")))
	case *kind.Minimum, *kind.Maximum:
		problems = append(problems, one(path, value, rangeOf(path)))
	case *kind.MinLength:
		problems = append(problems, one(path, value, fmt.Sprintf("at least %d characters", k.Want)))
	case *kind.MaxLength:
		problems = append(problems, one(path, value, fmt.Sprintf("at most %d characters", k.Want)))
	case *kind.Pattern:
		problems = append(problems, one(path, value, "text that matches "+k.Want))
	case *kind.Format:
		problems = append(problems, one(path, value, k.Want+", for example 2026-08-01T00:00:00Z"))
	default:
		problems = append(problems, one(path, value, "what schema.json says"))
	}
	return problems
}

func rangeOf(path []string) string {
	for _, f := range fields {
		if f.Name == path[len(path)-1] {
			return fmt.Sprintf("%d to %d %s", f.Minimum, f.Maximum, f.Unit)
		}
	}
	return "what schema.json says"
}

func knownNames(path []string) string {
	if len(path) == 0 {
		return "defaults, exceptions"
	}
	var names []string
	for _, f := range fields {
		names = append(names, f.Name)
	}
	if path[0] == "exceptions" {
		names = append(names, "organisation", "reason", "by", "until")
	}
	return strings.Join(names, ", ")
}

func valueAt(tree any, path []string) any {
	for _, name := range path {
		switch t := tree.(type) {
		case map[string]any:
			tree = t[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(t) {
				return nil
			}
			tree = t[i]
		default:
			return nil
		}
	}
	return tree
}

func shown(v any) string {
	s := fmt.Sprintf("%v", v)
	if text, ok := v.(string); ok {
		s = strconv.Quote(text)
	}
	if len(s) > maxValueBytes {
		s = strings.ToValidUTF8(s[:maxValueBytes], "") + "..."
	}
	return s
}

func pathText(path []string) string {
	var b strings.Builder
	for _, name := range path {
		if _, err := strconv.Atoi(name); err == nil {
			b.WriteString("[" + name + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(name)
	}
	if b.Len() == 0 {
		return "document"
	}
	return b.String()
}

// lineOf returns the line of a value, or that of the nearest parent in the document, or 0.
func lineOf(file *ast.File, path []string) int {
	for n := len(path); n >= 0; n-- {
		b := (&yaml.PathBuilder{}).Root()
		for _, name := range path[:n] {
			if i, err := strconv.ParseUint(name, 10, 32); err == nil {
				b = b.Index(uint(i))
				continue
			}
			b = b.Child(name)
		}
		node, err := b.Build().FilterFile(file)
		if err == nil && node != nil && node.GetToken() != nil {
			return node.GetToken().Position.Line
		}
	}
	return 0
}
