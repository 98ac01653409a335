package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/instance/operator"
	"tanagercross/internal/organisation/key"
)

const (
	// keyAttempts bounds the repetitions of a change of the keys: changes of different keys do not contradict each
	// other, so the loser of a race applies its change to the winner's version.
	keyAttempts = 8
	keyBackoff  = 300 * time.Millisecond
)

// control carries out what operators ask for; it implements operator.Control.
type control struct{ *Daemon }

// Configuration implements operator.Control.
func (c control) Configuration(ctx context.Context) (operator.Configuration, error) {
	d := c.fleet.document(document.Configuration)
	shown := operator.Configuration{Version: d.Version, Document: string(d.Content)}
	if len(d.Origins) > 0 {
		shown.ChangeID, shown.Author, shown.Reason = d.Origins[0].ChangeID, d.Origins[0].Author, d.Origins[0].Reason
	}
	if entry, err := c.historyEntry(ctx, d.Version); err == nil {
		shown.At = entry.At
	}
	return shown, nil
}

// Apply implements operator.Control.
func (c control) Apply(ctx context.Context, p operator.Proposal) (operator.Change, error) {
	before := c.fleet.view().configuration
	after, err := configuration.Parse([]byte(p.Document))
	if err != nil {
		return operator.Change{}, &operator.Error{Operation: "apply", Kind: operator.Invalid, Err: err}
	}
	change := document.Change{
		ID: p.ChangeID, Name: document.Configuration, Base: p.BaseVersion, Author: p.Author, Reason: p.Reason,
		Content: []byte(p.Document), At: time.Now().UTC(),
	}
	result := c.change(ctx, change, roster.Roster{})
	if result.Status != document.InForce {
		return operator.Change{}, changeError("apply", result)
	}
	c.storeEntry(ctx, operator.HistoryEntry{
		Version: p.BaseVersion + 1, ChangeID: p.ChangeID, Author: p.Author, Reason: p.Reason, At: change.At,
		Diff: configuration.Diff(before, after),
	})
	return c.changed(p.ChangeID, result), nil
}

func (c control) changed(id string, r document.Result) operator.Change {
	members := c.fleet.view().roster.Len()
	return operator.Change{ChangeID: id, Version: r.Version, InForce: true, Confirmed: members, Members: members}
}

func changeError(op string, r document.Result) error {
	e := &operator.Error{Operation: op, Err: eris.New(r.Message)}
	switch r.Status {
	case document.Conflict:
		e.Kind = operator.Conflict
		e.Winner = &operator.Winner{Version: r.Winner.Version, Author: r.Winner.Author}
	case document.Refused:
		e.Kind = operator.Refused
		e.Err = eris.Errorf("member %s refused: %s", r.Member, r.Message)
	case document.Abandoned:
		e.Kind = operator.Unavailable
	default:
		e.Kind = operator.Unknown
	}
	return e
}

