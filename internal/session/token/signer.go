package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"tanagercross/internal/database/driver"
	tokenv1 "tanagercross/internal/genproto/token/v1"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Limits of tokens and secrets. Tokens over a limit are refused when they are encoded and when they are decoded, so no
// caller receives a token that is refused later.
const (
	MaxEncodedBytes = 4 << 10 // length of the text
	MaxGroups       = 64      // positions in a session token
	MinSecretBytes  = 16
)

// purpose is a prefix of the signed bytes. It keeps a token of one kind from being accepted as the other kind.
type purpose string

const (
	sessionPurpose     purpose = "tanagercross.session.v1\x00"
	transactionPurpose purpose = "tanagercross.transaction.v1\x00"
)

var (
	encoding  = base64.RawURLEncoding.Strict()
	marshaler = proto.MarshalOptions{Deterministic: true}
)

// Signer encodes and verifies tokens with one or more shared secrets. It is immutable and safe for concurrent use.
type Signer struct {
	secrets [][]byte
}

// NewSigner returns a signer that signs with the first secret and accepts all of them. To rotate a secret, add the new
// one at the end on all instances, then move it to the front on all, then remove the old one. It fails with NoSecret if
// there is no secret or one is too short.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, &Error{Operation: "new signer", Kind: NoSecret}
	}
	s := &Signer{}
	for _, secret := range secrets {
		if len(secret) < MinSecretBytes {
			return nil, &Error{Operation: "new signer", Kind: NoSecret, Err: eris.Errorf("secret below %d bytes", MinSecretBytes)}
		}
		s.secrets = append(s.secrets, slices.Clone(secret))
	}
	return s, nil
}

// Encode returns the signed text of a session token.
func (s *Signer) Encode(t Token) (string, error) {
	if len(t.positions) > MaxGroups {
		return "", &Error{Operation: "encode", Kind: TooManyGroups}
	}
	m := &tokenv1.SessionToken{Organisation: t.organisation, Session: t.session, ConfigurationVersion: t.configuration}
	for _, p := range t.positions {
		m.Positions = append(m.Positions, &tokenv1.GroupPosition{Group: p.Group, Term: p.Position.Term, Index: p.Position.Index})
	}
	return s.sign("encode", sessionPurpose, m)
}

// Decode verifies the signed text of a session token and returns the token.
func (s *Signer) Decode(text string) (Token, error) {
	var m tokenv1.SessionToken
	if err := s.verify("decode", sessionPurpose, text, &m); err != nil {
		return Token{}, err
	}
	if len(m.GetPositions()) > MaxGroups {
		return Token{}, &Error{Operation: "decode", Kind: TooManyGroups}
	}
	t := New(m.GetOrganisation(), m.GetSession()).WithConfiguration(m.GetConfigurationVersion())
	for _, p := range m.GetPositions() {
		t = t.WithPosition(p.GetGroup(), driver.Position{Term: p.GetTerm(), Index: p.GetIndex()})
	}
	return t, nil
}

// EncodeTransaction returns a transaction id, which is the signed text of t.
func (s *Signer) EncodeTransaction(t Transaction) (string, error) {
	return s.sign("encode transaction", transactionPurpose, &tokenv1.TransactionToken{
		Organisation: t.Organisation, Session: t.Session, Group: t.Group, Server: t.Server,
		Holder: t.Holder, LocalId: t.LocalID, Term: t.Term,
	})
}

// DecodeTransaction verifies a transaction id and returns its content.
func (s *Signer) DecodeTransaction(text string) (Transaction, error) {
	var m tokenv1.TransactionToken
	if err := s.verify("decode transaction", transactionPurpose, text, &m); err != nil {
		return Transaction{}, err
	}
	return Transaction{
		Organisation: m.GetOrganisation(), Session: m.GetSession(), Group: m.GetGroup(), Server: m.GetServer(),
		Holder: m.GetHolder(), LocalID: m.GetLocalId(), Term: m.GetTerm(),
	}, nil
}

// sign encodes a message as base64url of its MAC and its protobuf form. The operation is named in errors.
func (s *Signer) sign(operation string, p purpose, m proto.Message) (string, error) {
	if s == nil || len(s.secrets) == 0 {
		return "", &Error{Operation: operation, Kind: NoSecret}
	}
	payload, err := marshaler.Marshal(m)
	if err != nil {
		return "", &Error{Operation: operation, Kind: Malformed, Err: eris.Wrap(err, "marshal")}
	}
	if encoding.EncodedLen(sha256.Size+len(payload)) > MaxEncodedBytes {
		return "", &Error{Operation: operation, Kind: TooLarge}
	}
	return encoding.EncodeToString(append(computeMAC(s.secrets[0], p, payload), payload...)), nil
}

// verify decodes a text made by sign into m, if its MAC is valid for the purpose with one of the secrets.
func (s *Signer) verify(operation string, p purpose, text string, m proto.Message) error {
	if len(text) > MaxEncodedBytes {
		return &Error{Operation: operation, Kind: TooLarge}
	}
	if strings.ContainsAny(text, "\r\n") { // encoding/base64 ignores line breaks, so several texts would decode to one token
		return &Error{Operation: operation, Kind: Malformed}
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return &Error{Operation: operation, Kind: Malformed, Err: eris.Wrap(err, "base64url")}
	}
	if len(raw) < sha256.Size {
		return &Error{Operation: operation, Kind: Malformed}
	}
	receivedMAC, payload := raw[:sha256.Size], raw[sha256.Size:]
	if s == nil || !slices.ContainsFunc(s.secrets, func(secret []byte) bool {
		return hmac.Equal(receivedMAC, computeMAC(secret, p, payload))
	}) {
		return &Error{Operation: operation, Kind: BadSignature}
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return &Error{Operation: operation, Kind: Malformed, Err: eris.Wrap(err, "unmarshal")}
	}
	return nil
}

// computeMAC returns the HMAC-SHA256 of the purpose and the payload.
func computeMAC(secret []byte, p purpose, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(p))
	h.Write(payload)
	return h.Sum(nil)
}
