package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tanagercross/internal/request/admission"
	"tanagercross/internal/request/placement"
)

const (
	ms        = time.Millisecond
	seeds     = 5
	instances = 94
	limit     = 500 * ms
)

func always(f float64) func() float64 { return func() float64 { return f } }

// Guards against a refusal while a server that may run the call reports room, or has sent no recent report.
func TestNoRefusalWhileThereIsRoom(t *testing.T) {
	full := placement.Report{Server: "a", Wait: 30 * time.Second, Age: 50 * ms, Known: true, Idle: 10 * ms}
	for name, r := range map[string]placement.Report{
		"room":    {Server: "b", Wait: limit, Age: 50 * ms, Known: true, Idle: 10 * ms},
		"old":     {Server: "b", Wait: time.Minute, Age: 501 * ms, Known: true, Idle: 10 * ms},
		"unknown": {Server: "b"},
		"trial":   {Server: "b", Wait: time.Minute, Age: 400 * ms, Known: true, Idle: 101 * ms},
	} {
		var d admission.Controller
		q := admission.Question{Limit: limit, Reports: []placement.Report{full, r}, Instances: 1}
		if v := d.Decide(time.Second, q, always(0)); !v.Admitted {
			t.Errorf("%s: refused: %+v", name, v)
		}
	}
	var d admission.Controller
	q := admission.Question{Limit: limit, Reports: []placement.Report{full}, Instances: 1}
	got := d.Decide(time.Second, q, always(0))
	want := admission.Verdict{RetryAfter: 2 * time.Second, Limit: limit, Wait: full.Wait, Age: full.Age, Refused: got.Refused, Reports: q.Reports}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("every server is full (-want +got):\n%s", diff)
	}
	if want := "overloaded; retry after 2000 ms"; got.Text() != want {
		t.Errorf("text %q, want %q", got.Text(), want)
	}
}

// Guards against a time to retry that is not understood, or that is read from another text.
func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		admission.Verdict{RetryAfter: 350 * ms}.Text(): 350 * ms,
		"rate_exceeded; retry after 500 ms":            500 * ms,
		"queue: queue_timeout":                         0,
		"retry after some ms":                          0,
		"retry after 10":                               0,
		"retry after -5 ms":                            0,
		"":                                             0,
	} {
		if got := admission.RetryAfter(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// Guards against a server that no call tries any more after a report of a long wait, and against trials that let every call
// pass.
func TestTrials(t *testing.T) {
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		var d admission.Controller
		lastTry, gap, admitted := map[string]time.Duration{}, time.Duration(0), 0
		for now := time.Second; now < 6*time.Second; now += ms {
			var q admission.Question
			q.Session, q.Limit, q.Instances = fmt.Sprint(now), limit, 1
			for _, id := range []string{"a", "b", "c"} {
				q.Reports = append(q.Reports, placement.Report{Server: id, Wait: time.Minute, Known: true, Idle: now - max(time.Second, lastTry[id])})
			}
			v := d.Decide(now, q, random.Float64)
			if v.Admitted {
				admitted++
				gap = max(gap, now-max(time.Second, lastTry[v.Trial]))
				lastTry[v.Trial] = now
			}
		}
		if gap > 103*ms || admitted > 160 {
			t.Errorf("seed %d: %d calls admitted in 5 s, longest time without a trial %v", seed, admitted, gap)
		}
	}
}

// fleet is a server that serves perStep calls in each step, and instances that ask for more.
type fleet struct {
	random      *rand.Rand
	controllers [instances]admission.Controller
	lastSent    [instances]time.Duration
	waits       []time.Duration // by step
	queue       float64
}

const (
	step    = 10 * ms
	perStep = 6.0 // 600 calls a second
)

// run plays steps with the sessions that ask in each, of which there may be some that were refused in the step before, and
// a report that is late by a time. It returns the admitted calls of each second and the number of steps in which the server
// had too little to do.
func (f *fleet) run(steps int, late time.Duration, asked func(step int, refused []int) []int) (admitted []float64, idle int) {
	var refused []int
	for n := range steps {
		now := time.Duration(n) * step
		known := n >= int(late/step)
		var wait time.Duration
		if known {
			wait = f.waits[n-int(late/step)]
		}
		if n%100 == 0 {
			admitted = append(admitted, 0)
		}
		calls := asked(n, refused)
		refused = nil
		for _, session := range calls {
			i := session % instances
			r := placement.Report{Server: "a", Wait: wait, Known: known, Idle: now - f.lastSent[i]}
			q := admission.Question{Session: strconv.Itoa(session), Limit: limit, Reports: []placement.Report{r}, Instances: instances}
			if v := f.controllers[i].Decide(now, q, f.random.Float64); !v.Admitted {
				refused = append(refused, session)
				continue
			}
			f.lastSent[i] = now
			f.queue++
			admitted[len(admitted)-1]++
		}
		if f.queue < perStep {
			idle++
		}
		f.queue = max(0, f.queue-perStep)
		f.waits = append(f.waits, time.Duration(f.queue/perStep*float64(step)))
	}
	return admitted, idle
}

// sessions returns a number of new sessions.
func (f *fleet) sessions(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = f.random.Int()
	}
	return list
}

