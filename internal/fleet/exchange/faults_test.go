package exchange_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/roster"
)

// fault is brought about for a while at a random moment.
type fault struct {
	name       string
	start, end func(*network, *node)
}

func faults() []fault {
	none := func(*network, *node) {}
	return []fault{
		{"store outage", func(n *network, _ *node) { n.store.down = true }, func(n *network, _ *node) { n.store.down = false }},
		{"slow store", func(n *network, _ *node) { n.store.slow = time.Second }, func(n *network, _ *node) { n.store.slow = 0 }},
		{"lost answers", func(n *network, _ *node) { n.store.loseAll = true }, func(n *network, _ *node) { n.store.loseAll = false }},
		{"pause", func(_ *network, o *node) { o.paused = true }, func(n *network, o *node) { n.wake(o) }},
		{"cut from store", func(_ *network, o *node) { o.noStore = true }, func(_ *network, o *node) { o.noStore = false }},
		{"cut from peers", func(_ *network, o *node) { o.noPeers = true }, func(_ *network, o *node) { o.noPeers = false }},
		{
			"cut from both", func(_ *network, o *node) { o.noStore, o.noPeers = true, true },
			func(_ *network, o *node) { o.noStore, o.noPeers = false, false },
		},
		{"half restarted", func(n *network, _ *node) {
			for _, i := range n.random.Perm(len(n.nodes))[:len(n.nodes)/2] {
				n.restart(n.nodes[i])
			}
		}, none},
		{"three proposers", func(n *network, _ *node) {
			for _, i := range n.random.Perm(len(n.nodes))[:3] {
				n.propose(n.nodes[i])
			}
		}, none},
	}
}

// Guards against versions that go back, two winners of a version, a change reported in force that a fresh member
// lacks, and a fresh member that is cut off, under at least two faults a run.
func TestChangesUnderFaults(t *testing.T) {
	var inForce, conflicts, runs atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(240) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(t, seed, 5+int(seed%3))
				list := faults()
				n.after(time.Second, func() {
					for _, i := range n.random.Perm(len(n.nodes))[:3] {
						n.propose(n.nodes[i])
					}
				})
				for range 3 + n.random.IntN(3) {
					f, o := list[n.random.IntN(len(list))], n.nodes[n.random.IntN(len(n.nodes))]
					at := time.Duration(n.random.IntN(12000)) * time.Millisecond
					n.after(at, func() { f.start(n, o) })
					n.after(at+time.Duration(1000+n.random.IntN(8000))*time.Millisecond, func() { f.end(n, o) })
				}
				for range 3 {
					o := n.nodes[n.random.IntN(len(n.nodes))]
					n.after(time.Duration(n.random.IntN(15000))*time.Millisecond, func() { n.propose(o) })
				}
				n.run(30 * time.Second)
				for _, o := range n.nodes {
					if !o.state.Fresh(n.now) {
						t.Errorf("%s is not fresh after the faults", o.name)
					}
				}
				inForce.Add(int64(n.count(document.InForce)))
				conflicts.Add(int64(n.count(document.Conflict)))
				runs.Add(1)
			})
		}
	})
	t.Logf("runs %d, changes in force %d, conflicts %d", runs.Load(), inForce.Load(), conflicts.Load())
	if runs.Load() < 200 || inForce.Load() < runs.Load() || conflicts.Load() < runs.Load()/4 {
		t.Error("the runs bring about too few changes or conflicts to prove anything")
	}
}

// Guards against instances that stop admitting requests during a long store outage.
func TestFreshThroughOutage(t *testing.T) {
	n := newNetwork(t, 1, 15)
	n.run(3 * time.Second)
	n.store.down = true
	reads := n.reads
	for range 600 {
		n.run(time.Second)
		for _, o := range n.nodes {
			if !o.state.Fresh(n.now) {
				t.Fatalf("%s is not fresh", o.name)
			}
		}
	}
	if got := n.reads - reads; got > 600*12 {
		t.Errorf("%d attempts at the store during an outage of ten minutes", got)
	}
}

// Guards against a configuration change that takes longer than five seconds without faults, or a second if the roster
// is known to be settled.
func TestChangeWithoutFaults(t *testing.T) {
	for limit, settled := range map[time.Duration]bool{5 * time.Second: false, time.Second: true} {
		n := newNetwork(t, 1, 21)
		n.settled = func() bool { return settled }
		n.run(2 * time.Second)
		n.propose(n.nodes[0])
		n.run(limit)
		if n.count(document.InForce) != 1 {
			t.Errorf("settled %t: results %+v", settled, n.results)
		}
	}
}

// Guards against a majority of which no member holds a change any more: one holder is paused, the other was restarted
// during a store outage, and the third comes back from a partition with the old version.
func TestRestartedHolderDoesNotCount(t *testing.T) {
	n := newNetwork(t, 1, 3)
	a, b, c := n.nodes[0], n.nodes[1], n.nodes[2]
	n.run(2 * time.Second)
	c.noStore, c.noPeers = true, true
	n.propose(a)
	n.run(8 * time.Second)
	if n.count(document.InForce) != 1 {
		t.Fatalf("results %+v", n.results)
	}
	n.store.down, a.paused = true, true
	n.restart(b)
	c.noStore, c.noPeers = false, false
	b.state.MergeDocument(c.state.Documents().Get(document.Roster), n.now)
	n.run(8 * time.Second)
	if c.state.Fresh(n.now) {
		t.Error("fresh without the holders of the change")
	}
	n.wake(a)
	n.run(3 * time.Second)
	if !c.state.Fresh(n.now) || c.state.Documents().Get(document.Configuration).Version != 2 {
		t.Error("not fresh with a holder of the change")
	}
}

// Guards against an instance outside the roster that admits requests, since changes are in force without asking it, and
// against a roster change that does not let it in.
func TestJoin(t *testing.T) {
	n := newNetwork(t, 1, 4)
	joining := &node{name: "i-new"}
	n.nodes = append(n.nodes, joining)
	n.restart(joining)
	n.run(3 * time.Second)
	if joining.state.Fresh(n.now) || joining.state.Roster().Len() != 4 {
		t.Error("fresh outside the roster, or without the roster")
	}
	o := n.nodes[0]
	base, before := o.state.Documents().Get(document.Roster), o.state.Roster()
	after := roster.New(2, append([]roster.Member{{Name: joining.name}}, before.Members()...))
	content, err := after.Encode()
	if err != nil || roster.CheckChange(before, after) != nil {
		t.Fatal(err)
	}
	o.change = document.NewProcedure(
		document.Change{ID: "join", Name: document.Roster, Base: 1, Author: "x", Content: content},
		document.Params{Base: base, Roster: before, NextRoster: after}, n.now)
	n.run(10 * time.Second)
	if n.count(document.InForce) != 1 || !joining.state.Fresh(n.now) {
		t.Errorf("results %+v, fresh %t", n.results, joining.state.Fresh(n.now))
	}
}
