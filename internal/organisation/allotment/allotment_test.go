package allotment

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/session/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// simulation runs one organisation with a home and several token caches in steps of one millisecond.
type simulation struct {
	random       *rand.Rand
	settings     Settings
	caches       int
	loadFactor   float64 // offered requests divided by the rate
	singleCache  bool    // all requests arrive at one cache
	faults       bool
	byPriority   bool // requests are of random classes
	leaseSettled bool // the home has held its lease for a minute, so that its bucket is full
	duration     time.Duration

	// insideRate counts the offered requests that an ideal bucket admits, and refusedInside those of them that are refused.
	offered, insideRate, refusedInside, admitted int
	lowestLevel                                  float64 // lowest level of a bucket of rate r and burst b over all admissions
}

// message is a call on its way to the home, or its answer on the way back; it arrives at the time at.
type message struct {
	cache   int
	call    Call
	grant   Grant
	at      time.Time
	granted bool // the home has answered
}

func (r *simulation) simulate() {
	start := time.Unix(0, 0)
	caches := make([]*TokenCache, r.caches)
	pausedUntil := make([]time.Time, r.caches)
	withinIdeal := make([]map[Ticket]bool, r.caches) // whether an ideal bucket would have admitted the request
	for i := range caches {
		caches[i], withinIdeal[i] = NewTokenCache(Options{ByPriority: r.byPriority}), make(map[Ticket]bool)
	}
	var homes Homes
	var messages []message
	leaseStart, leaseHeldFrom := start, start // nobody holds the lease before leaseHeldFrom
	if r.leaseSettled {
		leaseStart = start.Add(-time.Minute)
	}
	level, idealLevel := r.settings.Burst, r.settings.Burst
	admit := func() {
		r.admitted++
		level--
		r.lowestLevel = min(r.lowestLevel, level)
	}
	for now := start; now.Before(start.Add(r.duration)); now = now.Add(time.Millisecond) {
		level = min(r.settings.Burst, level+r.settings.Rate/1000)
		idealLevel = min(r.settings.Burst, idealLevel+r.settings.Rate/1000)
		if r.faults && r.random.IntN(500) == 0 { // the home restarts, or another instance takes the lease over
			leaseStart = now.Add(time.Duration(r.random.IntN(300)) * time.Millisecond)
			leaseHeldFrom = leaseStart
		}
		kept := messages[:0]
		for _, m := range messages {
			switch {
			case now.Before(m.at):
				kept = append(kept, m)
			case !m.granted:
				// A call that arrives at an instance without the lease is refused.
				m.grant = Grant{NotHome: true}
				if !now.Before(leaseHeldFrom) {
					m.grant = r.grant(&homes, now, leaseStart, m.call)
				}
				m.granted, m.at = true, r.arrival(now)
				kept = append(kept, m)
			case now.Before(pausedUntil[m.cache]):
				kept = append(kept, m)
			case r.faults && r.random.IntN(20) == 0:
				caches[m.cache].CallFailed(now) // the answer is lost and the call times out
			default:
				for _, t := range caches[m.cache].Receive(now, m.call, m.grant, r.settings) {
					delete(withinIdeal[m.cache], t)
					admit()
				}
			}
		}
		messages = kept
		for i, c := range caches {
			if r.faults && r.random.IntN(2000) == 0 {
				pausedUntil[i] = now.Add(time.Duration(r.random.IntN(600)) * time.Millisecond)
			}
			if now.Before(pausedUntil[i]) {
				continue
			}
			for range c.Serve(now) {
				admit()
			}
			for _, refusal := range slices.Concat(c.Displaced(), c.ExpireWaiters(now)) {
				if withinIdeal[i][refusal.Ticket] {
					r.refusedInside++
				}
				delete(withinIdeal[i], refusal.Ticket)
			}
			perStep := r.settings.Rate * r.loadFactor / 1000 / float64(r.caches)
			if r.singleCache {
				perStep = r.settings.Rate * r.loadFactor / 1000
			}
			for p := perStep; (i == 0 || !r.singleCache) && r.random.Float64() < p; p-- {
				r.offered++
				withinIdealNow := idealLevel >= 1
				if withinIdealNow {
					idealLevel--
					r.insideRate++
				}
				ticket, reason := c.RequestClass(now, r.class())
				switch {
				case reason != "" && withinIdealNow:
					r.refusedInside++
				case reason == "" && ticket == 0:
					admit()
				case reason == "":
					withinIdeal[i][ticket] = withinIdealNow
				}
			}
			if call, ok := c.NextCall(now, r.settings); ok {
				messages = append(messages, message{cache: i, call: call, at: r.arrival(now)})
			}
		}
	}
}

// grant answers a call at the home.
func (r *simulation) grant(homes *Homes, now, leaseStart time.Time, c Call) Grant {
	if r.byPriority {
		return homes.GrantByClass(now, leaseStart, "a", r.settings, c.ByClass)
	}
	return homes.Grant(now, leaseStart, "a", r.settings, c.Wanted)
}

// class returns the class of a request.
func (r *simulation) class() Class {
	if r.byPriority {
		return Class(r.random.IntN(Classes))
	}
	return Lowest
}

