package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// options are the arguments of a command of the form name=value. Every one must be taken, so that a misspelt expectation
// fails its script instead of passing unchecked.
type options struct {
	values map[string]string
	err    error
}

// splitOptions separates options from other arguments. A name has only lower-case letters and underscores, so that
// statements with an equals sign are no options.
func splitOptions(arguments []string) ([]string, *options) {
	o := &options{values: map[string]string{}}
	var rest []string
	for _, a := range arguments {
		name, value, ok := strings.Cut(a, "=")
		if ok && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz_") == "" && name != "" {
			o.values[name] = value
			continue
		}
		rest = append(rest, a)
	}
	return rest, o
}

func (o *options) text(name, otherwise string) string {
	value, ok := o.values[name]
	delete(o.values, name)
	if !ok {
		return otherwise
	}
	return value
}

// has takes an option and reports whether it was given.
func (o *options) has(name string) (string, bool) {
	value, ok := o.values[name]
	delete(o.values, name)
	return value, ok
}

func (o *options) number(name string, otherwise int) int {
	value, ok := o.has(name)
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		o.err = eris.Wrap(err, name)
	}
	return n
}

func (o *options) duration(name string, otherwise time.Duration) time.Duration {
	value, ok := o.has(name)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		o.err = eris.Wrap(err, name)
	}
	return d
}

// finish returns the first faulty option or one that the command does not know.
func (o *options) finish() error {
	if o.err != nil {
		return o.err
	}
	for name := range o.values {
		return eris.Errorf("unknown option %q", name)
	}
	return nil
}

func expect(arguments []string, least, most int, usage string) error {
	if len(arguments) < least || len(arguments) > most {
		return eris.Errorf("usage: %s", usage)
	}
	return nil
}
