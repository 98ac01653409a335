// Package admission decides at the instance of a caller whether a call is sent to a server at all. A call that would wait for
// longer than its caller does is refused at once, so that it has certainly not run and the caller can go elsewhere.
//
// # Usage
//
//	var d admission.Controller
//	verdict := d.Decide(now, admission.Question{Session: session, Limit: timeout, Reports: reports, Instances: 94}, rand.Float64)
//	if !verdict.Admitted {
//		return statement.Refused(statement.Busy, verdict.Text())
//	}
//
// A call may be refused only if every server that may run it reported a wait past the limit, not longer ago than
// ReportLifetime. The refused fraction grows with the excess, because all instances hold about the same reports: if all
// refused everything at the same wait, the servers would run empty before the next report. Which calls are refused follows
// from their session and changes once in drawPeriod, so that a caller that asks again at once gets the same answer. Servers that this instance has
// not sent a statement to for a while are tried whatever they reported.
//
// The package does no I/O; time and randomness are parameters.
package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagercross/internal/request/placement"
)

const (
	// ReportLifetime is the age up to which a report can contribute to a refusal.
	ReportLifetime = 500 * time.Millisecond
	// excessScale is the excess at which the admitted fraction falls to 1/e. With the fraction exp(-excess/scale) the
	// admitted load changes by 1/scale of the servers' capacity for each unit of wait, however large the overload is, and
	// reports that are 1 s late cause no oscillation.
	excessScale = 1500 * time.Millisecond
	// trialInterval is the longest time in which no call tries a server.
	trialInterval = 100 * time.Millisecond
	// drawPeriod is how long a session is among those that are refused at a fraction, or among the others.
	drawPeriod = time.Second
	// A refusal names a time to retry within these bounds.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retrySpread is the largest random part of the time to retry, so that refused callers do not return together.
	retrySpread = 0.5
)

// Question describes a call for which a decision is wanted.
type Question struct {
	Session   string             // of the caller
	Limit     time.Duration      // longest wait that is of use to the caller
	Reports   []placement.Report // of all servers that may run the call
	Instances int                // that send to these servers
}

// Verdict is the decision about a call with its inputs.
type Verdict struct {
	Admitted   bool
	Trial      string        // server that the call is to try; "" if it may go to any
	RetryAfter time.Duration // of a refusal
	Limit      time.Duration
	Wait       time.Duration // shortest reported wait of the servers
	Age        time.Duration // of the oldest report
	Refused    float64       // fraction of such calls that is refused
	// Reports are those on which a refusal is based.
	Reports []placement.Report
}

// Text returns the text of a refusal.
func (v Verdict) Text() string {
	return fmt.Sprintf("overloaded; retry after %d ms", v.RetryAfter.Milliseconds())
}

// RetryAfter returns the time to retry that the text of a refusal names, or 0 if it names none.
func RetryAfter(text string) time.Duration {
	_, rest, found := strings.Cut(text, "retry after ")
	number, _, ok := strings.Cut(rest, " ms")
	milliseconds, err := strconv.ParseInt(number, 10, 32)
	if !found || !ok || err != nil || milliseconds < 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Controller decides about calls. The zero value is ready. It is safe for concurrent use.
type Controller struct {
	mu     sync.Mutex
	trials map[string]time.Duration // last trial of each server
}

// Decide decides about a call. Random returns numbers from 0 up to, but not including, 1.
func (d *Controller) Decide(now time.Duration, q Question, random func() float64) Verdict {
	v := Verdict{Admitted: true, Limit: q.Limit}
	if len(q.Reports) == 0 {
		return v
	}
	v.Wait = math.MaxInt64
	for _, r := range q.Reports {
		if !r.Known || r.Age > ReportLifetime || r.Wait <= q.Limit {
			v.Wait = min(v.Wait, r.Wait)
			return v
		}
		v.Wait, v.Age = min(v.Wait, r.Wait), max(v.Age, r.Age)
	}
	excess := v.Wait - q.Limit
	v.Refused = 1 - math.Exp(-float64(excess)/float64(excessScale))
	drawn, remaining := draw(now, q.Session)
	if drawn >= v.Refused {
		return v
	}
	if v.Trial = d.claimTrial(now, q); v.Trial != "" {
		return v
	}
	v.Admitted, v.Reports = false, slices.Clone(q.Reports)
	v.RetryAfter = time.Duration(float64(max(minRetryAfter, excess, remaining)) * (1 + retrySpread*random()))
	v.RetryAfter = min(maxRetryAfter, v.RetryAfter).Round(time.Millisecond)
	return v
}

// draw returns the number of a session, from 0 up to, but not including, 1, against which the refused fraction is compared,
// and for how long the session keeps it. The periods of different sessions start at different moments.
func draw(now time.Duration, session string) (number float64, remaining time.Duration) {
	hash := xxhash.Sum64String(session)
	moment := now + time.Duration(hash%uint64(drawPeriod))
	random := rand.NewPCG(hash, uint64(moment/drawPeriod))
	return float64(random.Uint64()>>11) / (1 << 53), drawPeriod - moment%drawPeriod
}

// claimTrial returns a server that no call of this instance has tried for its part of the trial interval, or "". The
// instances share the trials of a server, so that these alone do not fill it. Past ReportLifetime a call is admitted for
// lack of a recent report.
func (d *Controller) claimTrial(now time.Duration, q Question) string {
	interval := min(ReportLifetime, trialInterval*time.Duration(max(1, q.Instances)))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range q.Reports {
		last, tried := d.trials[r.Server]
		if r.Idle < interval || tried && now-last < interval {
			continue
		}
		if d.trials == nil {
			d.trials = map[string]time.Duration{}
		}
		d.trials[r.Server] = now
		return r.Server
	}
	return ""
}

// Retain drops the trials of servers for which keep returns false.
func (d *Controller) Retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.trials {
		if !keep(id) {
			delete(d.trials, id)
		}
	}
}
