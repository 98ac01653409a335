package scenario

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/tool/ledger"
	"tanagercross/internal/tool/load"
)

const (
	loadLimit    = 2 * time.Minute
	contentsWait = 20 * time.Second
	gapBefore    = time.Second
	gapAfter     = 10 * time.Second
)

// loadShape is what a script may choose of a load.
type loadShape struct {
	rate         float64 // of each organisation
	sessions     int     // of each organisation
	writes       float64 // share of the requests
	transactions float64 // share of the writes
}

// traffic is a running or ended load with what its callers saw.
type traffic struct {
	cancel  context.CancelFunc
	stop    chan struct{}
	ended   chan struct{}
	summary load.Summary
	err     error

	ledger        ledger.Ledger
	failure       *ledger.Failure
	organisations []string
}

func (f *fleet) loadOptions(s loadShape) load.Options {
	o := load.Options{
		Groups: []string{groupName}, Duration: loadLimit, WriteShare: s.writes, TransactionShare: s.transactions,
		Seed: uint64(time.Now().UnixNano()),
	}
	for _, name := range f.runningInstances() {
		o.Instances = append(o.Instances, "http://"+f.instances[name].callers)
	}
	for name, k := range f.keys {
		o.Organisations = append(o.Organisations, load.Organisation{Name: name, Key: k, Rate: s.rate, Sessions: s.sessions})
	}
	return o
}

// commandLoad: load start [rate=20] [sessions=6] [writes=0.4] [transactions=0.2] | load stop [cut=0]
//
// Offers requests of every organisation with a key at random ready instances. Stop waits for the requests that run and
// bounds those that got no answer.
func (f *fleet) commandLoad(arguments []string) error {
	arguments, o := splitOptions(arguments)
	if err := expect(arguments, 1, 1, "load start|stop [OPTION...]"); err != nil {
		return err
	}
	if arguments[0] == "stop" {
		mostCut := o.number("cut", -1)
		if err := o.finish(); err != nil {
			return err
		}
		return f.stopLoad(mostCut)
	}
	shape := loadShape{rate: float64(o.number("rate", 20)), sessions: o.number("sessions", 6), writes: 0.4, transactions: 0.2}
	for name, into := range map[string]*float64{"writes": &shape.writes, "transactions": &shape.transactions} {
		if text, ok := o.has(name); ok {
			share, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return eris.Wrap(err, name)
			}
			*into = share
		}
	}
	if err := o.finish(); err != nil {
		return err
	}
	f.startLoad(shape)
	return nil
}

func (f *fleet) startLoad(s loadShape) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel, stop: make(chan struct{}), ended: make(chan struct{})}
	o := f.loadOptions(s)
	o.Stop = t.stop
	for _, organisation := range o.Organisations {
		t.organisations = append(t.organisations, organisation.Name)
	}
	if f.traffic != nil {
		for _, e := range f.traffic.ledger.Entries() {
			f.accounted[e.RequestID] = true
		}
	}
	f.traffic = t
	go func() {
		defer close(t.ended)
		t.summary, t.err = load.Run(ctx, o, &t.ledger)
	}()
}

func (f *fleet) stopLoad(mostCut int) error {
	t := f.traffic
	close(t.stop)
	<-t.ended
	t.cancel()
	if t.err != nil {
		return t.err
	}
	f.logf("load: %+v", t.summary)
	f.logf("attempts by reason: %v", t.reasons())
	if t.summary.Malformed > 0 {
		return eris.Errorf("%d malformed answers", t.summary.Malformed)
	}
	if mostCut >= 0 && t.summary.Cut > int64(mostCut) {
		return eris.Errorf("%d requests were cut, want at most %d", t.summary.Cut, mostCut)
	}
	return nil
}

// reasons counts the attempts that were not done by outcome and reason.
func (t *traffic) reasons() map[string]int {
	counts := map[string]int{}
	for _, e := range t.ledger.Entries() {
		if e.Reason != "" {
			counts[string(e.Outcome)+" "+string(e.Reason)]++
		}
	}
	return counts
}

// commandFailure: failure
//
// Marks the moment of a failure, from which the ledger measures the gap in writes.
func (f *fleet) commandFailure([]string) error {
	f.traffic.failure = &ledger.Failure{Group: groupName, At: time.Now(), Before: gapBefore, After: gapAfter}
	return nil
}

// commandLedger: ledger check lost=0 doubled=0 stale=0 foreign=0 [gap=4s] [not_run=N] [acknowledged=20]
//
// Compares what the callers of the ended load saw with what the primary holds. Writes that were refused and ran, and rows
// that nobody wrote, are never allowed. acknowledged= is the least number of writes, so that a load without effect fails.
func (f *fleet) commandLedger(arguments []string) error {
	arguments, o := splitOptions(arguments)
	if err := expect(arguments, 1, 1, "ledger check [OPTION...]"); err != nil {
		return err
	}
	r, err := f.report()
	if err != nil {
		return err
	}
	f.logf("ledger: %+v", r)
	var faults []string
	most := func(name string, got, want int) {
		if got > want {
			faults = append(faults, name+" "+strconv.Itoa(got))
		}
	}
	most("lost", r.Lost, o.number("lost", 0))
	most("doubled", r.Doubled, o.number("doubled", 0))
	most("stale", r.StaleReads, o.number("stale", 0))
	most("foreign", r.ForeignAnswers, o.number("foreign", 0))
	most("not run but ran", r.NotRunButRan, 0)
	most("unaccounted", r.Unaccounted, 0)
	most("not run", r.NotRun, o.number("not_run", r.NotRun))
	if gap := o.duration("gap", 0); gap > 0 && r.WriteGapMS > float64(gap.Milliseconds()) {
		faults = append(faults, "write gap "+strconv.FormatFloat(r.WriteGapMS, 'f', 0, 64)+" ms")
	}
	if least := o.number("acknowledged", 20); r.Acknowledged < least {
		faults = append(faults, "acknowledged only "+strconv.Itoa(r.Acknowledged))
	}
	if err := o.finish(); err != nil {
		return err
	}
	if len(faults) > 0 {
		return eris.New(strings.Join(faults, ", "))
	}
	return nil
}

// report counts over all organisations of the load.
func (f *fleet) report() (ledger.Report, error) {
	contents, err := f.contents()
	if err != nil {
		return ledger.Report{}, err
	}
	return f.traffic.ledger.Report(contents, ledger.Parameters{Failure: f.traffic.failure}), nil
}

// contents reads the rows of the load from the primary.
func (f *fleet) contents() ([]ledger.Content, error) {
	deadline := time.Now().Add(contentsWait)
	primary, _ := f.primary()
	for ; primary == "" && time.Now().Before(deadline); primary, _ = f.primary() {
		time.Sleep(pollPeriod)
	}
	if primary == "" {
		return nil, eris.New("the group has no primary")
	}
	ctx, cancel := context.WithTimeout(context.Background(), contentsWait)
	defer cancel()
	var contents []ledger.Content
	for _, organisation := range slices.Sorted(slices.Values(f.traffic.organisations)) {
		rows, err := f.rows(ctx, primary, organisation, load.ContentsSQL)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if f.accounted[row[2]] {
				continue
			}
			count, err := strconv.Atoi(row[3])
			if err != nil {
				return nil, eris.Wrap(err, "contents")
			}
			contents = append(contents, ledger.Content{
				Group: groupName, Organisation: organisation, Count: count,
				Tag: ledger.Tag{Organisation: row[0], Session: row[1], RequestID: row[2]},
			})
		}
	}
	return contents, nil
}
