package route

import (
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
	"tanagercross/internal/session/outcome"

	"github.com/google/go-cmp/cmp"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func pos(term, index uint64) driver.Position { return driver.Position{Term: term, Index: index} }

// list sets the servers of the group, one of which may be leaving.
func list(t *group.Table, leaving string) {
	servers := []driver.Server{{Name: "a", Place: "x"}, {Name: "b", Place: "x"}, {Name: "c", Place: "y"}}
	for i := range servers {
		servers[i].Leaving = servers[i].Name == leaving
	}
	t.SetGroups([]group.Group{{Name: "g", Servers: servers}})
}

// fixture has primary a at (2,10) and replicas b (same place as the reader) and c, asked at 0 ms and at 100 ms.
func fixture(b, c uint64) *group.Table {
	t := group.NewTable()
	list(t, "")
	for i, ms := range []int{0, 100} {
		index := uint64(8 + 2*i)
		t.ObserveStatus(driver.Status{Server: "a", Role: driver.Primary, Term: 2, Last: pos(2, index)}, at(ms), at(ms))
	}
	t.ObserveStatus(driver.Status{Server: "b", Role: driver.Replica, Term: 2, Last: pos(2, b), Primary: "a"}, at(100), at(100))
	t.ObserveStatus(driver.Status{Server: "c", Role: driver.Replica, Term: 2, Last: pos(2, c), Primary: "a"}, at(100), at(100))
	return t
}

// Guards against a read that goes to a server that is behind, leaving, on an old branch, already tried or too old, and
// against replicas that are passed over although they would do.
func TestChooseRead(t *testing.T) {
	primary := func(r Reason) Choice {
		return Serve{Server: "a", Reason: r, Term: 2, AtLeast: pos(2, 10), Durable: true}
	}
	replica := func(server string, r Reason) Choice {
		return Serve{Server: server, Reason: r, Term: 2, AtLeast: pos(2, 10)}
	}
	for _, c := range []struct {
		name   string
		b, c   uint64
		change func(*group.Table)
		read   Read
		now    int
		want   Choice
	}{
		{name: "same place first", b: 10, c: 10, want: replica("b", ReplicaSamePlace)},
		{name: "other place", b: 9, c: 10, want: replica("c", ReplicaOther)},
		{name: "tried", b: 10, c: 10, read: Read{Exclude: []string{"b"}}, want: replica("c", ReplicaOther)},
		{name: "both tried", b: 10, c: 10, read: Read{Exclude: []string{"b", "c"}}, want: primary(PrimaryReplicaTried)},
		{name: "leaving", b: 10, c: 9, now: 200, change: func(t *group.Table) { list(t, "b") }, want: primary(PrimaryReplicaBehind)},
		{name: "old branch", b: 10, c: 10, change: func(t *group.Table) {
			t.ObserveStatus(driver.Status{Server: "a", Role: driver.Primary, Term: 3, Last: pos(3, 11)}, at(100), at(100))
		}, want: Serve{Server: "a", Reason: PrimaryOldBranch, Term: 3, AtLeast: pos(3, 0), Durable: true}},
		{name: "asked", b: 10, c: 10, read: Read{Mode: Primary}, want: primary(PrimaryAsked)},
		{name: "unresolved", b: 10, c: 10, read: Read{Mode: Unresolved}, want: primary(PrimaryUnresolved)},
		{name: "old data", b: 10, c: 10, now: 300, read: Read{Mode: MaxAge, MaxAge: 150 * time.Millisecond}, want: primary(PrimaryReplicaOld)},
		{
			name: "young data", b: 10, c: 8, now: 240, read: Read{Mode: MaxAge, MaxAge: 150 * time.Millisecond},
			want: Serve{Server: "b", Reason: ReplicaSamePlace, Term: 2, AtLeast: pos(2, 10), DataTime: at(100)},
		},
		{name: "unreachable", b: 10, c: 10, change: func(t *group.Table) { t.RecordFailure("b", at(1)); t.RecordFailure("c", at(1)) }, want: primary(PrimaryUnreachable)},
		{name: "no server", b: 10, c: 10, read: Read{Exclude: []string{"a", "b", "c"}}, want: Refuse{Reason: outcome.NoServer}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := fixture(c.b, c.c)
			if c.change != nil {
				c.change(table)
			}
			c.read.AtLeast, c.read.Place = pos(2, 10), "x"
			g, _ := table.View().Group("g")
			now := at(max(c.now, 110))
			if diff := cmp.Diff(c.want, ChooseRead(g, c.read, now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a wait that is not bounded, and against the primary being used when a replica is about to catch up.
func TestWaitForReplica(t *testing.T) {
	table := fixture(10, 10)
	table.ObserveStatus(driver.Status{Server: "a", Role: driver.Primary, Term: 2, Last: pos(2, 11)}, at(150), at(150))
	table.ObserveStatus(driver.Status{Server: "a", Role: driver.Primary, Term: 2, Last: pos(2, 12)}, at(170), at(170))
	table.ObserveStatus(driver.Status{Server: "b", Role: driver.Replica, Term: 2, Last: pos(2, 10), Primary: "a"}, at(180), at(180))
	g, _ := table.View().Group("g")
	read := Read{AtLeast: pos(2, 12), Started: at(185), Exclude: []string{"c"}}
	if diff := cmp.Diff(Choice(Wait{Until: at(200), Reason: outcome.ServerBehind}), ChooseRead(g, read, at(185))); diff != "" {
		t.Error(diff)
	}
	if got, ok := ChooseRead(g, read, at(200)).(Serve); !ok || got.Reason != ReplicaExpected {
		t.Errorf("after the expected delay: %+v", got)
	}
	read.Started = at(100)
	if got, ok := ChooseRead(g, read, at(185)).(Serve); !ok || got.Reason != PrimaryReplicaBehind {
		t.Errorf("the wait was used up: %+v", got)
	}
}

// Guards against a write that is sent to a fenced or unreachable primary, and against an endless wait for a new one.
func TestChooseWrite(t *testing.T) {
	table := fixture(10, 10)
	write := func(w Write, ms int) Choice {
		g, _ := table.View().Group("g")
		return ChooseWrite(g, w, at(ms))
	}
	list(table, "a")
	if got, ok := write(Write{}, 110).(Serve); !ok || got.Server != "a" || got.Term != 2 {
		t.Errorf("leaving primary: %+v", got)
	}
	if diff := cmp.Diff(Choice(Refuse{Reason: outcome.ServerUnreachable}), write(Write{}, 2000)); diff != "" {
		t.Error(diff)
	}
	table.ObserveStatus(driver.Status{Server: "a", Role: driver.Fenced, Term: 3, Last: pos(2, 10)}, at(200), at(200))
	if diff := cmp.Diff(Choice(Wait{Until: at(220), Reason: outcome.NoPrimary}), write(Write{PrimaryUntil: at(500)}, 200)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Choice(Refuse{Reason: outcome.NoPrimary}), write(Write{PrimaryUntil: at(500)}, 500)); diff != "" {
		t.Error(diff)
	}
}
