// Package document holds the versioned documents of the fleet and the procedure that changes them.
//
// # Usage
//
//	var set document.Set
//	set.Merge(d)                              // never replaces a newer version
//	p := document.NewProcedure(change, params, now)
//	for _, action := range p.Step(document.Tick{}, now) {
//		...                                   // carry it out and feed its result back as an event
//	}
//
// The content of a document is opaque here. The row version of a document in the store is its version, because every
// write of the row is conditional on the version before.
package document

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/service/store"
)

// Names of the documents.
const (
	Roster        = "roster"
	Configuration = "configuration"
	Keys          = "keys"
	Groups        = "groups"
)

// Names returns the names of all documents in order.
func Names() []string { return []string{Configuration, Groups, Keys, Roster} }

// maximumOrigins is the number of changes that a document remembers, so that a lost answer can be settled although
// other changes have followed.
const maximumOrigins = 64

// Origin names the change that made a version.
type Origin struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Reason   string `json:"reason,omitempty"`
	// At is when the change was proposed, by the wall clock of the proposer.
	At time.Time `json:"at,omitzero"`
}

// Document is one version of a document. Version 0 means that there is none yet.
type Document struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Content []byte   `json:"content"`
	Origins []Origin `json:"origins"` // newest first; the first made this version
}

// Version is the version of a document by name.
type Version struct {
	Name    string
	Version uint64
}

// Encode returns the JSON form that is kept in the store and sent to peers.
func (d Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, eris.Wrap(err, "encode document")
}

// Decode reads the JSON form.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, eris.Wrap(err, "decode document")
	}
	if d.Name == "" || d.Version == 0 {
		return Document{}, eris.New("document without name or version")
	}
	return d, nil
}

// FromRow reads a document from its row in the store. An absent row gives version 0.
func FromRow(name string, row store.Row) (Document, error) {
	if row.Version == 0 {
		return Document{Name: name}, nil
	}
	d, err := Decode(row.Value)
	if err != nil {
		return Document{}, err
	}
	if d.Name != name || d.Version != row.Version {
		return Document{}, eris.Errorf("row of %s version %d holds %s version %d", name, row.Version, d.Name, d.Version)
	}
	return d, nil
}

// Key returns the key of a document's row in the store.
func Key(name string) string { return "document/" + name }

// VersionKey returns the key of a row without content that is written together with the document and has the same
// row version. Polling it keeps the store's answers small.
func VersionKey(name string) string { return "version/" + name }

// origin returns the change that made a version, if the document remembers it.
func (d Document) origin(version uint64) (Origin, bool) {
	for _, o := range d.Origins {
		if o.Version == version {
			return o, true
		}
	}
	return Origin{}, false
}

// Set holds the newest known version of each document. The zero value is empty.
type Set struct {
	documents map[string]Document
}

// Merge takes a document over if it is newer than the one held, and reports whether it was.
func (s *Set) Merge(d Document) bool {
	if d.Version <= s.documents[d.Name].Version {
		return false
	}
	if s.documents == nil {
		s.documents = map[string]Document{}
	}
	s.documents[d.Name] = d
	return true
}

// Get returns a document; version 0 if there is none.
func (s *Set) Get(name string) Document {
	d := s.documents[name]
	d.Name = name
	return d
}

// Versions returns the versions held, in name order.
func (s *Set) Versions() []Version {
	versions := make([]Version, 0, len(s.documents))
	for _, n := range slices.Sorted(maps.Keys(s.documents)) {
		versions = append(versions, Version{Name: n, Version: s.documents[n].Version})
	}
	return versions
}

// Covers reports whether no version of the list is newer than the one held.
func (s *Set) Covers(versions []Version) bool {
	return !slices.ContainsFunc(versions, func(v Version) bool { return v.Version > s.documents[v.Name].Version })
}

// NewerThan returns the documents that are newer than in a list of versions, in name order.
func (s *Set) NewerThan(versions []Version) []Document {
	held := map[string]uint64{}
	for _, v := range versions {
		held[v.Name] = v.Version
	}
	var newer []Document
	for _, d := range s.documents {
		if d.Version > held[d.Name] {
			newer = append(newer, d)
		}
	}
	slices.SortFunc(newer, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return newer
}
