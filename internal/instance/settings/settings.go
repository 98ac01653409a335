// Package settings reads the settings of the daemon from flags and from environment variables.
//
// A setting "listen_callers" has the flag --listen-callers and the variable TANAGERCROSS_LISTEN_CALLERS. The flag wins.
// Every setting is checked at start; the error lists each faulty setting with its value and what is allowed.
//
// # Usage
//
//	s, err := settings.Parse(os.Args[1:], os.Getenv)
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err)
//		os.Exit(2)
//	}
//
// Secrets are given as values or, better, as paths of files; flags are visible to other users of the machine. A file
// holds one secret a line. Secret redacts itself wherever it is formatted, logged or marshalled.
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvironmentPrefix starts the name of every environment variable of the daemon.
const EnvironmentPrefix = "TANAGERCROSS_"

// Settings are the checked settings of a daemon.
type Settings struct {
	Name            string // member id in the roster, kept over restarts
	Place           string // data centre
	Region          string
	ListenCallers   netip.AddrPort
	ListenPeers     netip.AddrPort
	ListenOperators netip.AddrPort
	AdvertisePeers  netip.AddrPort // address under which other instances reach this one
	PlatformURL     *url.URL
	FleetSecrets    []Secret // the first signs; all verify, so that a secret can be replaced without a stop
	OperatorSecret  Secret
	DatabaseUser    string
	DatabaseName    string
	DatabaseSecret  Secret // password; empty if the servers ask for none
	LogLevel        slog.Level
	DrainDeadline   time.Duration
	MaxConnections  int // open connections of callers
	MemoryMB        int // memory of the machine
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
}

// Parse reads the settings from arguments (without the program name) and from the environment. The flags --help and -h
// print the help and end the process with code 0, as flaggy does.
func Parse(arguments []string, getenv func(string) string) (Settings, error) {
	given, err := flags(arguments)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	var problems []Problem
	for i := range table {
		t := &table[i]
		text, source := given[i], "--"+t.Flag()
		if text == "" {
			text, source = getenv(t.Environment()), t.Environment()
		}
		if text == "" {
			text, source = t.Default, t.Name
		}
		if text == "" && t.optional {
			continue
		}
		if err := t.set(&s, text); err != nil {
			problems = append(problems, t.problem(source, text, err))
		}
	}
	problems = append(problems, s.complete()...)
	if len(problems) > 0 {
		return Settings{}, &Error{Operation: "parse", Kind: Invalid, Problems: problems}
	}
	return s, nil
}

// flags returns the texts of the flags in the order of the table; absent ones are empty.
func flags(arguments []string) ([]string, error) {
	if err := known(arguments); err != nil {
		return nil, err
	}
	p := flaggy.NewParser("tanagercrossd")
	p.Description = "instance of the database proxy"
	p.ShowHelpOnUnexpected = false
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	given := make([]string, len(table))
	for i := range table {
		p.String(&given[i], "", table[i].Flag(), table[i].description())
	}
	if err := p.ParseArgs(arguments); err != nil {
		return nil, &Error{Operation: "parse", Kind: Usage, Problems: []Problem{{Setting: "flags", Allowed: err.Error()}}}
	}
	return given, nil
}

// known refuses what flaggy would pass over or answer by ending the process: unknown flags and absent values.
func known(arguments []string) error {
	usage := func(value, allowed string) error {
		return &Error{Operation: "parse", Kind: Usage, Problems: []Problem{{Setting: "flags", Value: value, Allowed: allowed}}}
	}
	names := map[string]bool{}
	for i := range table {
		names[table[i].Flag()] = true
	}
	for i := 0; i < len(arguments); i++ {
		if arguments[i] == "--help" || arguments[i] == "-h" {
			continue
		}
		name, isFlag := strings.CutPrefix(arguments[i], "--")
		name, _, hasValue := strings.Cut(name, "=")
		if !isFlag || !names[name] {
			return usage(strings.SplitN(arguments[i], "=", 2)[0], "the flags that --help lists")
		}
		if hasValue {
			continue
		}
		i++
		if i >= len(arguments) || strings.HasPrefix(arguments[i], "--") {
			return usage("--"+name, "a value after the flag")
		}
	}
	return nil
}

// complete fills settings that derive from others and checks those that need each other.
func (s *Settings) complete() []Problem {
	var problems []Problem
	need := func(setting, allowed string) {
		problems = append(problems, Problem{Setting: setting, Value: "(absent)", Allowed: allowed})
	}
	if !s.AdvertisePeers.IsValid() {
		if s.ListenPeers.IsValid() && s.ListenPeers.Addr().IsUnspecified() {
			need("advertise_peers", "IP address and port; required when listen_peers is an unspecified address")
		}
		s.AdvertisePeers = s.ListenPeers
	}
	listeners := []netip.AddrPort{s.ListenCallers, s.ListenPeers, s.ListenOperators}
	for i, a := range listeners {
		if a.IsValid() && a.Port() != 0 && slices.Contains(listeners[:i], a) {
			problems = append(problems, Problem{Setting: "listen addresses", Value: a.String(), Allowed: "a different address for each listener"})
		}
	}
	if len(s.FleetSecrets) == 0 {
		need("fleet_secret or fleet_secret_file", secretRule)
	}
	if s.OperatorSecret.IsZero() {
		need("operator_secret or operator_secret_file", secretRule)
	}
	return problems
}

// Secret is a text that must not be shown. Only Reveal gives it.
type Secret struct{ text string }

const redacted = "[redacted]"

// NewSecret wraps a text.
func NewSecret(text string) Secret { return Secret{text: text} }

// Reveal returns the text of the secret.
func (s Secret) Reveal() string { return s.text }

// IsZero reports whether the secret is empty.
func (s Secret) IsZero() bool { return s.text == "" }

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	Usage   Kind = "usage"   // the flags cannot be read
	Invalid Kind = "invalid" // settings are absent or out of range
)

// Problem is one faulty setting. Setting names the flag, the variable or the setting.
type Problem struct {
	Setting string
	Value   string
	Allowed string
}

// Error is the error type of the package. It contains no secret.
type Error struct {
	Operation string
	Kind      Kind
	Problems  []Problem
}

// Error implements error, with one line for each faulty setting.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("settings: %s: %s", e.Operation, e.Kind)}
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: value %s; allowed: %s", p.Setting, p.Value, p.Allowed))
	}
	return strings.Join(lines, "\n")
}

// readFile reads a secret file. The error leaves out the content.
func readFile(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		if p := (*fs.PathError)(nil); errors.As(err, &p) {
			return "", p.Err
		}
		return "", err
	}
	return string(data), nil
}
