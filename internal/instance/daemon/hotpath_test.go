package daemon

import (
	"fmt"
	"testing"
	"time"

	"tanagercross/internal/database/pool"
	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/instance/settings"
)

// hotDaemon knows 21 members with 3 lanes each and a configuration with 20 exceptions.
func hotDaemon() *Daemon {
	d := &Daemon{settings: settings.Settings{Name: "i00", Place: "p0"}, pool: pool.New(nil, pool.Options{})}
	d.fleet = newFleet(exchange.Params{Self: "i00"}, "p0", time.Now)
	s := *d.fleet.view()
	var members []roster.Member
	for n := range 21 {
		name := fmt.Sprintf("i%02d", n)
		members = append(members, roster.Member{Name: name, Place: fmt.Sprintf("p%d", n%3), Address: name})
		state := exchange.MemberState{Member: name}
		for l := range 3 {
			state.Lanes = append(state.Lanes, exchange.Lane{Server: fmt.Sprintf("s%d", (3*n+l)%9), Lane: n})
		}
		s.members = append(s.members, state)
		rate := int64(n + 1)
		s.configuration.Exceptions = append(s.configuration.Exceptions, configuration.Exception{
			Organisation: fmt.Sprintf("o%d", n), Override: configuration.Override{RatePerSecond: &rate},
		})
	}
	s.roster = roster.New(1, members)
	s.configurationVersion = 1
	s.derive(&snapshot{}, "i00", "p0", time.Now())
	d.fleet.published.Store(&s)
	return d
}

func BenchmarkValuesOf(b *testing.B) {
	d := hotDaemon()
	for b.Loop() {
		d.valuesOf("o7")
	}
}

func BenchmarkHolders(b *testing.B) {
	d := hotDaemon()
	for b.Loop() {
		d.holders("s4")
	}
}

func BenchmarkHolds(b *testing.B) {
	d := hotDaemon()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			d.pool.HoldsAnyLane("s4")
		}
	})
}

// Guards against values that stay in force after their exception ended, and against holders of lanes that are not listed,
// not alive, this instance itself, or behind those of another place.
func TestDerived(t *testing.T) {
	d := hotDaemon()
	now, rate := time.Now(), int64(7)
	end := now.Add(time.Minute)
	before := *d.fleet.view()
	before.configuration.Exceptions = []configuration.Exception{
		{Organisation: "o1", Override: configuration.Override{RatePerSecond: &rate}, Until: &end},
	}
	before.configurationVersion = 2
	for _, c := range []struct {
		at   time.Time
		want bool
	}{{now, true}, {end.Add(-1), true}, {end, false}} {
		after := before
		after.derive(d.fleet.view(), "i00", "p0", c.at)
		if got := after.values.For("o1").RatePerSecond == rate; got != c.want {
			t.Errorf("%s after the start: exception in force %v", c.at.Sub(now), got)
		}
		later := after // nothing but the time changes
		later.derive(&after, "i00", "p0", end)
		if later.values.For("o1").RatePerSecond == rate {
			t.Error("the exception outlives its end")
		}
	}
	d.liveness.record("i03", false, now)
	d.liveness.record("i03", false, now)
	for range 20 {
		got := d.holders("s0") // held by i00, i03, i06 and so on, all of this place
		for _, m := range got {
			if m.Name == "i00" || m.Name == "i03" || m.Place != "p0" {
				t.Fatalf("holders %v", got)
			}
		}
		if got = d.holders("s4"); len(got) != holdersAsked {
			t.Fatalf("%d holders", len(got))
		}
	}
}
