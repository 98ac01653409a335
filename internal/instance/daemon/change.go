package daemon

import (
	"context"
	"sync"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

const (
	changeTick  = 50 * time.Millisecond
	changeLimit = 45 * time.Second // longer than the procedure's own limits
)

// runner carries out the actions of one change procedure.
type runner struct {
	*Daemon
	mu        sync.Mutex
	procedure *document.Procedure
	finished  chan document.Result
	addresses map[string]string // of members that the held roster does not list yet
}

// change takes a change of a document to its end.
func (d *Daemon) change(ctx context.Context, c document.Change, next roster.Roster) document.Result {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	view := d.fleet.view()
	now := d.clock.Now()
	params := document.Params{
		Base: d.fleet.document(c.Name), Roster: view.roster, NextRoster: next,
		RosterSettled: rosterSettled(view.roster),
	}
	if params.Base.Version != c.Base {
		return d.settleStale(params.Base, c)
	}
	r := &runner{
		Daemon: d, procedure: document.NewProcedure(c, params, now), finished: make(chan document.Result, 1),
		addresses: map[string]string{},
	}
	for _, m := range next.Members() {
		r.addresses[m.Name] = m.Address
	}
	return r.run(ctx)
}

// rosterSettled reports whether every fresh instance is among the members of the roster. A change of the roster is
// written only after every fresh instance holds the version before, so that only a member which the last change removed
// can be fresh under another roster. How long the proposer has held the roster says nothing about that member: the
// proposer of the removal may have died after the commit. After a removal, changes are acknowledged 4.4 s after a
// majority has them, until the roster changes again; they take effect at the members at once all the same.
func rosterSettled(r roster.Roster) bool { return r.Version() > 0 && !r.Removal() }

// settleStale ends a change whose base is not the version held. A change that was made before is found by its id.
func (d *Daemon) settleStale(held document.Document, c document.Change) document.Result {
	for _, o := range held.Origins {
		if o.ChangeID == c.ID {
			return document.Result{Status: document.InForce, Version: o.Version}
		}
	}
	if held.Version < c.Base {
		return document.Result{Status: document.Abandoned, Message: "the instance does not hold the base version yet"}
	}
	for _, o := range held.Origins {
		if o.Version == c.Base+1 {
			return document.Result{Status: document.Conflict, Winner: o}
		}
	}
	return document.Result{Status: document.Conflict, Message: "the base version is no longer in force"}
}

func (r *runner) run(ctx context.Context) document.Result {
	ticks, cancel := r.clock.Subscribe(changeTick)
	defer cancel()
	r.step(ctx, document.Tick{})
	for {
		select {
		case result := <-r.finished:
			return result
		case <-ctx.Done():
			return document.Result{Status: document.Undetermined, Message: "no result in time"}
		case <-ticks:
			r.step(ctx, document.Tick{})
		}
	}
}

func (r *runner) step(ctx context.Context, e document.Event) {
	r.mu.Lock()
	actions := r.procedure.Step(e, r.clock.Now())
	r.mu.Unlock()
	for _, a := range actions {
		r.perform(ctx, a)
	}
}

func (r *runner) perform(ctx context.Context, a document.Action) {
	switch a := a.(type) {
	case document.FinishAction:
		r.finished <- a.Result
	case document.ProposeAction:
		r.spawn(func() { r.propose(ctx, a) })
	case document.PushAction:
		r.spawn(func() { r.push(ctx, a) })
	case document.CommitAction:
		r.spawn(func() {
			r.step(ctx, document.Written{Kind: store.KindOf(r.store.Commit(ctx, a.Conditions, a.Writes))})
		})
	case document.FetchAction:
		r.spawn(func() { r.fetchDocument(ctx, a.Name) })
	}
}

func (r *runner) propose(ctx context.Context, a document.ProposeAction) {
	if a.Member == r.settings.Name {
		var c document.Confirmation
		r.fleet.update(func(s *exchange.State, _ time.Time) { c = s.Documents().Confirm(a.Change, r.checkChange) })
		r.step(ctx, document.Confirmed{Member: a.Member, Confirmation: c})
		return
	}
	again := r.ask(ctx, a.Member, func(s *exchange.State, now time.Time) exchange.Message {
		return s.Propose(a.Member, a.Change, now)
	})
	if again {
		r.exchangeWith(ctx, a.Member)
	}
}

func (r *runner) push(ctx context.Context, a document.PushAction) {
	sent := r.clock.Now()
	r.fleet.update(func(s *exchange.State, now time.Time) { s.MergeDocument(a.Document, now) })
	if a.Member == r.settings.Name {
		var versions []document.Version
		r.fleet.update(func(s *exchange.State, _ time.Time) { versions = s.Documents().Versions() })
		held := document.Held{Member: a.Member, Incarnation: r.incarnation, Versions: versions, Sent: sent}
		r.step(ctx, held)
		return
	}
	again := r.ask(ctx, a.Member, func(s *exchange.State, now time.Time) exchange.Message {
		return s.Request(a.Member, now)
	})
	if again {
		r.ask(ctx, a.Member, func(s *exchange.State, now time.Time) exchange.Message { return s.Request(a.Member, now) })
	}
}

// ask exchanges with a member and feeds the answer to the procedure.
func (r *runner) ask(
	ctx context.Context, member string, request func(*exchange.State, time.Time) exchange.Message,
) bool {
	again, err := r.exchangeAt(ctx, member, r.addresses[member], request, func(sent time.Time, m exchange.Message) {
		for _, c := range m.Confirmations {
			r.step(ctx, document.Confirmed{Member: member, Confirmation: c})
		}
		r.step(ctx, document.Held{Member: member, Incarnation: m.Incarnation, Versions: m.Versions, Sent: sent})
	})
	return err == nil && again
}

func (r *runner) fetchDocument(ctx context.Context, name string) {
	rows, err := r.store.Read(ctx, document.Key(name), document.VersionKey(document.Roster))
	if err != nil {
		return
	}
	doc, err := document.FromRow(name, rows[0])
	if err != nil {
		r.log.Error("document in the store cannot be read", "document", name, "error", err.Error())
		return
	}
	r.step(ctx, document.Fetched{Document: doc, RosterVersion: rows[1].Version})
}
