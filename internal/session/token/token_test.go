package token

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"tanagercross/internal/database/driver"

	"github.com/google/go-cmp/cmp"
)

var (
	oldSecret = []byte("old secret of the fleet")
	newSecret = []byte("new secret of the fleet")
)

func newTestSigner(t testing.TB, secrets ...[]byte) *Signer {
	t.Helper()
	s, err := NewSigner(secrets...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func errorKind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against With methods that lose a position, move back or change the token that they are called on.
func TestTokenMovesForwardOnly(t *testing.T) {
	base := New("sertao_coop", "s1").WithPosition("b", driver.Position{Term: 2, Index: 9}).WithConfiguration(4)
	next := base.WithPosition("a", driver.Position{Term: 1, Index: 1}).WithPosition("b", driver.Position{Term: 3, Index: 1}).
		WithPosition("b", driver.Position{Term: 2, Index: 90}).WithConfiguration(3)
	if got := base.Position("b"); got != (driver.Position{Term: 2, Index: 9}) {
		t.Errorf("the original token changed its position to %v", got)
	}
	s := newTestSigner(t, newSecret)
	text, err := s.Encode(next)
	if err != nil {
		t.Fatal(err)
	}
	back, err := s.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []GroupPosition{{"a", driver.Position{Term: 1, Index: 1}}, {"b", driver.Position{Term: 3, Index: 1}}}
	if diff := cmp.Diff(want, back.Positions()); diff != "" || back.Configuration() != 4 || back.Organisation() != "sertao_coop" {
		t.Errorf("decoded %v, difference %s", back, diff)
	}
}

// Guards against sessions that are refused during the rotation of a secret, and against a removed secret that is still
// accepted.
func TestSecretRotation(t *testing.T) {
	text, _ := newTestSigner(t, oldSecret).Encode(New("o", "s"))
	if _, err := newTestSigner(t, newSecret, oldSecret).Decode(text); err != nil {
		t.Errorf("token signed with an accepted secret: %v", err)
	}
	if _, err := newTestSigner(t, newSecret).Decode(text); errorKind(err) != BadSignature {
		t.Errorf("token signed with a removed secret: error %v, want bad_signature", err)
	}
}

// Guards against a transaction id that is accepted as a session token, and against tokens over the limits, secrets that
// are too short and session ids that are not ordered by time.
func TestBoundsAndPurpose(t *testing.T) {
	s := newTestSigner(t, newSecret)
	want := Transaction{"o", "s", "g", "srv", "i1", "l1", 7}
	text, _ := s.EncodeTransaction(want)
	if got, err := s.DecodeTransaction(text); err != nil || got != want {
		t.Errorf("transaction decoded as %v, %v", got, err)
	}
	if _, err := s.Decode(text); errorKind(err) != BadSignature {
		t.Errorf("transaction id as session token: error %v, want bad_signature", err)
	}
	many := New("o", "s")
	for i := range MaxGroups + 1 {
		many = many.WithPosition(fmt.Sprint(i), driver.Position{Term: 1})
	}
	if _, err := s.Encode(many); errorKind(err) != TooManyGroups {
		t.Errorf("token with 65 groups: error %v, want too_many_groups", err)
	}
	if _, err := s.Encode(New(strings.Repeat("o", MaxEncodedBytes), "s")); errorKind(err) != TooLarge {
		t.Errorf("token with a long organisation: error %v, want too_large", err)
	}
	if _, err := s.Decode(strings.Repeat("A", MaxEncodedBytes+1)); errorKind(err) != TooLarge {
		t.Errorf("text over the limit: error %v, want too_large", err)
	}
	if _, err := NewSigner([]byte("short")); errorKind(err) != NoSecret {
		t.Errorf("secret of 5 bytes: error %v, want no_secret", err)
	}
	a, _ := NewSession()
	if b, _ := NewSession(); a >= b {
		t.Errorf("session ids are not ordered by time: %s, %s", a, b)
	}
}

// Guards against a decoder that panics on arbitrary input, or accepts a text other than the one that was signed.
func FuzzDecode(f *testing.F) {
	s := newTestSigner(f, newSecret, oldSecret)
	valid, _ := s.Encode(New("o", "s").WithPosition("g", driver.Position{Term: 1, Index: 2}))
	transaction, _ := s.EncodeTransaction(Transaction{Organisation: "o", LocalID: "l"})
	for _, seed := range []string{"", "A", "=", valid, transaction, valid[:len(valid)-1], valid + "A", "\n" + valid, strings.Repeat("A", 43)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := s.Decode(text); err == nil {
			if again, err := s.Encode(token); err != nil || again != text {
				t.Errorf("accepted %q, which encodes as %q, %v", text, again, err)
			}
		} else if errorKind(err) == "" {
			t.Errorf("error without a kind: %v", err)
		}
		if token, err := s.DecodeTransaction(text); err == nil {
			if again, err := s.EncodeTransaction(token); err != nil || again != text {
				t.Errorf("accepted %q, which encodes as %q, %v", text, again, err)
			}
		}
	})
}
