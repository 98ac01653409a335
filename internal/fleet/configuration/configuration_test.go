package configuration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/fleet/configuration"
)

const valid = `defaults:
  rate_per_second: 300
exceptions:
  - organisation: sertao_coop
    rate_per_second: 500
    burst: 1000
    reason: threshing season
    by: ana
    until: 2026-08-01T00:00:00Z
`

// Guards against values that are lost between the document, its exceptions and the built-in defaults.
func TestValuesInForce(t *testing.T) {
	var zero configuration.Document
	d, err := configuration.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range configuration.Fields() {
		if f.Default < f.Minimum || f.Default > f.Maximum {
			t.Errorf("%s: default out of range", f.Name)
		}
	}
	got := []int64{zero.For("x").RatePerSecond, d.For("x").RatePerSecond, d.For("sertao_coop").RatePerSecond, d.For("sertao_coop").QueueLength}
	if diff := cmp.Diff([]int64{200, 300, 500, 64}, got); diff != "" {
		t.Error(diff)
	}
	for _, name := range []string{"x", "sertao_coop"} {
		if d.Resolve().For(name) != d.For(name) || (configuration.Resolved{}).For(name) != zero.For(name) {
			t.Errorf("%s: the resolved values differ", name)
		}
	}
	end := time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)
	if d.At(end).For("sertao_coop").RatePerSecond != 300 || d.At(end.Add(-1)).For("sertao_coop").RatePerSecond != 500 {
		t.Error("the end of the exception is not observed")
	}
	data, _ := d.YAML()
	back, err := configuration.Parse(data)
	if err != nil || len(configuration.Diff(d, back)) != 0 {
		t.Errorf("document does not survive writing: %v\n%s", err, data)
	}
	changes := configuration.Diff(zero, d)
	if len(changes) != 6 || changes[0] != (configuration.Change{Path: "defaults.rate_per_second", After: "300"}) {
		t.Errorf("diff: %v", changes)
	}
}

// Guards against faults that are accepted, or reported without line, path, value and what is allowed.
func TestCheckNamesTheFault(t *testing.T) {
	cases := []struct {
		data string
		kind configuration.Kind
		want string
	}{
		{"defaults: [", configuration.Syntax, "line 1"},
		{"a: &x 1\nb: *x\n", configuration.Syntax, "line 1: document: value &; allowed: anchors"},
		{strings.Repeat("[", 100), configuration.Syntax, "nested 16 deep"},
		{"defaults:\n  burst: 400\n  burst: 500\n", configuration.Syntax, "line 3"},
		{"defaults:\n  burst: many\n", configuration.Schema, `line 2: defaults.burst: value "many"; allowed: integer`},
		{"defaults:\n  weight: 0\n", configuration.Schema, "line 2: defaults.weight: value 0; allowed: 1 to 100 shares"},
		{"defaults:\n  wieght: 1\n", configuration.Schema, "line 2: defaults.wieght: allowed: only known names: rate_per_second"},
		{"exceptions:\n  - organisation: a\n    by: b\n    burst: 900\n", configuration.Schema, "exceptions[0].reason: value (absent); allowed: required"},
		{"exceptions:\n  - organisation: a\n    by: b\n    burst: 900\n    reason: ' '\n", configuration.Schema, `line 5: exceptions[0].reason: value " "`},
		{strings.Replace(valid, "2026-08-01T00:00:00Z", "soon", 1), configuration.Schema, `exceptions[0].until: value "soon"; allowed: date-time`},
		{"defaults:\n  default_deadline_ms: 40000\n", configuration.Meaning, "line 2: defaults.default_deadline_ms: value 40000; allowed: at most max_deadline_ms, 30000"},
		{"defaults:\n  burst: 10\n", configuration.Meaning, "line 2: defaults.burst: value 10; allowed: at least 41"},
		{valid + "  - organisation: sertao_coop\n    weight: 2\n    reason: r\n    by: b\n", configuration.Meaning, "one exception per organisation"},
		{"exceptions:\n  - organisation: a\n    reason: r\n    by: b\n", configuration.Meaning, "sets at least one value"},
		{strings.Repeat("#", configuration.MaxDocumentBytes+1), configuration.TooLarge, "at most 262144 bytes"},
		{tooMany(), configuration.TooLarge, "at most 512 exceptions"},
	}
	for _, c := range cases {
		err := configuration.Check([]byte(c.data))
		if configuration.KindOf(err) != c.kind || !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("%.60q: got %q %v, want %q %s", c.data, configuration.KindOf(err), err, c.kind, c.want)
		}
	}
}

func tooMany() string {
	var b strings.Builder
	b.WriteString("exceptions:\n")
	for i := range configuration.MaxExceptions + 1 {
		fmt.Fprintf(&b, "  - {organisation: a%d, weight: 2, reason: r, by: b}\n", i)
	}
	return b.String()
}

// Guards against ranges that differ between schema.json and the fields.
func TestSchemaHasTheFields(t *testing.T) {
	type bounds struct{ Minimum, Maximum int64 }
	type object struct{ Properties map[string]bounds }
	var schema struct {
		Properties struct {
			Defaults   object
			Exceptions struct{ Items object }
		}
	}
	if err := json.Unmarshal(configuration.SchemaJSON(), &schema); err != nil {
		t.Fatal(err)
	}
	if len(schema.Properties.Defaults.Properties) != len(configuration.Fields()) {
		t.Error("the number of values differs")
	}
	for _, f := range configuration.Fields() {
		want := bounds{f.Minimum, f.Maximum}
		if schema.Properties.Defaults.Properties[f.Name] != want || schema.Properties.Exceptions.Items.Properties[f.Name] != want {
			t.Errorf("%s: the ranges differ", f.Name)
		}
	}
}

// Guards against panics, untyped errors and accepted documents that cannot be written and read again.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{valid, "", "null", "[]", "defaults: {burst: 1e3}", "exceptions: [{}]", "? a\n: b", "a: !!binary x", "\xff", "defaults:\n\tburst: 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := configuration.Parse(data)
		if err != nil {
			if e := (*configuration.Error)(nil); !errors.As(err, &e) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		written, err := d.YAML()
		if err != nil {
			t.Fatal(err)
		}
		back, err := configuration.Parse(written)
		if err != nil || len(configuration.Diff(d, back)) != 0 {
			t.Fatalf("%v\n%s", err, written)
		}
	})
}
