package slowstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagercross/internal/database/slowstart"
)

const (
	step  = time.Millisecond
	usual = 24 * time.Millisecond
)

// job is a statement at the simulated server.
type job struct {
	sent  time.Duration
	need  time.Duration // time that it takes at a server without contention
	left  time.Duration
	epoch uint64
}

// server is a simulated server whose running statements share its capacity, and the window of its holder. More callers
// than it can serve are waiting at any time.
type server struct {
	random *rand.Rand
	slots  int
	speed  func(now time.Duration) float64 // part of the capacity; 0 while the server is down
	window slowstart.Window
	began  time.Duration // of the slow start
	full   time.Duration // time from the beginning until the full share
	jobs   []job
	down   bool
	served int
	slow   int // took more than twice the usual latency
	idle   time.Duration
}

// advance simulates one step.
func (s *server) advance(now time.Duration) {
	speed := s.speed(now)
	if speed == 0 {
		for _, j := range s.jobs {
			s.window = s.window.WithFailure(j.epoch)
		}
		s.jobs, s.down = nil, true
		return
	}
	if s.down {
		s.down, s.window, s.began, s.full = false, slowstart.Begin(s.slots), now, 0
	}
	limit := s.window.Size()
	if s.window.Ended() {
		limit = s.slots
		if s.full == 0 {
			s.full = now - s.began
		}
	}
	for len(s.jobs) < limit {
		need := time.Duration(float64(usual) * (0.8 + 0.4*s.random.Float64()))
		s.jobs = append(s.jobs, job{sent: now, need: need, left: need, epoch: s.window.Epoch()})
	}
	if len(s.jobs) == 0 {
		s.idle += step
	}
	progress := min(1, speed*float64(s.slots)/float64(len(s.jobs)))
	running := s.jobs[:0]
	for _, j := range s.jobs {
		if j.left -= time.Duration(progress * float64(step)); j.left > 0 {
			running = append(running, j)
			continue
		}
		took := now + step - j.sent
		s.served++
		if took > 2*usual {
			s.slow++
		}
		s.window = s.window.WithAnswer(j.epoch, float64(took)/float64(usual))
	}
	s.jobs = running
}

// run simulates a server from the beginning of a slow start.
func run(seed uint64, slots int, w slowstart.Window, length time.Duration, speed func(time.Duration) float64) *server {
	s := &server{random: rand.New(rand.NewPCG(seed, 6)), slots: slots, speed: speed, window: w}
	for now := time.Duration(0); now < length; now += step {
		s.advance(now)
	}
	return s
}

// check requires that the server was never idle and that few of its statements were slow.
func (s *server) check(t *testing.T, seed uint64) {
	t.Helper()
	if s.idle > 0 {
		t.Errorf("seed %d, %d slots: idle for %v", seed, s.slots, s.idle)
	}
	if s.served == 0 || s.slow*10 > s.served {
		t.Errorf("seed %d, %d slots: %d of %d statements took more than twice the usual latency, want at most 10%%", seed, s.slots, s.slow, s.served)
	}
}

// eachSeed runs a test for several seeds and numbers of slots.
func eachSeed(f func(seed uint64, slots int)) {
	for seed := range uint64(20) {
		for _, slots := range []int{4, 5, 8, 20} {
			f(seed, slots)
		}
	}
}

func fast(time.Duration) float64 { return 1 }

// Guards against a server that is fast at once, such as a promoted replica, and waits for its full share.
func TestFastServerGetsItsShare(t *testing.T) {
	eachSeed(func(seed uint64, slots int) {
		s := run(seed, slots, slowstart.Begin(slots), 3*time.Second, fast)
		s.check(t, seed)
		if s.full == 0 || s.full > 2*time.Second {
			t.Errorf("seed %d, %d slots: full share after %v, want at most 2 s", seed, slots, s.full)
		}
	})
}

// Guards against a server that gets more than it can serve while it is five times slower after its start, and that stays
// below its share when it has become fast.
func TestServerThatIsSlowAfterItsStart(t *testing.T) {
	const slowFor = 6 * time.Second
	eachSeed(func(seed uint64, slots int) {
		s := run(seed, slots, slowstart.Begin(slots), 20*time.Second, func(now time.Duration) float64 {
			if now < slowFor {
				return 0.2
			}
			return 1
		})
		s.check(t, seed)
		if s.full < slowFor || s.full > slowFor+8*time.Second {
			t.Errorf("seed %d, %d slots: full share after %v, want at most 8 s after it is fast", seed, slots, s.full)
		}
		s = run(seed, slots, slowstart.Begin(slots), slowFor, func(time.Duration) float64 { return 0.2 })
		s.check(t, seed)
	})
}

