package document

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/service/store"
)

// Change is a proposed change of a document.
type Change struct {
	ID      string `json:"id"` // unique; settles lost answers
	Name    string `json:"name"`
	Base    uint64 `json:"base"` // version that the change was made from
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	Content []byte `json:"content"`
	// At is when the change was proposed, by the wall clock of the proposer.
	At time.Time `json:"at,omitzero"`
}

// Confirmation is a member's answer to a proposed change.
type Confirmation struct {
	ChangeID string `json:"change_id"`
	Name     string `json:"name"`
	Version  uint64 `json:"version"` // version that the member holds
	Refusal  string `json:"refusal,omitempty"`
}

// Check examines the content of a proposed change against the document before it.
type Check func(before Document, c Change) error

// Confirm returns the member's answer to a proposal. A nil check accepts any content.
func (s *Set) Confirm(c Change, check Check) Confirmation {
	held := s.Get(c.Name)
	answer := Confirmation{ChangeID: c.ID, Name: c.Name, Version: held.Version}
	if check != nil && held.Version == c.Base {
		if err := check(held, c); err != nil {
			answer.Refusal = err.Error()
		}
	}
	return answer
}

// Encode returns the JSON form.
func (c Change) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode change")
}

// DecodeChange reads the JSON form.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	return c, eris.Wrap(json.Unmarshal(data, &c), "decode change")
}

// Encode returns the JSON form.
func (c Confirmation) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode confirmation")
}

// DecodeConfirmation reads the JSON form.
func DecodeConfirmation(data []byte) (Confirmation, error) {
	var c Confirmation
	return c, eris.Wrap(json.Unmarshal(data, &c), "decode confirmation")
}

// apply returns the document that the change makes from its base.
func (c Change) apply(base Document) Document {
	version := c.Base + 1
	origin := Origin{Version: version, ChangeID: c.ID, Author: c.Author, Reason: c.Reason, At: c.At}
	origins := append([]Origin{origin}, base.Origins...)
	return Document{
		Name: c.Name, Version: version, Content: c.Content, Origins: origins[:min(len(origins), maximumOrigins)],
	}
}

// Next returns the version after a held one, for documents that need no confirmation by members, with its conditional
// write. The version of the origin is filled in.
func Next(held Document, content []byte, o Origin) (Document, CommitAction, error) {
	o.Version = held.Version + 1
	next := Document{Name: held.Name, Version: o.Version, Content: content, Origins: []Origin{o}}
	data, err := next.Encode()
	if err != nil {
		return Document{}, CommitAction{}, err
	}
	return next, CommitAction{
		Conditions: []store.Condition{{Key: Key(next.Name), Version: held.Version}},
		Writes:     []store.Write{{Key: Key(next.Name), Value: data}, {Key: VersionKey(next.Name)}},
	}, nil
}

// commit returns the conditional write of a document. It also requires the roster version that the proposer counts
// majorities in.
func commit(d Document, rosterVersion uint64) (CommitAction, error) {
	data, err := d.Encode()
	if err != nil {
		return CommitAction{}, err
	}
	action := CommitAction{
		Conditions: []store.Condition{{Key: Key(d.Name), Version: d.Version - 1}},
		Writes:     []store.Write{{Key: Key(d.Name), Value: data}, {Key: VersionKey(d.Name)}},
	}
	if d.Name != Roster {
		action.Conditions = append(action.Conditions, store.Condition{Key: Key(Roster), Version: rosterVersion})
	}
	return action, nil
}