// History implements operator.Control.
func (c control) History(ctx context.Context, limit int) ([]operator.HistoryEntry, error) {
	origins := c.fleet.document(document.Configuration).Origins
	var entries []operator.HistoryEntry
	for _, o := range origins[:min(limit, len(origins))] {
		entry, err := c.historyEntry(ctx, o.Version)
		if err != nil {
			entry = entryOf(o)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// IssueKey implements operator.Control.
func (c control) IssueKey(ctx context.Context, i operator.Issue) (operator.Change, error) {
	entry := key.Entry{Hash: i.Hash, Organisation: i.Organisation, IssuedAt: time.Now().UTC(), IssuedBy: i.Author}
	return c.changeKeys(ctx, "issue", i.ChangeID, i.Author, func(t key.Table) (key.Table, error) {
		return t.WithIssued(entry)
	})
}

// WithdrawKey implements operator.Control.
func (c control) WithdrawKey(ctx context.Context, w operator.Withdrawal) (operator.Change, error) {
	at := time.Now().UTC()
	return c.changeKeys(ctx, "withdraw", w.ChangeID, w.Author, func(t key.Table) (key.Table, error) {
		return t.WithWithdrawn(w.Hash, at, w.Author, w.Reason)
	})
}

// changeKeys applies a change to the newest keys, again if another change was first.
func (c control) changeKeys(
	ctx context.Context, op, id, author string, apply func(key.Table) (key.Table, error),
) (operator.Change, error) {
	if id == "" {
		id = uuid.NewString()
	}
	var result document.Result
	for range keyAttempts {
		held := c.fleet.document(document.Keys)
		content, err := appliedKeys(held, apply)
		if err != nil {
			return operator.Change{}, keyError(op, err)
		}
		change := document.Change{
			ID: id, Name: document.Keys, Base: held.Version, Author: author, Reason: op, Content: content, At: time.Now().UTC(),
		}
		result = c.change(ctx, change, roster.Roster{})
		if result.Status != document.Conflict {
			break
		}
		_ = c.poll(ctx)
		c.wait(ctx, c.jitter(keyBackoff))
	}
	if result.Status != document.InForce {
		return operator.Change{}, changeError(op, result)
	}
	return c.changed(id, result), nil
}

func appliedKeys(held document.Document, apply func(key.Table) (key.Table, error)) ([]byte, error) {
	var table key.Table
	if held.Version > 0 {
		var err error
		if table, err = key.ParseTable(held.Content); err != nil {
			return nil, err
		}
	}
	table, err := apply(table)
	if err != nil {
		return nil, err
	}
	return json.Marshal(table)
}

func keyError(op string, err error) error {
	kind := operator.Unavailable
	switch key.KindOf(err) {
	case key.Unknown:
		kind = operator.Missing
	case key.Duplicate, key.Incomplete, key.Malformed:
		kind = operator.Invalid
	}
	return &operator.Error{Operation: op, Kind: kind, Err: err}
}

// checkChange examines a proposed change at a member.
func (d *Daemon) checkChange(before document.Document, change document.Change) error {
	switch change.Name {
	case document.Configuration:
		return configuration.Check(change.Content)
	case document.Keys:
		_, err := key.ParseTable(change.Content)
		return err
	case document.Roster:
		return checkRoster(before, change)
	}
	return nil
}

func checkRoster(before document.Document, change document.Change) error {
	next, err := roster.Decode(change.Base+1, change.Content)
	if err != nil || before.Version == 0 {
		return err
	}
	held, err := roster.Decode(before.Version, before.Content)
	if err != nil {
		return err
	}
	return roster.CheckChange(held, next)
}

// Status implements operator.Control.
func (c control) Status(context.Context) (operator.Status, error) {
	now := c.clock.Now()
	view := c.fleet.view()
	s := operator.Status{
		Name: c.settings.Name, Place: c.settings.Place, Region: c.settings.Region, Fresh: c.fleet.Fresh(now),
		Draining: c.draining.Load(), StoreAgeMS: -1, RosterVersion: view.roster.Version(),
		ConfigurationVersion: view.configurationVersion, KeysVersion: view.keysVersion,
		GroupsVersion: view.groupsVersion, Reads: c.readShares(),
	}
	c.fleet.read(func(state *exchange.State) {
		if age, ok := state.StoreAge(now); ok {
			s.StoreAgeMS = age.Milliseconds()
		}
	})
	for _, m := range view.roster.Members() {
		member := operator.Member{Name: m.Name, Place: m.Place, Leaving: m.Leaving, AgeMS: -1}
		if silence, ok := c.liveness.silence(m.Name, now); ok {
			member.AgeMS = silence.Milliseconds()
		}
		c.addVersions(&member)
		s.Members = append(s.Members, member)
	}
	s.Groups = c.groupStatus()
	return s, nil
}

func (c control) groupStatus() []operator.Group {
	var groups []operator.Group
	held := c.pool.HeldLanes()
	view := c.table.View()
	for _, name := range view.Names() {
		g, ok := view.Group(name)
		if !ok {
			continue
		}
		lanes := 0
		for _, s := range g.Servers {
			for _, h := range held {
				if h.Server == s.Name {
					lanes++
				}
			}
		}
		groups = append(groups, operator.Group{Name: name, Term: g.Term, Primary: g.Primary, Lanes: lanes})
	}
	slices.SortFunc(groups, func(a, b operator.Group) int { return strings.Compare(a.Name, b.Name) })
	return groups
}
