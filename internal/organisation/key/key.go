// Package key generates, hashes and looks up the API keys by which organisations authenticate.
//
// A key is "tc_" followed by 32 random bytes in base64url. Only its SHA-256 hash is stored. A fast hash without salt is
// enough, because a key has 256 random bits and cannot be found by a dictionary attack.
//
// # Usage
//
//	k, err := key.New()
//	table, err = table.WithIssued(key.Entry{Hash: k.Hash(), Organisation: "sertao_coop", IssuedAt: now, IssuedBy: "ana"})
//	entry, err := table.Find(key.HashOf(header))
//	if key.KindOf(err) == key.Withdrawn {
//		// refuse
//	}
//
// All errors are *Error and contain no key.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"log/slog"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// Prefix starts every key, so that scanners for leaked secrets can recognise one.
const Prefix = "tc_"

// RandomBytes is the number of random bytes in a key.
const RandomBytes = 32

// Redacted replaces the text of a key in logs, messages and JSON.
const Redacted = Prefix + "[redacted]"

// Key is a key in clear text. Its formatting, logging and JSON methods return Redacted; only Reveal returns the text.
type Key struct{ text string }

// New generates a key of 32 bytes from the system's random source. It fails with kind Unavailable.
func New() (Key, error) {
	var b [RandomBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Key{}, &Error{Operation: "new", Kind: Unavailable, Err: eris.Wrap(err, "random source")}
	}
	return Key{text: Prefix + base64.RawURLEncoding.EncodeToString(b[:])}, nil
}

// Parse checks the form of a key: the prefix and 32 bytes in unpadded base64url. It fails with kind Malformed; the error
// does not contain the text.
func Parse(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return Key{}, &Error{Operation: "parse", Kind: Malformed, Err: eris.New("a key starts with " + Prefix)}
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(rest)
	if err != nil || len(b) != RandomBytes {
		return Key{}, &Error{Operation: "parse", Kind: Malformed, Err: eris.New("a key has 32 bytes in base64url after its prefix")}
	}
	return Key{text: text}, nil
}

// Hash returns the SHA-256 hash of the key's text.
func (k Key) Hash() Hash { return HashOf(k.text) }

// Reveal returns the key's text. It is meant for the one answer in which the operator receives a new key.
func (k Key) Reveal() string { return k.text }

// String implements fmt.Stringer.
func (Key) String() string { return Redacted }

// GoString implements fmt.GoStringer, which covers the verb %#v.
func (Key) GoString() string { return Redacted }

// LogValue implements slog.LogValuer.
func (Key) LogValue() slog.Value { return slog.StringValue(Redacted) }

// MarshalJSON implements json.Marshaler.
func (Key) MarshalJSON() ([]byte, error) { return []byte(`"` + Redacted + `"`), nil }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(Redacted), nil }

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// HashOf hashes the text that a caller sent as its key, without checking its form.
func HashOf(text string) Hash { return sha256.Sum256([]byte(text)) }

// ParseHash parses a hash of 64 hexadecimal digits. It fails with kind Malformed.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if err := h.UnmarshalText([]byte(text)); err != nil {
		return Hash{}, err
	}
	return h, nil
}

// IsZero reports whether no hash is set.
func (h Hash) IsZero() bool { return h == Hash{} }

// String returns the hash as 64 hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return &Error{Operation: "parse hash", Kind: Malformed, Err: eris.New("a hash has 64 hexadecimal digits")}
	}
	copy(h[:], b)
	return nil
}

// keyPattern matches 16 or more characters after the prefix, so that mistyped and truncated keys are redacted as well.
var keyPattern = regexp.MustCompile(Prefix + `[A-Za-z0-9_-]{16,}`)

// Redact replaces everything in a text that looks like a key. It is used for messages that repeat a caller's input.
func Redact(text string) string { return keyPattern.ReplaceAllString(text, Redacted) }
