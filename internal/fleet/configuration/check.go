package configuration

import (
	"bytes"
	_ "embed" // for the schema
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

const (
	// MaxDocumentBytes bounds the size of a document, which every instance receives with each change.
	MaxDocumentBytes = 256 << 10
	// MaxExceptions bounds the number of exceptions.
	MaxExceptions = 512
	// maxDepth bounds nested flow collections, since the YAML parser recurses on them. The format needs three levels.
	maxDepth = 16
)

//go:embed schema.json
var schemaJSON []byte

// SchemaJSON returns the JSON Schema of the document.
func SchemaJSON() []byte { return slices.Clone(schemaJSON) }

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	const name = "configuration.json"
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource(name, value); err != nil {
		return nil, err
	}
	return c.Compile(name)
})

// Check reports the faults of a document in YAML.
func Check(data []byte) error {
	_, err := Parse(data)
	return err
}

// Parse checks a document in YAML and returns it. An empty document stands for the built-in defaults.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxDocumentBytes {
		return Document{}, tooLarge("document", len(data), MaxDocumentBytes, "bytes")
	}
	if err := checkTokens(lexer.Tokenize(string(data))); err != nil {
		return Document{}, err
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Document{}, syntaxError(err)
	}
	if len(file.Docs) > 1 {
		return Document{}, &Error{Operation: "check", Kind: Syntax, Err: eris.New("several YAML documents; one is allowed")}
	}
	var tree any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return Document{}, syntaxError(err)
	}
	if tree == nil {
		return Document{}, nil
	}
	if err := checkSchema(tree, file); err != nil {
		return Document{}, err
	}
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return Document{}, syntaxError(err)
	}
	if problems := contradictions(d, file); len(problems) > 0 {
		return Document{}, &Error{Operation: "check", Kind: Meaning, Problems: problems}
	}
	return d, nil
}

func checkTokens(tokens token.Tokens) error {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType:
			// An alias can expand a small document without bound, and a tag can change a value's type.
			return syntaxAt(t, "anchors, aliases, merge keys and tags are not allowed")
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		default:
		}
		if depth > maxDepth {
			return syntaxAt(t, fmt.Sprintf("collections may be nested %d deep", maxDepth))
		}
	}
	return nil
}

func syntaxAt(t *token.Token, allowed string) error {
	p := Problem{Line: t.Position.Line, Path: "document", Value: t.Value, Allowed: allowed}
	return &Error{Operation: "check", Kind: Syntax, Problems: []Problem{p}}
}

func syntaxError(err error) error {
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil {
		t := y.GetToken()
		p := Problem{Line: t.Position.Line, Path: "document", Value: t.Value, Allowed: y.GetMessage()}
		return &Error{Operation: "check", Kind: Syntax, Problems: []Problem{p}}
	}
	return &Error{Operation: "check", Kind: Syntax, Err: eris.Wrap(err, "YAML")}
}

func tooLarge(what string, got, limit int, unit string) error {
	p := Problem{Path: what, Value: fmt.Sprintf("%d %s", got, unit), Allowed: fmt.Sprintf("at most %d %s", limit, unit)}
	return &Error{Operation: "check", Kind: TooLarge, Problems: []Problem{p}}
}

// contradictions returns the problems that a schema cannot express.
func contradictions(d Document, file *ast.File) []Problem {
	var problems []Problem
	add := func(path []string, value, allowed string) {
		problems = append(problems, Problem{Line: lineOf(file, path), Path: pathText(path), Value: value, Allowed: allowed})
	}
	pair := func(path []string, v Values) {
		if least := 1 + (v.RatePerSecond+4)/5; v.Burst < least {
			// Entry instances hold tokens of up to 200 ms of the rate, which come out of the burst.
			add(append(path, "burst"), fmt.Sprint(v.Burst), fmt.Sprintf("at least %d for rate_per_second %d", least, v.RatePerSecond))
		}
		if v.DefaultDeadline > v.MaxDeadline {
			add(append(path, "default_deadline_ms"), fmt.Sprint(v.DefaultDeadline.Milliseconds()),
				fmt.Sprintf("at most max_deadline_ms, %d", v.MaxDeadline.Milliseconds()))
		}
		if v.TransactionIdle > v.TransactionTotal {
			add(append(path, "transaction_idle_ms"), fmt.Sprint(v.TransactionIdle.Milliseconds()),
				fmt.Sprintf("at most transaction_total_ms, %d", v.TransactionTotal.Milliseconds()))
		}
	}
	pair([]string{"defaults"}, Document{Defaults: d.Defaults}.For(""))
	first := map[string]int{}
	for i, e := range d.Exceptions {
		path := []string{"exceptions", fmt.Sprint(i)}
		if at, ok := first[e.Organisation]; ok {
			add(append(path, "organisation"), e.Organisation, fmt.Sprintf("one exception per organisation; exceptions[%d] has it", at))
			continue
		}
		first[e.Organisation] = i
		if !printable(e.Reason) {
			add(append(path, "reason"), shown(e.Reason), "printable text on one line")
		}
		if !printable(e.By) {
			add(append(path, "by"), shown(e.By), "printable text on one line")
		}
		if e.Override == (Override{}) {
			add(path, e.Organisation, "an exception sets at least one value")
		}
		pair(path, d.For(e.Organisation))
	}
	return problems
}

// printable keeps out characters that the YAML writer does not preserve and that distort terminals and logs.
func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
