package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"tanagercross/internal/instance/operator"
)

const (
	defaultURL          = "http://127.0.0.1:8082"
	urlVariable         = "TANAGERCROSS_URL"
	secretVariable      = "TANAGERCROSS_OPERATOR_SECRET"
	secretFileVariable  = "TANAGERCROSS_OPERATOR_SECRET_FILE"
	defaultHistoryLimit = 20
)

// exitHelp is shown at the end of every help.
const exitHelp = "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 refused or not yet in force, 5 outcome unknown"

type options struct {
	url          string
	secretFile   string
	json         bool
	file         string
	baseVersion  uint64
	changeID     string
	by           string
	reason       string
	limit        int
	organisation string
	hash         string
	keyFile      string
	arguments    []string // after --
	experiment   experimentOptions
}

// usageError is an error in the arguments.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return "usage: " + e.message + "; see --help" }

func usage(format string, values ...any) error {
	return &usageError{message: fmt.Sprintf(format, values...)}
}

type command func(context.Context, *tool) error

// parse reads the arguments. flaggy itself ends the process after --help (code 0) and after unknown arguments (code 2).
func parse(arguments []string) (options, command, error) {
	o := options{limit: defaultHistoryLimit, experiment: experimentOptions{profile: "mutirao", seed: 1}}
	p := flaggy.NewParser("tanagercross")
	p.Description = "operators' tool of the database proxy"
	p.AdditionalHelpAppend = exitHelp
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&o.url, "u", "url", "base URL of an instance's operators' listener (or "+urlVariable+"; default "+defaultURL+")")
	p.String(&o.secretFile, "s", "secret-file", "file with the operator secret (or "+secretFileVariable+", or the secret in "+secretVariable+")")
	p.Bool(&o.json, "j", "json", "write JSON in snake case")

	var leaves []leaf
	add := func(parent *flaggy.Subcommand, name, description string, run command) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = description
		s.AdditionalHelpAppend = exitHelp
		parent.AttachSubcommand(s, 1)
		leaves = append(leaves, leaf{s, run})
		return s
	}
	config := add(&p.Subcommand, "config", "show, check and change the configuration", nil)
	key := add(&p.Subcommand, "key", "issue and withdraw keys", nil)
	add(&p.Subcommand, "status", "show the status of an instance", status)
	add(&p.Subcommand, "demo", "run the demonstration", demonstrate)
	measure := add(&p.Subcommand, "experiment", "measure the targets on a deployment in this process", nil)
	add(measure, "list", "list the experiments", experimentList)
	experimentFlags(add(measure, "run", "run experiments", experimentRun), &o.experiment)

	add(config, "show", "show the configuration in force", configShow)
	check := add(config, "check", "check a file without any instance", configCheck)
	check.AddPositionalValue(&o.file, "file", 1, true, "YAML document, or - for standard input")
	apply := add(config, "apply", "propose a configuration and wait until it is in force", configApply)
	apply.AddPositionalValue(&o.file, "file", 1, true, "YAML document, or - for standard input")
	apply.UInt64(&o.baseVersion, "", "base-version", "version that the file is based on, as shown by config show")
	apply.String(&o.changeID, "", "change-id", "UUID of the change; repeat it to settle a lost answer")
	author(apply, &o)
	history := add(config, "history", "show past changes, newest first", configHistory)
	history.Int(&o.limit, "l", "limit", "number of changes")

	issue := add(key, "issue", "issue a key and print it once", keyIssue)
	issue.String(&o.organisation, "o", "organisation", "organisation that gets the key")
	issue.String(&o.by, "", "by", "author of the change")
	withdraw := add(key, "withdraw", "withdraw a key", keyWithdraw)
	withdraw.String(&o.hash, "", "hash", "SHA-256 hash of the key, 64 hexadecimal digits")
	withdraw.String(&o.keyFile, "", "key-file", "file with the key, which is hashed here; instead of --hash")
	withdraw.String(&o.changeID, "", "change-id", "UUID of the change; repeat it to settle a lost answer")
	author(withdraw, &o)

	if err := p.ParseArgs(arguments); err != nil {
		return o, nil, usage("%v", err)
	}
	o.arguments = p.TrailingArguments
	for i := len(leaves) - 1; i >= 0; i-- {
		if l := leaves[i]; l.subcommand.Used && l.run != nil {
			return o, l.run, nil
		}
	}
	p.ShowHelp()
	return o, nil, usage("a command is required")
}

type leaf struct {
	subcommand *flaggy.Subcommand
	run        command
}

func experimentFlags(s *flaggy.Subcommand, o *experimentOptions) {
	for i := range o.names {
		s.AddPositionalValue(&o.names[i], "name-"+strconv.Itoa(i+1), i+1, i == 0, "name of an experiment, or all")
	}
	s.String(&o.profile, "", "profile", "deployment: mutirao or trust")
	s.Int(&o.instances, "", "instances", "number of instances (default: by experiment)")
	s.Int(&o.groups, "", "groups", "number of database groups (default: by experiment)")
	s.Int(&o.runs, "", "runs", "number of faults, changes or requests (default: by experiment)")
	s.UInt64(&o.seed, "", "seed", "seed of the load and of the choice of victims")
	s.Duration(&o.duration, "", "duration", "measured time of one phase (default: by experiment)")
	s.String(&o.report, "", "report", "directory for NAME.md, a row of a Markdown table, and NAME.svg")
	s.Bool(&o.brief, "", "brief", "smaller defaults, for a trial")
}

func author(s *flaggy.Subcommand, o *options) {
	s.String(&o.by, "", "by", "author of the change")
	s.String(&o.reason, "", "reason", "written reason of the change")
}

// client returns a client for the instance that the options name.
func (o options) client() (*operator.Client, error) {
	url := first(o.url, os.Getenv(urlVariable), defaultURL)
	secret := os.Getenv(secretVariable)
	if path := first(o.secretFile, os.Getenv(secretFileVariable)); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, usage("--secret-file: %v", err)
		}
		secret = strings.TrimSpace(string(data))
	}
	if secret == "" {
		return nil, usage("the operator secret is absent; allowed: --secret-file, %s or %s", secretFileVariable, secretVariable)
	}
	return operator.NewClient(url, secret), nil
}

func first(texts ...string) string {
	for _, t := range texts {
		if t != "" {
			return t
		}
	}
	return ""
}

func require(name, value string) error {
	if strings.TrimSpace(value) == "" {
		return usage("%s is required", name)
	}
	return nil
}
