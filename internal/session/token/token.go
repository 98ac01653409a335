// Package token implements session tokens and transaction ids, which callers receive with a reply and send with their
// next request. A session token holds the positions and the configuration version that the session has seen, so that
// any instance can continue the session.
//
// A Token is immutable. Its With methods return changed copies. Positions and the configuration version only move
// forward, so they may be added in any order. A Signer turns a token into text and back. The text is base64url of an
// HMAC-SHA256 code followed by the protobuf message. The code also covers a purpose, so that a transaction id is never
// accepted as a session token or the reverse.
//
// # Usage
//
//	signer, err := token.NewSigner(current, previous) // the first secret signs, all are accepted
//	t, err := signer.Decode(text)
//	t = t.WithPosition("meals-1", driver.Position{Term: 3, Index: 17})
//	text, err = signer.Encode(t)
//
// All errors are *Error. After Decode, Token.Organisation must be compared with the organisation of the caller, because
// this package does not know who sent the token.
package token

import (
	"slices"
	"strings"

	"tanagercross/internal/database/driver"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// GroupPosition is the newest log position of one group that a session has seen.
type GroupPosition struct {
	Group    string
	Position driver.Position
}

// Token is the content of a session token. The zero value has no session and no organisation.
type Token struct {
	organisation  string
	session       string
	positions     []GroupPosition // sorted by group; never changed in place
	configuration uint64
}

// New returns the token of a session that has seen nothing yet.
func New(organisation, session string) Token {
	return Token{organisation: organisation, session: session}
}

// NewSession returns a new session id, which is a UUIDv7. It fails with NoEntropy if there are no random bytes.
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

// Position returns the position that the session has seen in a group, or the zero position.
func (t Token) Position(group string) driver.Position {
	if i, ok := t.find(group); ok {
		return t.positions[i].Position
	}
	return driver.Position{}
}

// WithPosition returns a token with the given position of a group, or t if the session has seen the same or a newer
// position.
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

// FullFor reports whether the token has MaxGroups positions and none of them is of the given group.
func (t Token) FullFor(group string) bool {
	_, ok := t.find(group)
	return !ok && len(t.positions) >= MaxGroups
}

// WithConfiguration returns a token with the given configuration version, or t if the session has seen a newer version.
func (t Token) WithConfiguration(version uint64) Token {
	t.configuration = max(t.configuration, version)
	return t
}

// find returns the index of a group in t.positions, or where to insert it, and whether it is there.
func (t Token) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.positions, group, func(p GroupPosition, g string) int {
		return strings.Compare(p.Group, g)
	})
}

// Transaction is the content of a transaction id: which connection runs an interactive transaction, and which session
// it belongs to.
type Transaction struct {
	Organisation string
	Session      string
	Group        string
	Server       string
	Holder       string // instance that holds the connection
	LocalID      string // id at the holder, which can't be guessed
	Term         uint64 // term of the primary that runs the transaction
}