// Guards against a server that is tried with its full share although it never gets fast, and that gets less than it can
// serve.
func TestServerThatStaysSlow(t *testing.T) {
	eachSeed(func(seed uint64, slots int) {
		const length = 30 * time.Second
		s := run(seed, slots, slowstart.Begin(slots), length, func(time.Duration) float64 { return 0.2 })
		s.check(t, seed)
		possible := float64(length) / float64(usual) * float64(slots) * 0.2
		if s.window.Ended() || float64(s.served) < 0.6*possible {
			t.Errorf("seed %d, %d slots: window %d, %d statements served, %.0f are possible", seed, slots, s.window.Size(), s.served, possible)
		}
	})
}

// Guards against a server that goes down and up and gets nothing, or all at once, after each return.
func TestServerThatGoesDownAndUp(t *testing.T) {
	eachSeed(func(seed uint64, slots int) {
		s := run(seed, slots, slowstart.Begin(slots), 19*time.Second, func(now time.Duration) float64 {
			if now/(1400*time.Millisecond)%2 == 1 {
				return 0
			}
			return 1
		})
		s.check(t, seed)
		if s.full == 0 || s.full > 1400*time.Millisecond {
			t.Errorf("seed %d, %d slots: full share %v after the last return", seed, slots, s.full)
		}
	})
}

// Guards against a herd of callers that overloads servers which start together: their speed falls with the total.
func TestServersThatStartTogether(t *testing.T) {
	eachSeed(func(seed uint64, slots int) {
		random := rand.New(rand.NewPCG(seed, 7))
		servers := make([]*server, 3)
		for n := range servers {
			warm := time.Duration(500+random.IntN(1500)) * time.Millisecond
			servers[n] = &server{random: random, slots: slots, window: slowstart.Begin(slots), speed: func(now time.Duration) float64 {
				return min(1, 0.3+0.7*float64(now)/float64(warm))
			}}
		}
		for now := time.Duration(0); now < 10*time.Second; now += step {
			for _, s := range servers {
				s.advance(now)
			}
		}
		for _, s := range servers {
			s.check(t, seed)
			if s.full == 0 {
				t.Errorf("seed %d, %d slots: window %d, not the full share after 10 s", seed, slots, s.window.Size())
			}
		}
	})
}

// Guards against a holder that takes a slow start over and gives the server its full share at once.
func TestHolderChangesHalfWay(t *testing.T) {
	eachSeed(func(seed uint64, slots int) {
		slow := func(time.Duration) float64 { return 0.2 }
		s := run(seed, slots, slowstart.Begin(slots), 3*time.Second, slow)
		s.window = slowstart.TakeOver(slots)
		s.jobs = nil
		for now := 3 * time.Second; now < 12*time.Second; now += step {
			s.advance(now)
		}
		s.check(t, seed)
	})
}

// Guards against a window that is halved once for each of many statements that were sent before the first reduction, or
// that falls below 1, and against a zero value that limits anything.
func TestReductions(t *testing.T) {
	w := slowstart.TakeOver(64)
	epoch := w.Epoch()
	for range 5 {
		w = w.WithFailure(epoch)
	}
	if w.Size() != 8 {
		t.Errorf("window %d after the failures of one epoch, want 8", w.Size())
	}
	for range 9 {
		w = w.WithFailure(w.Epoch())
	}
	if w.Size() != 1 || !(slowstart.Window{}).Ended() {
		t.Errorf("window %d, want 1; zero value ended %t, want true", w.Size(), slowstart.Window{}.Ended())
	}
}

// Guards against statements from before a slow start that count in its window: a failure of one would end the doubling, so
// that 224 answers would be needed instead of 24.
func TestStatementsFromBeforeASlowStart(t *testing.T) {
	earlier := slowstart.Window{}
	for range 2 {
		w := slowstart.Begin(8).After(earlier).WithFailure(earlier.Epoch()).WithAnswer(earlier.Epoch(), 9)
		answers := 0
		for ; !w.Ended(); answers++ {
			w = w.WithAnswer(w.Epoch(), 1)
		}
		if answers != 24 {
			t.Errorf("full share after %d answers at the usual latency, want 24", answers)
		}
		earlier = w
	}
}

// Guards against a usual latency that is that of the slow server itself although others are known.
func TestUsualLatency(t *testing.T) {
	var l slowstart.Latencies
	l.Record("a", slowstart.Read, 50*time.Millisecond)
	if got := l.Usual("a", slowstart.Read); got != 50*time.Millisecond {
		t.Errorf("without others: %v, want its own of 50 ms", got)
	}
	l.Record("b", slowstart.Read, 10*time.Millisecond)
	l.Record("c", slowstart.Read, 20*time.Millisecond)
	if got := l.Usual("a", slowstart.Read); got != 15*time.Millisecond {
		t.Errorf("%v, want 15 ms, the mean of the others", got)
	}
	if got := l.Usual("a", slowstart.Write); got != 0 {
		t.Errorf("writes: %v, want none", got)
	}
}
