package evacuation_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/fleet/evacuation"
)

// row returns an evacuation that is in force.
func row(place string, generation, version uint64) evacuation.Row {
	return evacuation.Row{Place: place, Generation: generation, Version: version}
}

// whole returns a read of the whole table.
func whole(generation, version uint64, rows ...evacuation.Row) evacuation.Reading {
	return evacuation.Reading{Generation: generation, Version: version, Whole: true, Rows: rows}
}

// changes returns a page of changes.
func changes(generation, version uint64, rows ...evacuation.Row) evacuation.Reading {
	return evacuation.Reading{Generation: generation, Version: version, Rows: rows}
}

// removed returns the row of a page of changes that stands for a removal.
func removed(place string, generation, version uint64) evacuation.Row {
	return evacuation.Row{Place: place, Generation: generation, Version: version, Ended: true}
}

// Guards against an evacuation that is forgotten or comes back wrongly, in the order in which a store, its older copy and
// the operator can bring about.
func TestReadings(t *testing.T) {
	for name, c := range map[string]struct {
		readings []evacuation.Reading
		want     []string
	}{
		"written":                       {[]evacuation.Reading{whole(0, 10), changes(0, 12, row("x", 0, 12))}, []string{"x"}},
		"removed by a change":           {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), changes(0, 12, removed("x", 0, 12))}, nil},
		"removed before a whole read":   {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), whole(0, 12)}, nil},
		"older read":                    {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), whole(0, 8)}, []string{"x"}},
		"older read with a row":         {[]evacuation.Reading{whole(0, 10), whole(0, 8, row("x", 0, 7))}, nil},
		"read of an earlier generation": {[]evacuation.Reading{whole(1, 5), whole(0, 100, row("x", 0, 90))}, nil},
		"copy without an ended one, written at its version": {
			[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(0, 12), whole(1, 4), changes(1, 5, row("x", 1, 5)), whole(1, 6, row("x", 1, 5))},
			[]string{"x"},
		},
		"two copies with it":                {[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(1, 7, row("x", 1, 5)), whole(2, 6, row("x", 2, 5))}, []string{"x"}},
		"changes of another place":          {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), changes(0, 12, row("y", 0, 12))}, []string{"x", "y"}},
		"copy without it":                   {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), whole(1, 7), whole(1, 12)}, []string{"x"}},
		"copy without it, removed":          {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), whole(1, 7), changes(1, 8, removed("x", 1, 8))}, nil},
		"copy without it, written, removed": {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), whole(1, 7, row("x", 1, 6)), whole(1, 9)}, nil},
		"copy with it":                      {[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(1, 7, row("x", 1, 5))}, []string{"x"}},
		"copy with it, removed":             {[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(1, 7, row("x", 1, 5)), whole(1, 9)}, nil},
		"copy with an ended one": {
			[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(0, 12), whole(1, 7, row("x", 1, 5)), whole(1, 9, row("x", 1, 5))}, nil,
		},
		"copy with an ended one, written again": {
			[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(0, 12), whole(1, 7, row("x", 1, 5)), changes(1, 9, row("x", 1, 9))},
			[]string{"x"},
		},
		"copy with the one before": {
			[]evacuation.Reading{whole(0, 10, row("x", 0, 5)), whole(0, 12), whole(0, 14, row("x", 0, 13)), whole(1, 7, row("x", 1, 5))},
			[]string{"x"},
		},
		"written over": {[]evacuation.Reading{whole(0, 10, row("x", 0, 9)), changes(0, 12, row("x", 0, 12)), changes(0, 13, removed("x", 0, 13))}, nil},
	} {
		var s evacuation.Set
		for _, r := range c.readings {
			s = s.WithReading(r)
		}
		if diff := cmp.Diff(c.want, s.Places()); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", name, diff)
		}
	}
}

// Guards against an instance that was cut off and brings an ended evacuation back, or that keeps one.
func TestCutOffInstanceLearnsOfTheEnd(t *testing.T) {
	stale := evacuation.Set{}.WithReading(whole(0, 10, row("x", 0, 9)))
	for name, reader := range map[string]evacuation.Set{
		"that saw it":         stale.WithReading(whole(0, 20)),
		"that never saw it":   evacuation.Set{}.WithReading(whole(0, 20)),
		"in a new generation": stale.WithReading(whole(0, 20)).WithReading(whole(1, 8)),
	} {
		reader = reader.Merge(stale.Rows())
		if reader.Contains("x") {
			t.Errorf("reader %s: evacuated again", name)
		}
		if after := stale.Merge(reader.Rows()); after.Contains("x") {
			t.Errorf("reader %s: still evacuated at the instance that was cut off", name)
		}
	}
}

