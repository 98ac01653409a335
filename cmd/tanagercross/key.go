package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
)

func keyIssue(ctx context.Context, t *tool) error {
	o := t.options
	for _, r := range []struct{ name, value string }{{"--organisation", o.organisation}, {"--by", o.by}} {
		if err := require(r.name, r.value); err != nil {
			return err
		}
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	issued, err := client.IssueKey(ctx, operator.IssueRequest{Organisation: o.organisation, Author: o.by})
	if err != nil {
		return err
	}
	err = t.print(issued, func(w io.Writer) {
		fmt.Fprintf(w, "key  %s\nhash %s\n", issued.Key, issued.Hash)
	})
	if err == nil && !issued.Change.InForce {
		return errNotInForce
	}
	return err
}

func keyWithdraw(ctx context.Context, t *tool) error {
	o := t.options
	for _, r := range []struct{ name, value string }{{"--by", o.by}, {"--reason", o.reason}} {
		if err := require(r.name, r.value); err != nil {
			return err
		}
	}
	hash, err := o.keyHash()
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	w := operator.Withdrawal{Hash: hash, Author: o.by, Reason: o.reason, ChangeID: o.changeID}
	if err := ensureChangeID(&w.ChangeID); err != nil {
		return err
	}
	change, err := client.WithdrawKey(ctx, w)
	if err != nil {
		return unsettled(err, w.ChangeID)
	}
	return t.printChange("keys", change)
}

// keyHash returns the hash of --hash or of the key in --key-file; the key itself goes nowhere else.
func (o options) keyHash() (key.Hash, error) {
	switch {
	case (o.hash == "") == (o.keyFile == ""):
		return key.Hash{}, usage("one of --hash and --key-file is required")
	case o.hash != "":
		h, err := key.ParseHash(o.hash)
		if err != nil {
			return h, usage("--hash: value %q; allowed: 64 hexadecimal digits", key.Redact(o.hash))
		}
		return h, nil
	}
	data, err := os.ReadFile(o.keyFile)
	if err != nil {
		return key.Hash{}, usage("--key-file: %v", err)
	}
	k, err := key.Parse(strings.TrimSpace(string(data)))
	if err != nil {
		return key.Hash{}, usage("--key-file: %v", err)
	}
	return k.Hash(), nil
}

// ensureChangeID makes the id here, so that a lost answer can be settled by repeating the command with it.
func ensureChangeID(id *string) error {
	if *id != "" {
		return nil
	}
	made, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(err, "change id")
	}
	*id = made.String()
	return nil
}

// unsettled adds the change id to an error that leaves the outcome open.
func unsettled(err error, changeID string) error {
	var e *operator.Error
	if errors.As(err, &e) && e.Kind == operator.Unknown {
		c := *e
		c.Err = eris.Wrapf(e.Err, "repeat the command with --change-id %s to settle it", changeID)
		if e.Err == nil {
			c.Err = eris.Errorf("repeat the command with --change-id %s to settle it", changeID)
		}
		return &c
	}
	return err
}
