package document_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

var (
	three  = roster.New(1, []roster.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	base   = document.Document{Name: "keys", Version: 4}
	change = document.Change{ID: "x", Name: "keys", Base: 4, Author: "ann"}
)

// run is a procedure under test with its time and the last actions.
type run struct {
	p    *document.Procedure
	now  time.Time
	last []document.Action
}

func (r *run) step(after time.Duration, e document.Event) *run {
	r.now = r.now.Add(after)
	r.last = r.p.Step(e, r.now)
	return r
}

func (r *run) confirm(members ...string) *run {
	for _, m := range members {
		r.step(0, document.Confirmed{Member: m, Confirmation: document.Confirmation{ChangeID: "x", Version: 4}})
	}
	return r
}

func (r *run) held(incarnation uint64, members ...string) *run {
	for _, m := range members {
		r.step(time.Millisecond, document.Held{
			Member: m, Incarnation: incarnation, Sent: r.now,
			Versions: []document.Version{{Name: "keys", Version: 5}, {Name: "roster", Version: 1}},
		})
	}
	return r
}

func (r *run) result() document.Result {
	for _, a := range r.last {
		if f, ok := a.(document.FinishAction); ok {
			return f.Result
		}
	}
	return document.Result{}
}

func (r *run) fetches() bool {
	return slices.ContainsFunc(r.last, func(a document.Action) bool {
		_, ok := a.(document.FetchAction)
		return ok
	})
}

func started(settled bool) *run {
	now := time.Now()
	p := document.NewProcedure(change, document.Params{Base: base, Roster: three, RosterSettled: settled}, now)
	return (&run{p: p, now: now}).step(0, document.Tick{}).confirm("a", "b", "c")
}

// Guards against a change reported in force early: by answers of which one is void because the member was restarted,
// by a majority before the freshness bound has passed, or by every member while the roster is not settled.
func TestInForce(t *testing.T) {
	r := started(true).step(0, document.Written{}).held(1, "a", "b", "c")
	if r.result().Status != "" {
		t.Error("in force after one round")
	}
	r.held(1, "a", "b").held(2, "c")
	if r.result().Status != "" {
		t.Error("in force although a member was restarted between the rounds")
	}
	if got := r.held(1, "a", "b").held(2, "c").result(); got.Status != document.InForce || got.Version != 5 {
		t.Errorf("every member: %+v", got)
	}
	r = started(true).step(0, document.Written{}).held(1, "a", "b").held(1, "a", "b")
	if r.step(4*time.Second, document.Tick{}).result().Status != "" {
		t.Error("in force by a majority before the bound has passed")
	}
	if got := r.step(500*time.Millisecond, document.Tick{}).result(); got.Status != document.InForce {
		t.Errorf("majority: %+v", got)
	}
	r = started(false).step(0, document.Written{}).held(1, "a", "b", "c").held(1, "a", "b", "c")
	if r.result().Status != "" {
		t.Error("in force at once with a roster that is not settled")
	}
}

// Guards against a lost answer taken for a failure or for a success, and a conflict that names nobody.
func TestLostAnswer(t *testing.T) {
	origin := func(id string) document.Origin { return document.Origin{Version: 5, ChangeID: id, Author: "bob"} }
	fetched := func(version uint64, origins ...document.Origin) document.Event {
		return document.Fetched{
			Document: document.Document{Name: "keys", Version: version, Origins: origins}, RosterVersion: 1,
		}
	}
	unclear := func() *run {
		r := started(true).step(0, document.Written{Kind: store.Unknown})
		if !r.fetches() {
			t.Fatal("the document is not read after a lost answer")
		}
		return r
	}
	if got := unclear().step(0, fetched(5, origin("y"))).result(); got.Status != document.Conflict || got.Winner != origin("y") {
		t.Errorf("other change: %+v", got)
	}
	r := unclear().step(0, fetched(6, document.Origin{Version: 6, ChangeID: "z"}, origin("x")))
	if got := r.held(1, "a", "b", "c").held(1, "a", "b", "c").result(); got.Status != document.InForce {
		t.Errorf("own change, followed by another: %+v", got)
	}
	r = unclear().step(time.Second, fetched(4))
	if _, ok := r.last[0].(document.CommitAction); !ok {
		t.Errorf("not written again: %+v", r.last)
	}
	if got := unclear().step(0, fetched(90)).result(); got.Status != document.Undetermined {
		t.Errorf("forgotten: %+v", got)
	}
	if got := unclear().step(time.Hour, document.Tick{}).result(); got.Status != "" {
		t.Errorf("given up although the write may have taken effect: %+v", got)
	}
}

// Guards against a write of a change that a member refused or that no majority confirmed.
func TestNotWritten(t *testing.T) {
	var set document.Set
	set.Merge(base)
	bad := func(document.Document, document.Change) error { return errors.New("bad") }
	now := time.Now()
	fresh := func() *run {
		return (&run{p: document.NewProcedure(change, document.Params{Base: base, Roster: three}, now), now: now})
	}
	r := fresh().step(0, document.Confirmed{Member: "b", Confirmation: set.Confirm(change, bad)})
	if got := r.result(); got.Status != document.Refused || got.Member != "b" || got.Message != "bad" {
		t.Errorf("%+v", got)
	}
	r = fresh().confirm("a").step(6*time.Second, document.Tick{})
	if got := r.result(); got.Status != document.Abandoned {
		t.Errorf("%+v", got)
	}
	set.Merge(document.Document{Name: "keys", Version: 5})
	if !fresh().step(0, document.Confirmed{Member: "b", Confirmation: set.Confirm(change, nil)}).fetches() {
		t.Error("a member with a newer version does not lead to the winner")
	}
	// A roster change waits until every fresh member holds the roster it starts from.
	c := document.Change{ID: "x", Name: document.Roster, Base: 4}
	p := document.Params{Base: document.Document{Name: c.Name, Version: 4}, Roster: three, NextRoster: three}
	r = &run{p: document.NewProcedure(c, p, now), now: now}
	if r.confirm("a", "b", "c"); len(r.last) > 0 {
		t.Errorf("written at once: %+v", r.last)
	}
	if r.step(5*time.Second, document.Tick{}); len(r.last) != 1 {
		t.Errorf("not written: %+v", r.last)
	}
}

// Guards against a withdrawal that is reported as not written while a write is still on its way to a slow store, and that
// appears later.
func TestNotAbandonedWithWriteUnderWay(t *testing.T) {
	r := started(true)
	for range 30 {
		if got := r.step(time.Second, document.Tick{}).result(); got.Status != "" {
			t.Fatalf("ended while a write had no result: %+v", got)
		}
	}
	sent := 20 // one write each 500 ms at most, of which the limit lets some pass
	for range sent {
		r.step(0, document.Written{Kind: store.Unavailable})
	}
	if got := r.step(time.Second, document.Tick{}).result(); got.Status != document.Abandoned {
		t.Errorf("every write was refused: %+v", got)
	}
}