// arrival returns when a message that is sent now arrives: usually after a delay within a region, sometimes after one
// between regions.
func (r *simulation) arrival(now time.Time) time.Time {
	delay := time.Duration(1+r.random.IntN(3)) * time.Millisecond
	if r.random.IntN(4) == 0 {
		delay += 20 * time.Millisecond
	}
	if r.faults && r.random.IntN(20) == 0 {
		delay += time.Duration(r.random.IntN(400)) * time.Millisecond
	}
	return now.Add(delay)
}

// Guards property P7: no window holds more requests than the burst plus the rate times its length. The faults are
// restarts and changes of the home, pauses of the process, late and lost answers, at up to ten times the rate. A bucket
// of the full rate and burst that never goes below zero shows it for all windows.
func TestRateNeverExceeded(t *testing.T) {
	t.Run("order of arrival", func(t *testing.T) { testRateNeverExceeded(t, false, 200) })
	t.Run("by priority", func(t *testing.T) { testRateNeverExceeded(t, true, 100) })
}

func testRateNeverExceeded(t *testing.T, byPriority bool, seeds uint64) {
	t.Helper()
	admitted := 0
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 5))
		r := simulation{
			byPriority: byPriority,
			random:     random, caches: 1 + random.IntN(15), loadFactor: 10 * random.Float64(), faults: true, duration: 4 * time.Second,
			settings: Settings{Rate: 10 + 990*random.Float64(), Burst: 2 + 400*random.Float64()}, singleCache: seed%2 == 0,
		}
		r.simulate()
		admitted += r.admitted
		if r.lowestLevel < -1e-6 {
			t.Fatalf("seed %d: %d admitted, bucket of %+v down to %.2f", seed, r.admitted, r.settings, r.lowestLevel)
		}
	}
	t.Logf("%d admitted", admitted)
}

// Guards against refusals of requests inside the rate, and against an overloaded organisation that gets less than its rate.
func TestRefusedInsideRate(t *testing.T) {
	for _, c := range []struct {
		name        string
		loadFactor  float64
		singleCache bool
		limit       float64
		settings    Settings
	}{
		{"steady", 0.95, false, 0.001, Settings{Rate: 100, Burst: 200}},
		{"one instance", 0.95, true, 0.01, Settings{Rate: 100, Burst: 200}},
		{"half the rate", 0.5, false, 0.001, Settings{Rate: 20, Burst: 40}},
		{"ten times", 10, false, 1, Settings{Rate: 100, Burst: 200}},
	} {
		insideRate, refusedInside, admitted, seconds := 0, 0, 0, 0.0
		for seed := range uint64(20) {
			r := simulation{
				random: rand.New(rand.NewPCG(seed, 6)), caches: 15, loadFactor: c.loadFactor, singleCache: c.singleCache,
				duration: 20 * time.Second, settings: c.settings, leaseSettled: true,
			}
			r.simulate()
			insideRate, refusedInside, admitted = insideRate+r.insideRate, refusedInside+r.refusedInside, admitted+r.admitted
			seconds += r.duration.Seconds()
		}
		share := float64(refusedInside) / float64(insideRate)
		t.Logf("%s: %d refused of %d inside the rate (%.4f), %.1f/s admitted of %.0f", c.name, refusedInside, insideRate, share,
			float64(admitted)/seconds, c.settings.Rate)
		if share > c.limit || (c.loadFactor > 1 && float64(admitted) < 0.9*c.settings.Rate*seconds) {
			t.Errorf("%s: refused share %.4f, limit %.4f", c.name, share, c.limit)
		}
	}
}

// Guards against the use of an expired token after the process was paused between taking the token and using it: Take
// must check the expiry again and take another token.
func TestTokenNotUsedAfterPause(t *testing.T) {
	var pause, reads, calls atomic.Int64 // the pause begins after the first read of the clock that follows a grant
	taker := grantFunc(func() Grant {
		if calls.Add(1) == 1 {
			pause.Store(int64(20 * time.Second))
		}
		return Grant{Granted: 1}
	})
	now := func() time.Time {
		at := time.Now()
		if pause.Load() > 0 {
			if reads.Add(1) > 1 { // the first read is that of Receive, which takes the token
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

type grantFunc func() Grant

func (f grantFunc) Take(context.Context, string, int, int) (Grant, error) { return f(), nil }

type fakeTaker struct {
	mu          sync.Mutex
	unavailable bool
	homes       Homes
	leaseStart  time.Time
}

func (f *fakeTaker) Take(_ context.Context, organisation string, wanted, _ int) (Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return Grant{}, errors.New("no home")
	}
	return f.homes.Grant(time.Now(), f.leaseStart, organisation, Settings{Rate: 100, Burst: 40}, wanted), nil
}

// Guards against callers that wait without limit, callers that are never woken and refusals with the wrong reason.
func TestLimiter(t *testing.T) {
	f := &fakeTaker{leaseStart: time.Now().Add(-time.Minute)}
	settings := func(string) Settings { return Settings{Rate: 100, Burst: 40} }
	l := NewLimiter(f, settings, Options{HomeWait: 100 * time.Millisecond, MaxWaiting: 60})
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
	f.unavailable = true
	f.mu.Unlock()
	time.Sleep(Validity)
	if r := l.Take(t.Context(), "b"); r != outcome.RateHomeUnavailable {
		t.Errorf("without a home: %q", r)
	}
}
