package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/session/outcome"
	"tanagercross/internal/tool/ledger"
)

const (
	rate  = 40.0
	burst = 80.0
)

// homeOf returns the instance that should be home of an organisation when all are alive.
func (f *fleet) homeOf(organisation string) int {
	var members []roster.Member
	for i := range f.Instances {
		members = append(members, roster.Member{Name: fmt.Sprintf("i%02d", i+1)})
	}
	first := roster.New(1, members).First(fmt.Sprintf("shard/%d", xxhash.Sum64String(organisation)%256), 1)[0].Name
	for i, m := range members {
		if m.Name == first {
			return i
		}
	}
	return -1
}

// Guards P7: an organisation at ten times its rate that gets more than rate and burst in some window, over all instances
// together and over deaths, cuts and restarts of its home. Counted from what its callers saw.
func TestRateAndBurstOverAllInstances(t *testing.T) {
	f := start(t, 5, 2)
	const hot, calm = "sertao_coop", "agreste_coop"
	base, err := f.Operator(0).Configuration(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	p := proposal(base.Version, 2048)
	p.Document = fmt.Sprintf("defaults:\n  rate_per_second: %.0f\n  burst: %.0f\n", rate, burst)
	if _, err := f.Operator(0).Apply(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond) // batches of the rate before end
	var l ledger.Ledger
	var running sync.WaitGroup
	offer := func(name string, times float64, d time.Duration, urls []string) {
		o := f.load([]string{name}, d, times*rate)
		o.Instances, o.Organisations[0].Sessions, o.WriteShare = urls, int(8*times)+8, 0.02
		running.Go(func() { f.offer(o, &l) })
	}
	const spread = 21 * time.Second
	started := time.Now()
	offer(hot, 10, spread, f.CallerURLs())
	offer(calm, 0.9, spread, f.CallerURLs())
	home := f.homeOf(hot)
	time.Sleep(2 * time.Second)
	f.isolate(home, true) // as a pause does, for longer than the lease; it goes on granting until the lease ends
	time.Sleep(5 * time.Second)
	f.isolate(home, false)
	time.Sleep(2 * time.Second)
	f.kill(home)
	f.restart(home)
	time.Sleep(8 * time.Second)
	for _, i := range []int{(home + 1) % 5, (home + 2) % 5} {
		running.Go(func() { f.shutDown(i, false) })
	}
	running.Wait()
	length := time.Since(started)
	one := f.CallerURLs()[(home+3)%5 : (home+3)%5+1]
	offer(hot, 10, 3*time.Second, one)
	running.Wait()
	rates := []ledger.Rate{{Organisation: hot, PerSecond: rate, Burst: burst}, {Organisation: calm, PerSecond: rate, Burst: burst}}
	report := l.Report(f.contents(), ledger.Parameters{Rates: rates})
	done := map[string]int{}
	for _, e := range l.Entries() {
		if e.Outcome == outcome.Done {
			done[e.Organisation]++
		}
	}
	t.Logf("done %v in %v, over the rate %d", done, length, report.OverRate)
	if report.OverRate > 0 {
		t.Errorf("%d requests over rate and burst in some window", report.OverRate)
	}
	for name, n := range done {
		if least := int(0.5 * rate * spread.Seconds()); n < least {
			t.Errorf("%s: only %d requests done, want %d: the rate was not used", name, n, least)
		}
	}
	if len(done) != 2 {
		t.Error("an organisation had no request done")
	}
}
