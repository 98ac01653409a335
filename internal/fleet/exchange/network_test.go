package exchange_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

const step = 50 * time.Millisecond

// rows is the store of a simulated network.
type rows struct {
	rows    map[string]store.Row
	made    map[string]string // name/version to change id
	down    bool
	slow    time.Duration
	loseAll bool
}

func (r *rows) commit(a document.CommitAction) store.Kind {
	for _, c := range a.Conditions {
		if r.rows[c.Key].Version != c.Version {
			return store.Conflict
		}
	}
	for _, w := range a.Writes {
		r.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: r.rows[w.Key].Version + 1}
	}
	return ""
}

func (r *rows) versions() []document.Version {
	var list []document.Version
	for _, n := range document.Names() {
		list = append(list, document.Version{Name: n, Version: r.rows[document.VersionKey(n)].Version})
	}
	return list
}

func (r *rows) document(t *testing.T, name string) document.Document {
	d, err := document.FromRow(name, r.rows[document.Key(name)])
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// node is one simulated instance.
type node struct {
	name        string
	incarnation uint64
	state       *exchange.State
	change      *document.Procedure
	paused      bool
	waiting     []func() // arrived while paused
	noStore     bool
	noPeers     bool
	cutSince    time.Time // cut from both since then; zero if not
	seen        map[string]uint64
}

type event struct {
	at  time.Time
	run func()
}

// network runs nodes with simulated time, message delays and faults.
type network struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	nodes   []*node
	store   rows
	events  []event
	inForce map[string]uint64
	results []document.Result
	reads   int
	settled func() bool // whether a proposer takes its roster for settled
}

func newNetwork(t *testing.T, seed uint64, size int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), inForce: map[string]uint64{},
		store: rows{rows: map[string]store.Row{}, made: map[string]string{}},
	}
	n.settled = func() bool { return n.random.IntN(4) > 0 }
	var members []roster.Member
	for i := range size {
		members = append(members, roster.Member{Name: fmt.Sprintf("i-%03d", i), Place: fmt.Sprint(i % 3)})
	}
	content, err := roster.New(1, members).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{document.Roster: content, document.Configuration: []byte("a")} {
		data, err := document.Document{Name: name, Version: 1, Content: content}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		n.store.commit(document.CommitAction{Writes: []store.Write{
			{Key: document.Key(name), Value: data}, {Key: document.VersionKey(name)},
		}})
	}
	for _, m := range members {
		node := &node{name: m.Name}
		n.nodes = append(n.nodes, node)
		n.restart(node)
		for _, name := range []string{document.Roster, document.Configuration} {
			node.state.MergeDocument(n.store.document(t, name), n.now)
		}
	}
	return n
}

func (n *network) restart(o *node) {
	o.incarnation++
	o.change, o.waiting, o.seen = nil, nil, map[string]uint64{}
	o.state = exchange.New(exchange.Params{
		Self: o.name, Incarnation: o.incarnation, Seed: n.random.Uint64(),
	}, n.now)
}

func (n *network) node(name string) *node {
	for _, o := range n.nodes {
		if o.name == name {
			return o
		}
	}
	return nil
}

func (n *network) after(d time.Duration, run func()) {
	n.events = append(n.events, event{at: n.now.Add(d), run: run})
}

// at runs at a node after a delay, once the node is not paused, unless it was restarted meanwhile.
func (n *network) at(o *node, d time.Duration, run func()) {
	incarnation := o.incarnation
	n.after(d, func() {
		switch {
		case o.incarnation != incarnation:
		case o.paused:
			o.waiting = append(o.waiting, run)
		default:
			run()
		}
	})
}

func (n *network) delay() time.Duration { return time.Duration(1+n.random.IntN(30)) * time.Millisecond }

// call sends a request to a peer and handles the answer.
func (n *network) call(from *node, peer string, m exchange.Message) {
	to, sent := n.node(peer), n.now
	if from.noPeers || to.noPeers {
		return
	}
	n.at(to, n.delay(), func() {
		answer := to.state.Answer(m, n.now)
		if from.noPeers || to.noPeers {
			return
		}
		n.at(from, n.delay(), func() {
			again := from.state.Answered(sent, peer, answer, n.now)
			for _, c := range answer.Confirmations {
				n.step(from, document.Confirmed{Member: peer, Confirmation: c})
			}
			n.step(from, document.Held{
				Member: peer, Incarnation: answer.Incarnation, Versions: answer.Versions, Sent: sent,
			})
			if again {
				n.call(from, peer, from.state.Request(peer, n.now))
			}
		})
	})
}

// ask runs a call at the store; done gets false if nothing was done.
func (n *network) ask(from *node, do func(), done func(bool)) {
	n.after(n.store.slow+n.delay(), func() {
		ok := !n.store.down && !from.noStore
		if ok {
			do()
		}
		n.at(from, n.delay(), func() { done(ok) })
	})
}

func (n *network) poll(o *node) {
	if !o.state.PollDue(n.now) {
		return
	}
	before := n.now
	var versions []document.Version
	o.state.Polling(n.now)
	n.reads++
	n.ask(o, func() { versions = n.store.versions() }, func(ok bool) {
		if !ok {
			o.state.PollFailed()
			return
		}
		names := o.state.Outdated(versions)
		if len(names) == 0 {
			o.state.Polled(before, versions)
			return
		}
		var read []document.Document
		n.ask(o, func() {
			for _, name := range names {
				read = append(read, n.store.document(n.t, name))
			}
		}, func(bool) {
			for _, d := range read {
				o.state.MergeDocument(d, n.now)
			}
			o.state.Polled(before, versions)
		})
	})
}

