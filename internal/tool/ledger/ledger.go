// Package ledger counts faults from what callers saw and from what the databases hold at the end. It uses no figure of
// the proxy itself.
//
// # Usage
//
//	var l ledger.Ledger
//	l.Record(ledger.Entry{Organisation: "sertao_coop", Session: "s1", Group: "meals-1", RequestID: id, Kind: ledger.Write,
//		Outcome: outcome.Done, Started: t0, Ended: t1})
//	report := l.Report(contents, ledger.Parameters{Rates: rates})
//	if report.Faults() > 0 {
//		// a requirement was violated
//	}
//
// Every write inserts one row that holds its Tag. A read returns the tags of its session in a group, and first an echo
// of its own tag. A request that is repeated has several entries with one request id.
package ledger

import (
	"slices"
	"sync"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/session/outcome"
)

// Kind says what a request does.
type Kind string

// Kinds of requests.
const (
	Read  Kind = "read"
	Write Kind = "write" // one statement, or a transaction that is committed under the request id
	Step  Kind = "step"  // a request that neither reads tags nor commits: begin, statement, rollback, question
)

// Tag identifies the request that wrote a row.
type Tag struct {
	Organisation string
	Session      string
	RequestID    string
}

// Entry is one attempt of a request as the caller saw it.
type Entry struct {
	Organisation string
	Session      string
	Group        string
	RequestID    string
	Instance     string // entry instance that the caller used
	Key          string // name or hash of the key; never the key
	Kind         Kind
	Outcome      outcome.Outcome
	Reason       outcome.Reason
	Started      time.Time
	Ended        time.Time
	ServedBy     driver.Role // for a read that was done
	Aged         bool        // for a read: data of a stated age was accepted
	Echo         Tag         // for a read that was done: the echo in the answer
	Seen         []Tag       // for a read that was done: the tags in the answer
}

// Tag returns the tag of the entry's request.
func (e Entry) Tag() Tag {
	return Tag{Organisation: e.Organisation, Session: e.Session, RequestID: e.RequestID}
}

// Content is a tag that a database holds at the end.
type Content struct {
	Group        string
	Organisation string // whose schema holds the row
	Tag          Tag
	Count        int // number of rows with the tag
}

// Observation is the value of a setting that a caller observed at an instance.
type Observation struct {
	Instance string
	Value    string
	At       time.Time
}

// Ledger holds entries and observations. It is safe for concurrent use; the zero value is empty.
type Ledger struct {
	mu           sync.Mutex
	entries      []Entry
	observations []Observation
}

// Record adds an entry.
func (l *Ledger) Record(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

// Observe adds an observation.
func (l *Ledger) Observe(o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations = append(l.observations, o)
}

// Entries returns a copy of the entries in the order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.Clone(l.entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Started.Compare(b.Started) })
	return entries
}

func (l *Ledger) sortedObservations() []Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	observations := slices.Clone(l.observations)
	slices.SortStableFunc(observations, func(a, b Observation) int { return a.At.Compare(b.At) })
	return observations
}
