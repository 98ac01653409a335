package key

import (
	"crypto/subtle"
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// OrganisationRule says which names of organisations are allowed. The name selects a schema on the database server, so it
// holds no character that needs quoting.
const OrganisationRule = "1 to 64 of a-z, 0-9 and _, starting with a letter"

var organisationPattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)

// ValidOrganisation reports whether a name follows OrganisationRule.
func ValidOrganisation(name string) bool { return organisationPattern.MatchString(name) }

// Entry is one key of an organisation. WithdrawnAt is nil while the key is in use.
type Entry struct {
	Hash         Hash       `json:"hash"`
	Organisation string     `json:"organisation"`
	IssuedAt     time.Time  `json:"issued_at"`
	IssuedBy     string     `json:"issued_by"`
	WithdrawnAt  *time.Time `json:"withdrawn_at,omitempty"`
	WithdrawnBy  string     `json:"withdrawn_by,omitempty"`
	Reason       string     `json:"reason,omitempty"`
}

// Table holds the keys of all organisations. It is immutable; the zero value is an empty table.
type Table struct {
	entries []Entry
	index   map[Hash]int
}

type document struct {
	Keys []Entry `json:"keys"`
}

// ParseTable reads the JSON document of a table.
func ParseTable(data []byte) (Table, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Table{}, &Error{Operation: "parse table", Kind: Malformed, Err: eris.Wrap(err, "JSON document")}
	}
	t := Table{entries: d.Keys, index: make(map[Hash]int, len(d.Keys))}
	for i, e := range d.Keys {
		if err := e.check("parse table"); err != nil {
			return Table{}, err
		}
		if _, ok := t.index[e.Hash]; ok {
			return Table{}, &Error{Operation: "parse table", Kind: Duplicate, Err: eris.Errorf("hash %s occurs twice", e.Hash)}
		}
		t.index[e.Hash] = i
	}
	return t, nil
}

// MarshalJSON writes the table as a JSON document {"keys": [...]} in the order of issue.
func (t Table) MarshalJSON() ([]byte, error) {
	d := document{Keys: t.entries}
	if d.Keys == nil {
		d.Keys = []Entry{}
	}
	return json.Marshal(d)
}

// Find returns the entry of a hash. It fails with kind Unknown, or with kind Withdrawn and the entry.
//
// The index is looked up by the SHA-256 hash, which a caller cannot steer towards a stored one, and the result is
// compared in constant time; the time taken says nothing about a stored key.
func (t Table) Find(h Hash) (Entry, error) {
	i, ok := t.index[h]
	if !ok || subtle.ConstantTimeCompare(t.entries[i].Hash[:], h[:]) != 1 {
		return Entry{}, &Error{Operation: "find", Kind: Unknown, Err: eris.New("no organisation has this key")}
	}
	e := t.entries[i]
	if e.WithdrawnAt != nil {
		return e, &Error{Operation: "find", Kind: Withdrawn, Err: eris.Errorf("the key of %s was withdrawn", e.Organisation)}
	}
	return e, nil
}

// WithIssued returns a copy of the table with one more key.
func (t Table) WithIssued(e Entry) (Table, error) {
	if err := e.check("issue"); err != nil {
		return t, err
	}
	if _, ok := t.index[e.Hash]; ok {
		return t, &Error{Operation: "issue", Kind: Duplicate, Err: eris.Errorf("hash %s is in the table", e.Hash)}
	}
	next := Table{entries: append(slices.Clone(t.entries), e), index: maps.Clone(t.index)}
	if next.index == nil {
		next.index = map[Hash]int{}
	}
	next.index[e.Hash] = len(next.entries) - 1
	return next, nil
}

// WithWithdrawn returns a copy of the table in which a key is withdrawn. A key that was withdrawn before keeps its
// first time, author and reason, so that a repeated withdrawal has no effect.
func (t Table) WithWithdrawn(h Hash, at time.Time, by, reason string) (Table, error) {
	i, ok := t.index[h]
	if !ok {
		return t, &Error{Operation: "withdraw", Kind: Unknown, Err: eris.Errorf("hash %s is not in the table", h)}
	}
	if by == "" || reason == "" {
		return t, &Error{Operation: "withdraw", Kind: Incomplete, Err: eris.New("an author and a reason are required")}
	}
	if t.entries[i].WithdrawnAt != nil {
		return t, nil
	}
	next := Table{entries: slices.Clone(t.entries), index: t.index}
	next.entries[i].WithdrawnAt = &at
	next.entries[i].WithdrawnBy = by
	next.entries[i].Reason = reason
	return next, nil
}

// Entries returns a copy of all entries in the order of issue.
func (t Table) Entries() []Entry { return slices.Clone(t.entries) }

func (e Entry) check(operation string) error {
	switch {
	case e.Hash.IsZero():
		return &Error{Operation: operation, Kind: Incomplete, Err: eris.New("hash is required")}
	case e.Organisation == "":
		return &Error{Operation: operation, Kind: Incomplete, Err: eris.New("organisation is required")}
	case !ValidOrganisation(e.Organisation):
		return &Error{Operation: operation, Kind: Malformed, Err: eris.Errorf("organisation %q; allowed: %s", Redact(e.Organisation), OrganisationRule)}
	case e.IssuedAt.IsZero() || e.IssuedBy == "":
		return &Error{Operation: operation, Kind: Incomplete, Err: eris.New("issued_at and issued_by are required")}
	}
	return nil
}