// Guards against an instance that hears of a row from another one before it reads the store's new generation itself, and takes
// the row for one of the copy.
func TestRowOfANewGenerationIsHeardOfFirst(t *testing.T) {
	s := evacuation.Set{}.WithReading(whole(0, 10, row("x", 0, 5))).WithReading(whole(0, 12))
	s = s.Merge([]evacuation.Row{row("x", 1, 5)}).WithReading(whole(1, 7, row("x", 1, 5)))
	if !s.Contains("x") {
		t.Error("the evacuation has ended")
	}
}

// Guards against instances that disagree for ever: readers at different times and instances that only hear from others
// agree with the table once all have exchanged their rows. The table and the exchanges are drawn from seeds.
func TestInstancesAgree(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		sets := make([]evacuation.Set, 5)
		table := map[string]uint64{}
		version, places := uint64(1), []string{"x", "y", "z"}
		read := func(n int) {
			reading := whole(0, version)
			for place, v := range table {
				reading.Rows = append(reading.Rows, row(place, 0, v))
			}
			sets[n] = sets[n].WithReading(reading)
		}
		for range 60 {
			version++
			switch place := places[r.IntN(len(places))]; r.IntN(4) {
			case 0:
				table[place] = version
			case 1:
				delete(table, place)
			case 2:
				read(r.IntN(2))
			default:
				n, m := r.IntN(len(sets)), r.IntN(len(sets))
				sets[n] = sets[n].Merge(sets[m].Rows())
			}
		}
		read(0)
		for range 2 {
			for n := range sets {
				sets[n], sets[0] = sets[n].Merge(sets[0].Rows()), sets[0].Merge(sets[n].Rows())
			}
		}
		var want []string
		for _, place := range places {
			if table[place] > 0 {
				want = append(want, place)
			}
		}
		for n, s := range sets {
			if !slices.Equal(s.Places(), want) {
				t.Errorf("seed %d: instance %d has %v, the table %v", seed, n, s.Places(), want)
			}
		}
	}
}

// Guards against messages between instances that grow with each evacuation that has ended.
func TestEndedEvacuationsAreBounded(t *testing.T) {
	var s evacuation.Set
	for v := range uint64(100) {
		s = s.WithReading(whole(0, 3*v+1, row("x", 0, 3*v+1))).WithReading(whole(0, 3*v+2))
	}
	if n := len(s.Rows()); n > 32 {
		t.Errorf("%d rows, want at most 32", n)
	}
	s = s.WithReading(whole(0, 1000, row("y", 0, 999)))
	if !slices.Equal(s.Places(), []string{"y"}) {
		t.Errorf("evacuated %v, want y", s.Places())
	}
}

// Guards against a transaction that goes on after the timeout of the row because the instance learnt of it late, and against
// one that is cut off at once.
func TestTransactionsEnd(t *testing.T) {
	const learnt = 100 * time.Second
	for _, c := range []struct{ confirmedBefore, timeout, want time.Duration }{
		{time.Second, 0, 3 * time.Second},
		{1300 * time.Millisecond, 5 * time.Second, 3 * time.Second},
		{2100 * time.Millisecond, 5 * time.Second, 2200 * time.Millisecond},
		{2700 * time.Millisecond, 5 * time.Second, 1600 * time.Millisecond},
		{3500 * time.Millisecond, 5 * time.Second, time.Second},
		{20 * time.Second, 5 * time.Second, time.Second},
		{learnt, 5 * time.Second, 3 * time.Second},
		{100 * time.Millisecond, time.Second, 600 * time.Millisecond},
	} {
		if got := evacuation.TransactionsEnd(learnt, learnt-c.confirmedBefore, c.timeout) - learnt; got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against an evacuation that comes back at an instance without the store, which knows a later one of the place, from
// another instance that was cut off and has not learnt of its end.
func TestMergeOfAReplacedRow(t *testing.T) {
	ended, old, other := row("a", 0, 5), row("a", 0, 3), row("a", 1, 2)
	ended.Ended = true
	for name, order := range map[string][]evacuation.Row{"later first": {ended, old}, "earlier first": {old, ended}} {
		s := evacuation.Set{}
		for _, r := range order {
			s = s.Merge([]evacuation.Row{r})
		}
		if s.Contains("a") {
			t.Errorf("%s: evacuated, want not", name)
		}
	}
	if s := (evacuation.Set{}).Merge([]evacuation.Row{other, old}); len(s.Rows()) != 2 || s.Rows()[0].Ended || s.Rows()[1].Ended {
		t.Errorf("%+v, want both of different generations active", s.Rows())
	}
}
