package allotment

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/session/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run is a simulation of one organisation in steps of one millisecond.
type run struct {
	random   *rand.Rand
	settings Settings
	entries  int
	load     float64 // offered requests as a share of the rate
	single   bool    // all traffic at one entry
	faults   bool
	settled  bool // the home has held its lease for a minute
	length   time.Duration

	offered, inside, refused, admitted int
	worst                              float64 // lowest level of a bucket of rate r and burst b over all admissions
}

type message struct {
	entry   int
	call    Call
	grant   Grant
	at      time.Time
	reached bool // the home has answered
}

func (r *run) simulate() {
	start := time.Unix(0, 0)
	entries := make([]*Entry, r.entries)
	paused := make([]time.Time, r.entries)
	asked := make([]map[Ticket]bool, r.entries) // whether an ideal bucket would have admitted the request
	for i := range entries {
		entries[i], asked[i] = NewEntry(Options{}), make(map[Ticket]bool)
	}
	var homes Homes
	var messages []message
	since, held := start, start // the lease began at since; nobody holds it before held
	if r.settled {
		since = start.Add(-time.Minute)
	}
	level, ideal := r.settings.Burst, r.settings.Burst
	admit := func() {
		r.admitted++
		level--
		r.worst = min(r.worst, level)
	}
	for now := start; now.Before(start.Add(r.length)); now = now.Add(time.Millisecond) {
		level = min(r.settings.Burst, level+r.settings.Rate/1000)
		ideal = min(r.settings.Burst, ideal+r.settings.Rate/1000)
		if r.faults && r.random.IntN(500) == 0 { // the home restarts, or another instance takes the lease over
			since = now.Add(time.Duration(r.random.IntN(300)) * time.Millisecond)
			held = since
		}
		kept := messages[:0]
		for _, m := range messages {
			switch {
			case now.Before(m.at):
				kept = append(kept, m)
			case !m.reached:
				// A call that arrives at an instance without the lease is refused.
				m.grant = Grant{NotHome: true}
				if !now.Before(held) {
					m.grant = homes.Grant(now, since, "a", r.settings, m.call.Wanted)
				}
				m.reached, m.at = true, r.arrival(now)
				kept = append(kept, m)
			case now.Before(paused[m.entry]):
				kept = append(kept, m)
			case r.faults && r.random.IntN(20) == 0:
				entries[m.entry].Fail(now) // the answer is lost and the call times out
			default:
				for _, t := range entries[m.entry].Receive(now, m.call, m.grant, r.settings) {
					delete(asked[m.entry], t)
					admit()
				}
			}
		}
		messages = kept
		for i, e := range entries {
			if r.faults && r.random.IntN(2000) == 0 {
				paused[i] = now.Add(time.Duration(r.random.IntN(600)) * time.Millisecond)
			}
			if now.Before(paused[i]) {
				continue
			}
			for _, refusal := range e.Expire(now) {
				if asked[i][refusal.Ticket] {
					r.refused++
				}
				delete(asked[i], refusal.Ticket)
			}
			share := r.settings.Rate * r.load / 1000 / float64(r.entries)
			if r.single {
				share = r.settings.Rate * r.load / 1000
			}
			for p := share; (i == 0 || !r.single) && r.random.Float64() < p; p-- {
				r.offered++
				fits := ideal >= 1
				if fits {
					ideal--
					r.inside++
				}
				ticket, reason := e.Ask(now)
				switch {
				case reason != "" && fits:
					r.refused++
				case reason == "" && ticket == 0:
					admit()
				case reason == "":
					asked[i][ticket] = fits
				}
			}
			if call, ok := e.Next(now, r.settings); ok {
				messages = append(messages, message{entry: i, call: call, at: r.arrival(now)})
			}
		}
	}
}

// arrival draws a one-way delay: mostly within a region, sometimes between regions.
func (r *run) arrival(now time.Time) time.Time {
	delay := time.Duration(1+r.random.IntN(3)) * time.Millisecond
	if r.random.IntN(4) == 0 {
		delay += 20 * time.Millisecond
	}
	if r.faults && r.random.IntN(20) == 0 {
		delay += time.Duration(r.random.IntN(400)) * time.Millisecond
	}
	return now.Add(delay)
}

