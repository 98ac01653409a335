package ledger

import (
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Parameters say what the figures are measured against. Absent parts leave their figures at zero.
type Parameters struct {
	Rates      []Rate
	Failure    *Failure
	Withdrawal *Withdrawal
	Change     *Change
}

// Rate is the rate and burst that an organisation is entitled to.
type Rate struct {
	Organisation string
	PerSecond    float64
	Burst        float64
}

// Failure is the moment at which a group lost its primary, and the time around it in which the write gap is measured.
type Failure struct {
	Group  string
	At     time.Time
	Before time.Duration
	After  time.Duration
}

// Withdrawal is the moment at which the withdrawal of a key was acknowledged.
type Withdrawal struct {
	Key string // as in Entry.Key
	At  time.Time
}

// Change is the moment at which a change of a setting was accepted, with its new value.
type Change struct {
	Value string
	At    time.Time
}

// Report holds the figures.
type Report struct {
	Requests     int `json:"requests"`     // distinct request ids
	Acknowledged int `json:"acknowledged"` // writes
	NotRun       int `json:"not_run"`
	Unknown      int `json:"unknown"`

	Lost           int `json:"lost"`             // acknowledged writes that are absent at the end
	Doubled        int `json:"doubled"`          // writes whose effect is present more than once
	NotRunButRan   int `json:"not_run_but_ran"`  // writes whose last answer was not_run and that are present
	StaleReads     int `json:"stale_reads"`      // session reads that miss an acknowledged earlier write of their session
	ForeignAnswers int `json:"foreign_answers"`  // answers or rows that belong to another request, session or organisation
	Unaccounted    int `json:"unaccounted_rows"` // rows that no recorded request wrote

	ReplicaReadShare       float64 `json:"replica_read_share"` // of the session reads that were done
	WriteGapMS             float64 `json:"write_gap_ms"`
	WorstOrganisation      string  `json:"worst_organisation"`
	WorstOrganisationShare float64 `json:"worst_organisation_share"` // of its fair share; 1 if nothing was offered
	InsideRate             int     `json:"inside_rate"`              // attempts inside the rate
	RefusedInsideRate      int     `json:"refused_inside_rate"`
	OverRate               int     `json:"over_rate"` // requests over rate and burst in the worst window
	KeyWithdrawalMS        float64 `json:"key_withdrawal_ms"`
	ConfigInForceMS        float64 `json:"config_in_force_ms"`
	ConfigReverted         int     `json:"config_reverted"` // instances that showed an old value after the new one
	ConfigMissing          int     `json:"config_missing"`  // instances whose last observation is not the new value
}

// Faults returns the number of violations of correctness.
func (r Report) Faults() int {
	return r.Lost + r.Doubled + r.NotRunButRan + r.StaleReads + r.ForeignAnswers + r.Unaccounted + r.ConfigReverted
}

// Report computes the figures from the entries and the final contents of the databases.
func (l *Ledger) Report(contents []Content, p Parameters) Report {
	entries := l.Entries()
	r := Report{WorstOrganisationShare: 1}
	checkWrites(&r, entries, contents)
	checkReads(&r, entries)
	for _, rate := range p.Rates {
		checkRate(&r, entries, rate)
	}
	if p.Failure != nil {
		r.WriteGapMS = milliseconds(writeGap(entries, *p.Failure))
	}
	if p.Withdrawal != nil {
		r.KeyWithdrawalMS = milliseconds(lastUse(entries, *p.Withdrawal))
	}
	if p.Change != nil {
		checkChange(&r, l.sortedObservations(), *p.Change)
	}
	return r
}

// request is what all attempts of one request came to.
type request struct {
	tag     Tag
	group   string
	kind    Kind
	outcome outcome.Outcome
	last    outcome.Outcome
}

type requestKey struct{ group, id string }

// settle merges the attempts, in the order of their start: done wins over unknown, and unknown over not_run. The last
// answer is kept too: a repetition that is marked as such must not be told not_run if the earlier attempt ran.
func settle(entries []Entry) map[requestKey]request {
	rank := map[outcome.Outcome]int{outcome.NotRunOutcome: 1, outcome.Unknown: 2, outcome.Done: 3}
	settled := map[requestKey]request{}
	for _, e := range entries {
		k := requestKey{e.Group, e.RequestID}
		merged := request{tag: e.Tag(), group: e.Group, kind: e.Kind, outcome: e.Outcome, last: e.Outcome}
		if old, ok := settled[k]; ok && rank[old.outcome] >= rank[e.Outcome] {
			merged.outcome = old.outcome
		}
		settled[k] = merged
	}
	return settled
}

func checkWrites(r *Report, entries []Entry, contents []Content) {
	settled := settle(entries)
	present := map[requestKey]int{}
	for _, c := range contents {
		k := requestKey{c.Group, c.Tag.RequestID}
		present[k] += c.Count
		q, ok := settled[k]
		switch {
		case !ok || q.kind != Write:
			r.Unaccounted += c.Count
		case c.Organisation != q.tag.Organisation || c.Tag != q.tag:
			r.ForeignAnswers++
		}
	}
	r.Requests = len(settled)
	for k, q := range settled {
		switch q.outcome {
		case outcome.NotRunOutcome:
			r.NotRun++
		case outcome.Unknown:
			r.Unknown++
		default:
		}
		if q.kind != Write {
			continue
		}
		n := present[k]
		switch {
		case q.outcome == outcome.Done && n == 0:
			r.Lost++
		case q.last == outcome.NotRunOutcome && q.outcome != outcome.Done && n > 0:
			r.NotRunButRan++
		}
		if n > 1 {
			r.Doubled++
		}
		if q.outcome == outcome.Done {
			r.Acknowledged++
		}
	}
}

type sessionKey struct{ organisation, session, group string }

func checkReads(r *Report, entries []Entry) {
	acknowledged := map[sessionKey][]Entry{}
	for _, e := range entries {
		if e.Kind == Write && e.Outcome == outcome.Done {
			k := sessionKey{e.Organisation, e.Session, e.Group}
			acknowledged[k] = append(acknowledged[k], e)
		}
	}
	reads, replica := 0, 0
	for _, e := range entries {
		if e.Kind != Read || e.Outcome != outcome.Done {
			continue
		}
		if foreign(e) {
			r.ForeignAnswers++
		}
		if e.Aged {
			continue
		}
		reads++
		if e.ServedBy == driver.Replica {
			replica++
		}
		if stale(e, acknowledged[sessionKey{e.Organisation, e.Session, e.Group}]) {
			r.StaleReads++
		}
	}
	if reads > 0 {
		r.ReplicaReadShare = float64(replica) / float64(reads)
	}
}

func foreign(e Entry) bool {
	if e.Echo != e.Tag() {
		return true
	}
	for _, t := range e.Seen {
		if t.Organisation != e.Organisation || t.Session != e.Session {
			return true
		}
	}
	return false
}

func stale(read Entry, writes []Entry) bool {
	seen := make(map[Tag]bool, len(read.Seen))
	for _, t := range read.Seen {
		seen[t] = true
	}
	for _, w := range writes {
		if !w.Ended.After(read.Started) && !seen[w.Tag()] {
			return true
		}
	}
	return false
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
