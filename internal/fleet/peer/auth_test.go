package peer

import (
	"testing"
	"time"
)

// Guards against a MAC that is valid for another method, another secret or for ever, and against instances that cannot
// call each other while the secret is replaced.
func TestAuthenticator(t *testing.T) {
	now := time.Now()
	at := func(secret string, t time.Time) authenticator {
		return authenticator{secret: []byte(secret), now: func() time.Time { return t }}
	}
	header := at("a", now).sign("/vote")
	for name, err := range map[string]error{
		"other method": at("a", now).check(header, "/take"),
		"other secret": at("b", now).check(header, "/vote"),
		"old":          at("a", now.Add(2*time.Minute)).check(header, "/vote"),
		"early":        at("a", now.Add(-2*time.Minute)).check(header, "/vote"),
		"absent":       at("a", now).check("", "/vote"),
	} {
		if err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	rotating := at("b", now)
	rotating.others = [][]byte{[]byte("a")}
	for _, a := range []authenticator{at("a", now.Add(time.Second)), rotating} {
		if err := a.check(header, "/vote"); err != nil {
			t.Error(err)
		}
	}
	if at("a", now).check(rotating.sign("/vote"), "/vote") == nil {
		t.Error("a call is signed with another secret than the first")
	}
}