// Guards P7: over restarts and changes of the home, pauses, late and lost answers, and up to ten times the rate, no
// window holds more than the burst plus the rate. A bucket that never goes below zero proves it for all windows.
func TestRateNeverExceeded(t *testing.T) {
	admitted := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		r := run{
			random: random, entries: 1 + random.IntN(15), load: 10 * random.Float64(), faults: true, length: 4 * time.Second,
			settings: Settings{Rate: 10 + 990*random.Float64(), Burst: 2 + 400*random.Float64()}, single: seed%2 == 0,
		}
		r.simulate()
		admitted += r.admitted
		if r.worst < -1e-6 {
			t.Fatalf("seed %d: %d admitted, bucket of %+v down to %.2f", seed, r.admitted, r.settings, r.worst)
		}
	}
	t.Logf("%d admitted", admitted)
}

// Guards against refusals inside the rate, and against an overloaded organisation that gets less than its rate.
func TestRefusedInsideRate(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     float64
		single   bool
		limit    float64
		settings Settings
	}{
		{"steady", 0.95, false, 0.001, Settings{Rate: 100, Burst: 200}},
		{"one instance", 0.95, true, 0.01, Settings{Rate: 100, Burst: 200}},
		{"half the rate", 0.5, false, 0.001, Settings{Rate: 20, Burst: 40}},
		{"ten times", 10, false, 1, Settings{Rate: 100, Burst: 200}},
	} {
		inside, refused, admitted, seconds := 0, 0, 0, 0.0
		for seed := range uint64(20) {
			r := run{
				random: rand.New(rand.NewPCG(seed, 6)), entries: 15, load: c.load, single: c.single,
				length: 20 * time.Second, settings: c.settings, settled: true,
			}
			r.simulate()
			inside, refused, admitted = inside+r.inside, refused+r.refused, admitted+r.admitted
			seconds += r.length.Seconds()
		}
		share := float64(refused) / float64(inside)
		t.Logf("%s: %d refused of %d inside the rate (%.4f), %.1f/s admitted of %.0f", c.name, refused, inside, share,
			float64(admitted)/seconds, c.settings.Rate)
		if share > c.limit || (c.load > 1 && float64(admitted) < 0.9*c.settings.Rate*seconds) {
			t.Errorf("%s: refused share %.4f, limit %.4f", c.name, share, c.limit)
		}
	}
}

// Guards against a token that is used after the validity of its batch because the process was paused between the take
// and its use: the moment of use is checked again, and another token is taken.
func TestTokenNotUsedAfterPause(t *testing.T) {
	var pause, reads, calls atomic.Int64 // pause starts with the first call of the clock after a grant
	taker := takerFunc(func() Grant {
		if calls.Add(1) == 1 {
			pause.Store(int64(20 * time.Second))
		}
		return Grant{Granted: 1}
	})
	now := func() time.Time {
		at := time.Now()
		if pause.Load() > 0 {
			if reads.Add(1) > 1 { // the first read is the take itself
				at = at.Add(time.Duration(pause.Load()))
			}
		}
		return at
	}
	l := NewLimiter(taker, func(string) Settings { return Settings{Rate: 1, Burst: 40} }, Options{Now: now})
	if r := l.Take(t.Context(), "a"); r != "" || calls.Load() != 2 {
		t.Errorf("reason %q after %d grants; the token of the first was used after the pause", r, calls.Load())
	}
}

type takerFunc func() Grant

func (f takerFunc) Take(context.Context, string, int, int) (Grant, error) { return f(), nil }

type fakeTaker struct {
	mu   sync.Mutex
	down bool
	home Homes
	from time.Time
}

func (f *fakeTaker) Take(_ context.Context, organisation string, wanted, _ int) (Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Grant{}, errors.New("no home")
	}
	return f.home.Grant(time.Now(), f.from, organisation, Settings{Rate: 100, Burst: 40}, wanted), nil
}

// Guards against callers that wait without bound, a lost wake-up and a refusal with the wrong reason.
func TestLimiter(t *testing.T) {
	f := &fakeTaker{from: time.Now().Add(-time.Minute)}
	settings := func(string) Settings { return Settings{Rate: 100, Burst: 40} }
	l := NewLimiter(f, settings, Options{HomeWait: 100 * time.Millisecond, Waiting: 60})
	var mu sync.Mutex
	counts := make(map[outcome.Reason]int)
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			reason := l.Take(t.Context(), "a")
			mu.Lock()
			counts[reason]++
			mu.Unlock()
		})
	}
	group.Wait()
	if counts[""] < 20 || counts[""] > 40+30 || counts[""]+counts[outcome.RateExceeded] != 200 {
		t.Errorf("counts %v", counts)
	}
	f.mu.Lock()
	f.down = true
	f.mu.Unlock()
	time.Sleep(Validity)
	if r := l.Take(t.Context(), "b"); r != outcome.RateHomeUnavailable {
		t.Errorf("without a home: %q", r)
	}
}