// Guards against instances that all stop and all start again: the server runs empty although more is asked than it serves,
// or its queue grows and shrinks without end.
// Load: 94 instances ask for 1.3 to 4 times what the server serves, for 40 s; each sees the report that is 1 s old.
func TestNoOscillationWithLateReports(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, load := range []float64{1.3, 2, 4} {
			f := fleet{random: rand.New(rand.NewPCG(seed, 1))}
			admitted, idle := f.run(4000, time.Second, func(int, []int) []int { return f.sessions(int(load * perStep)) })
			low, high := admitted[20], admitted[20]
			for _, n := range admitted[20:] {
				low, high = min(low, n), max(high, n)
			}
			shortest, longest := f.waits[2000], f.waits[2000]
			for _, w := range f.waits[2000:] {
				shortest, longest = min(shortest, w), max(longest, w)
			}
			t.Logf("seed %d, load %.1f: %v to %v of 600 admitted a second, wait %v to %v", seed, load, low, high, shortest, longest)
			if low < 0.85*600 || high > 1.15*600 || shortest < limit || idle > 0 {
				t.Errorf("seed %d, load %.1f: the admitted load or the queue oscillates", seed, load)
			}
		}
	}
}

// Guards against refused callers that come back at once and make the server run empty, or fill its queue more and more,
// and are refused for longer than the load lasts.
// Load: 94 instances, twice what the server serves, for 10 s, then half of it; every refused caller comes back within 100 ms.
func TestRefusedCallersComeBackAtOnce(t *testing.T) {
	for seed := range uint64(seeds) {
		f := fleet{random: rand.New(rand.NewPCG(seed, 1))}
		var back [3000 + 10][]int
		asked := func(n int, refused []int) []int {
			for _, session := range refused {
				at := n + f.random.IntN(10)
				back[at] = append(back[at], session)
			}
			if n < 1000 {
				return append(back[n], f.sessions(2*perStep)...)
			}
			return append(back[n], f.sessions(perStep/2)...)
		}
		admitted, _ := f.run(3000, 100*ms, asked)
		longest := slices.Max(f.waits)
		t.Logf("seed %d: admitted by second %v, longest wait %v", seed, admitted, longest)
		for n := 3; n < 10; n++ {
			if admitted[n] < 0.85*600 {
				t.Errorf("seed %d: %v of 600 admitted in second %d", seed, admitted[n], n)
			}
		}
		if longest > 5*time.Second || len(back[2990]) > 0 {
			t.Errorf("seed %d: wait of %v, %d callers still refused at the end", seed, longest, len(back[2990]))
		}
	}
}

// Guards against callers that gain by asking more often than others.
// Load: 5,000 sessions, of which a quarter may pass; each asks once, and each asks five times in 400 ms.
func TestAskingAgainGainsLittle(t *testing.T) {
	var d admission.Controller
	r := placement.Report{Server: "a", Wait: limit + 2080*ms, Known: true}
	once, fiveTimes := 0.0, 0.0
	for session := range 5000 {
		q := admission.Question{Session: strconv.Itoa(session), Limit: limit, Reports: []placement.Report{r}, Instances: instances}
		passed := 0
		for n := range 5 {
			if v := d.Decide(time.Minute+time.Duration(n)*100*ms, q, always(0)); v.Admitted {
				passed |= 1 << n
			}
		}
		if passed&1 > 0 {
			once++
		}
		if passed > 0 {
			fiveTimes++
		}
	}
	t.Logf("admitted: %.3f of those that ask once, %.3f of those that ask five times", once/5000, fiveTimes/5000)
	if once < 1150 || once > 1350 || fiveTimes > 1.4*once {
		t.Errorf("%v of 5000 pass, %v if they ask five times", once, fiveTimes)
	}
}

// A decision takes at most 5 us. A refusal keeps the reports of the servers and allocates nothing else.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 3, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var d admission.Controller
			q := admission.Question{Limit: limit, Instances: instances}
			for i := range n {
				q.Reports = append(q.Reports, placement.Report{Server: fmt.Sprint(i), Wait: time.Minute, Known: true})
			}
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				d.Decide(time.Second, q, random.Float64)
			}
		})
	}
}