// step feeds an event to a node's change and carries out the actions.
func (n *network) step(o *node, e document.Event) {
	if o.change == nil {
		return
	}
	for _, action := range o.change.Step(e, n.now) {
		switch a := action.(type) {
		case document.ProposeAction:
			if a.Member == o.name {
				n.step(o, document.Confirmed{Member: o.name, Confirmation: o.state.Documents().Confirm(a.Change, nil)})
				continue
			}
			n.call(o, a.Member, o.state.Propose(a.Member, a.Change, n.now))
		case document.PushAction:
			o.state.MergeDocument(a.Document, n.now)
			if a.Member == o.name {
				n.step(o, document.Held{
					Member: o.name, Incarnation: o.incarnation, Versions: o.state.Documents().Versions(), Sent: n.now,
				})
				continue
			}
			n.call(o, a.Member, o.state.Request(a.Member, n.now))
		case document.CommitAction:
			n.write(o, a)
		case document.FetchAction:
			var e document.Fetched
			n.ask(o, func() {
				e = document.Fetched{
					Document: n.store.document(n.t, a.Name), RosterVersion: n.store.rows[document.Key(document.Roster)].Version,
				}
			}, func(ok bool) {
				if ok {
					n.step(o, e)
				}
			})
		case document.FinishAction:
			n.finish(o, a.Result)
		}
	}
}

func (n *network) write(o *node, a document.CommitAction) {
	kind, lost := store.Unavailable, n.store.loseAll
	n.ask(o, func() {
		if kind = n.store.commit(a); kind != "" {
			return
		}
		d, err := document.Decode(a.Writes[0].Value)
		if err != nil {
			n.t.Fatal(err)
		}
		key := fmt.Sprint(d.Name, "/", d.Version)
		if id, taken := n.store.made[key]; taken {
			n.t.Errorf("%s has two winners: %s and %s", key, id, d.Origins[0].ChangeID)
		}
		n.store.made[key] = d.Origins[0].ChangeID
		if lost {
			kind = store.Unknown
		}
	}, func(bool) { n.step(o, document.Written{Kind: kind}) })
}

func (n *network) finish(o *node, r document.Result) {
	name := o.change.Change().Name
	o.change = nil
	n.results = append(n.results, r)
	if r.Status == document.InForce {
		n.inForce[name] = max(n.inForce[name], r.Version)
	}
	if r.Status == document.Conflict {
		made := n.store.made[fmt.Sprint(name, "/", r.Winner.Version)]
		if made != r.Winner.ChangeID || r.Winner.Author == "" {
			n.t.Errorf("conflict names %+v, made by %s", r.Winner, made)
		}
	}
}

// propose starts a change of the configuration at a node that has none under way.
func (n *network) propose(o *node) {
	if o.paused || o.change != nil || o.state.Roster().Len() == 0 {
		return
	}
	base := o.state.Documents().Get(document.Configuration)
	o.change = document.NewProcedure(document.Change{
		ID: fmt.Sprint(o.name, "/", n.random.Uint64()), Name: base.Name, Base: base.Version, Author: o.name,
		Content: []byte(o.name),
	}, document.Params{Base: base, Roster: o.state.Roster(), RosterSettled: n.settled()}, n.now)
	n.step(o, document.Tick{})
}

func (n *network) wake(o *node) {
	o.paused = false
	waiting := o.waiting
	o.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// run lets time pass and checks the invariants after each step.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(step)
		for {
			slices.SortStableFunc(n.events, func(a, b event) int { return a.at.Compare(b.at) })
			if len(n.events) == 0 || n.events[0].at.After(next) {
				break
			}
			e := n.events[0]
			n.events = n.events[1:]
			n.now = e.at
			e.run()
		}
		n.now = next
		for i, o := range n.nodes {
			if o.paused {
				continue
			}
			n.check(o)
			n.step(o, document.Tick{})
			n.poll(o)
			if int(n.now.UnixMilli()/step.Milliseconds()+int64(i))%5 == 0 {
				for _, peer := range o.state.Targets() {
					n.call(o, peer, o.state.Request(peer, n.now))
				}
			}
		}
	}
}

func (n *network) check(o *node) {
	fresh := o.state.Fresh(n.now)
	for _, v := range o.state.Documents().Versions() {
		if v.Version < o.seen[v.Name] {
			n.t.Errorf("%s: %s went back from %d to %d", o.name, v.Name, o.seen[v.Name], v.Version)
		}
		o.seen[v.Name] = v.Version
	}
	for name, version := range n.inForce {
		if held := o.state.Documents().Get(name).Version; fresh && held < version {
			n.t.Errorf("%s is fresh at %s version %d, in force %d", o.name, name, held, version)
		}
	}
	if cut := o.noStore && o.noPeers; !cut {
		o.cutSince = time.Time{}
	} else if o.cutSince.IsZero() {
		o.cutSince = n.now
	} else if fresh && n.now.Sub(o.cutSince) > 4*time.Second {
		n.t.Errorf("%s is fresh %v after it was cut off", o.name, n.now.Sub(o.cutSince))
	}
}

func (n *network) count(s document.Status) int {
	count := 0
	for _, r := range n.results {
		if cmp.Compare(r.Status, s) == 0 {
			count++
		}
	}
	return count
}
