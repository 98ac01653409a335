// Package token holds what a caller's session has seen, in a form that the caller carries.
//
// A Token is immutable. Its With methods return changed copies, and the position of a group and the configuration
// version only move forward, so tokens may be combined in any order. A Signer turns a token into text and back. The
// text is base64url of an HMAC-SHA256 tag followed by the protobuf message. The tag also covers a purpose, so that a
// transaction id is never accepted as a session token or the reverse.
//
// # Usage
//
//	signer, err := token.NewSigner(current, previous) // the first secret signs, all are accepted
//	t, err := signer.Decode(text)
//	t = t.WithPosition("meals-1", driver.Position{Term: 3, Index: 17})
//	text, err = signer.Encode(t)
//
// All errors are *Error. A caller's organisation must be compared with Token.Organisation after decoding; the package
// does not know who presents the token.
package token

import (
	"slices"
	"strings"

	"tanagercross/internal/database/driver"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// GroupPosition is the position that a session has seen in one group.
type GroupPosition struct {
	Group    string
	Position driver.Position
}

// Token is what a session has seen. The zero value is an empty session of no organisation.
type Token struct {
	organisation  string
	session       string
	positions     []GroupPosition // sorted by group; never changed in place
	configuration uint64
}

// New returns an empty token of a session.
func New(organisation, session string) Token {
	return Token{organisation: organisation, session: session}
}

// NewSession returns a new session id, a UUIDv7.
func NewSession() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", &Error{Operation: "new session", Kind: NoEntropy, Err: eris.Wrap(err, "read random bytes")}
	}
	return id.String(), nil
}

// Organisation returns the organisation that the session belongs to.
func (t Token) Organisation() string { return t.organisation }

// Session returns the session id.
func (t Token) Session() string { return t.session }

// Configuration returns the newest configuration version that the session has seen.
func (t Token) Configuration() uint64 { return t.configuration }

// Positions returns a copy of the positions, sorted by group.
func (t Token) Positions() []GroupPosition { return slices.Clone(t.positions) }

// Position returns the position seen in a group, and the zero position if there is none.
func (t Token) Position(group string) driver.Position {
	if i, ok := t.find(group); ok {
		return t.positions[i].Position
	}
	return driver.Position{}
}

// WithPosition returns a token that has seen the position in the group. A position that is not newer changes nothing.
func (t Token) WithPosition(group string, p driver.Position) Token {
	i, ok := t.find(group)
	if p.Compare(t.Position(group)) <= 0 {
		return t
	}
	t.positions = slices.Clone(t.positions)
	if ok {
		t.positions[i].Position = p
		return t
	}
	t.positions = slices.Insert(t.positions, i, GroupPosition{Group: group, Position: p})
	return t
}

// Full reports whether the token has no room for a position of another group.
func (t Token) FullFor(group string) bool {
	_, ok := t.find(group)
	return !ok && len(t.positions) >= MaxGroups
}

// WithConfiguration returns a token that has seen the configuration version. An older version changes nothing.
func (t Token) WithConfiguration(version uint64) Token {
	t.configuration = max(t.configuration, version)
	return t
}

func (t Token) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.positions, group, func(p GroupPosition, g string) int {
		return strings.Compare(p.Group, g)
	})
}

// Transaction is the content of a transaction id: where an interactive transaction lives and whose it is.
type Transaction struct {
	Organisation string
	Session      string
	Group        string
	Server       string
	Holder       string // instance that holds the connection
	LocalID      string // unguessable id at the holder
	Term         uint64 // term of the primary that runs the transaction
}
