package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/operator"
)

func yamlWith(maxStatementBytes string) string {
	return fmt.Sprintf("defaults:\n  max_statement_bytes: %s\n", maxStatementBytes)
}

// apply proposes a configuration at an instance against the version that it shows.
func (f *fleet) apply(name, author, value string, base *uint64) (operator.Change, error) {
	client, err := f.operator(name)
	if err != nil {
		return operator.Change{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	if base == nil {
		current, err := client.Configuration(ctx)
		if err != nil {
			return operator.Change{}, err
		}
		base = &current.Version
	}
	return client.Apply(ctx, operator.Proposal{
		BaseVersion: *base, Document: yamlWith(value), Author: author, Reason: "scenario", ChangeID: uuid.NewString(),
	})
}

// commandRace: race VALUE INSTANCE...
//
// One operator at each instance proposes a different value, VALUE, VALUE plus a digit and so on, against the same
// version at the same time. Requires that one wins, that the losers are told its name, and that every instance shows its
// value 5 s after the start at the latest.
func (f *fleet) commandRace(arguments []string) error {
	if len(arguments) < 3 {
		return eris.New("usage: race VALUE INSTANCE...")
	}
	client, err := f.operator(arguments[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	type result struct {
		author, value string
		err           error
	}
	started := time.Now()
	results := make([]result, len(arguments)-1)
	var all sync.WaitGroup
	for i, name := range arguments[1:] {
		all.Go(func() {
			r := result{author: "operator_" + name, value: fmt.Sprintf("%s%d", arguments[0], i)}
			_, r.err = f.apply(name, r.author, r.value, &current.Version)
			results[i] = r
		})
	}
	all.Wait()
	var winners []result
	for _, r := range results {
		f.logf("%s: %v", r.author, r.err)
		if r.err == nil {
			winners = append(winners, r)
		}
	}
	if len(winners) != 1 {
		return eris.Errorf("%d winners, want 1: %+v", len(winners), results)
	}
	for _, r := range results {
		var e *operator.Error
		if r.err != nil && (!errors.As(r.err, &e) || e.Winner == nil || e.Winner.Author != winners[0].author) {
			return eris.Errorf("%s was not told that %s won: %v", r.author, winners[0].author, r.err)
		}
	}
	return f.shown(arguments[1:], winners[0].value, started, 5*time.Second)
}

// shown waits until all instances show a value.
func (f *fleet) shown(names []string, value string, started time.Time, within time.Duration) error {
	for _, name := range names {
		for {
			shown, err := f.configurationAt(name)
			if err == nil && shown == yamlWith(value) {
				break
			}
			if time.Since(started) > within {
				return eris.Errorf("%s shows %q after %s, want %s: %v", name, shown, within, value, err)
			}
			time.Sleep(pollPeriod)
		}
	}
	f.logf("shown everywhere %s after the request", time.Since(started).Round(time.Millisecond))
	return nil
}

func (f *fleet) configurationAt(name string) (string, error) {
	client, err := f.operator(name)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c, err := client.Configuration(ctx)
	return c.Document, err
}

// commandConfiguration: configuration apply INSTANCE VALUE [result=ok] [within=5s] | configuration absent VALUE [hold=5s]
//
// Apply proposes a value of max_statement_bytes. result= is ok or the kind of the refusal; after ok, every instance must
// show the value inside the time, which counts from the request. Absent requires that no instance shows a value in a
// time.
func (f *fleet) commandConfiguration(arguments []string) error {
	arguments, o := splitOptions(arguments)
	if err := expect(arguments, 2, 3, "configuration apply INSTANCE VALUE | configuration absent VALUE"); err != nil {
		return err
	}
	want, within, hold := o.text("result", "ok"), o.duration("within", 5*time.Second), o.duration("hold", 5*time.Second)
	if err := o.finish(); err != nil {
		return err
	}
	if arguments[0] == "absent" {
		return f.absent(arguments[1], hold)
	}
	started := time.Now()
	change, err := f.apply(arguments[1], "ana", arguments[2], nil)
	f.logf("%+v %v after %s", change, err, time.Since(started).Round(time.Millisecond))
	got := "ok"
	if err != nil {
		got = string(operator.KindOf(err))
	}
	if got != want && !strings.Contains("|"+want+"|", "|"+got+"|") {
		return eris.Errorf("result %s, want %s: %v", got, want, err)
	}
	if got != "ok" {
		return nil
	}
	return f.shown(f.runningInstances(), arguments[2], started, within)
}

func (f *fleet) absent(value string, hold time.Duration) error {
	for end := time.Now().Add(hold); time.Now().Before(end); time.Sleep(pollPeriod) {
		for _, name := range f.runningInstances() {
			shown, err := f.configurationAt(name)
			if err != nil {
				return err
			}
			if shown == yamlWith(value) {
				return eris.Errorf("%s shows the refused value %s", name, value)
			}
		}
	}
	return nil
}
