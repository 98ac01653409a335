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

// OrganisationRule describes the allowed names of organisations in error messages. The name selects a schema on the
// database server, so it must not contain characters that need quoting.
const OrganisationRule = "1 to 64 of a-z, 0-9 and _, starting with a letter"

var organisationPattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)

// ValidOrganisation reports whether a name follows OrganisationRule.
func ValidOrganisation(name string) bool { return organisationPattern.MatchString(name) }

// Entry is one key of an organisation, without its text. WithdrawnAt is nil while the key is valid.
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

// document is the JSON form of a Table.
type document struct {
	Keys []Entry `json:"keys"`
}

// ParseTable parses the JSON document that MarshalJSON writes. It fails with kind Malformed, Incomplete or Duplicate.
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

// MarshalJSON encodes the table as {"keys": [...]}, in the order in which the keys were issued.
func (t Table) MarshalJSON() ([]byte, error) {
	d := document{Keys: t.entries}
	if d.Keys == nil {
		d.Keys = []Entry{}
	}
	return json.Marshal(d)
}

// Find returns the entry of a hash. It fails with kind Unknown, or with kind Withdrawn; in that case it returns the entry
// too.
//
// The time that Find takes reveals nothing about stored keys: the index is looked up by the SHA-256 hash, which a caller
// cannot choose to resemble a stored one, and the hashes are compared in constant time.
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

// WithIssued returns a copy of the table with one more key. It fails with kind Incomplete, Malformed or Duplicate.
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

// WithWithdrawn returns a copy of the table in which a key is withdrawn. A key that is already withdrawn keeps its first
// time, author and reason, so that a repeated withdrawal has no effect. It fails with kind Unknown or Incomplete.
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

// Entries returns a copy of all entries in the order in which the keys were issued.
func (t Table) Entries() []Entry { return slices.Clone(t.entries) }

// check reports a missing or malformed field. The error names the operation.
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
