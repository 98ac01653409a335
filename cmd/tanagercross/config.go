package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/instance/operator"
)

func configShow(ctx context.Context, t *tool) error {
	client, err := t.options.client()
	if err != nil {
		return err
	}
	c, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	return t.print(c, func(w io.Writer) {
		at := ""
		if !c.At.IsZero() { // the built-in defaults have no entry in the history
			at = c.At.Format(" at 2006-01-02T15:04:05Z07:00")
		}
		fmt.Fprintf(w, "# version %d by %s%s: %s\n%s", c.Version, c.Author, at, c.Reason, c.Document)
	})
}

// checked is the result of config check.
type checked struct {
	Valid bool                   `json:"valid"`
	Diff  []configuration.Change `json:"diff"` // against the built-in defaults
}

func configCheck(_ context.Context, t *tool) error {
	data, err := readDocument(t.options.file)
	if err != nil {
		return err
	}
	d, err := configuration.Parse(data)
	if err != nil {
		return err
	}
	c := checked{Valid: true, Diff: configuration.Diff(configuration.Document{}, d)}
	return t.print(c, func(w io.Writer) {
		fmt.Fprintf(w, "%s: no faults, %d exceptions\n", t.options.file, len(d.Exceptions))
		printDiff(w, c.Diff)
	})
}

func configApply(ctx context.Context, t *tool) error {
	o := t.options
	for _, r := range []struct{ name, value string }{{"--by", o.by}, {"--reason", o.reason}} {
		if err := require(r.name, r.value); err != nil {
			return err
		}
	}
	if o.baseVersion == 0 {
		// Without a base version the change of another operator could be overwritten unseen.
		return usage("--base-version is required; allowed: the version that config show prints")
	}
	data, err := readDocument(o.file)
	if err != nil {
		return err
	}
	if err := configuration.Check(data); err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	p := operator.Proposal{BaseVersion: o.baseVersion, Document: string(data), Author: o.by, Reason: o.reason, ChangeID: o.changeID}
	if err := ensureChangeID(&p.ChangeID); err != nil {
		return err
	}
	change, err := client.Apply(ctx, p)
	if err != nil {
		return unsettled(err, p.ChangeID)
	}
	return t.printChange("configuration", change)
}

func configHistory(ctx context.Context, t *tool) error {
	client, err := t.options.client()
	if err != nil {
		return err
	}
	entries, err := client.History(ctx, t.options.limit)
	if err != nil {
		return err
	}
	return t.print(entries, func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "version %d by %s at %s: %s\n", e.Version, e.Author, e.At.Format("2006-01-02T15:04:05Z07:00"), e.Reason)
			printDiff(w, e.Diff)
		}
	})
}

func printDiff(w io.Writer, changes []configuration.Change) {
	for _, c := range changes {
		fmt.Fprintf(w, "  %s: %q -> %q\n", c.Path, c.Before, c.After)
	}
}

func (t *tool) printChange(what string, c operator.Change) error {
	err := t.print(c, func(w io.Writer) {
		fmt.Fprintf(w, "%s version %d, change %s, confirmed by %d of %d members\n", what, c.Version, c.ChangeID, c.Confirmed, c.Members)
	})
	if err == nil && !c.InForce {
		return errNotInForce
	}
	return err
}

func readDocument(path string) ([]byte, error) {
	source := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "document")
		}
		defer func() { _ = f.Close() }()
		source = f
	}
	data, err := io.ReadAll(io.LimitReader(source, configuration.MaxDocumentBytes+1))
	return data, eris.Wrap(err, "document")
}
