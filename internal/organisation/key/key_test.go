package key_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/organisation/key"
)

var issued = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against the text of a key in a log line, a formatted message, an error or JSON.
func TestKeyIsRedacted(t *testing.T) {
	k, err := key.New()
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	slog.New(slog.NewJSONHandler(&log, nil)).Info("issued", "key", k, "wrapped", struct{ K key.Key }{k})
	data, err := json.Marshal(map[string]any{"key": k, "list": []key.Key{k}})
	if err != nil {
		t.Fatal(err)
	}
	_, malformed := key.Parse(k.Reveal() + "x")
	secret := strings.TrimPrefix(k.Reveal(), key.Prefix)
	shown := log.String() + string(data) + fmt.Sprintf("%v %+v %#v %s %q", k, struct{ K key.Key }{k}, k, k, k) + malformed.Error() + key.Redact("field "+k.Reveal()+" is wrong")
	if strings.Contains(shown, secret) {
		t.Errorf("the key is shown in %s", shown)
	}
	if !strings.Contains(shown, key.Redacted) {
		t.Error("the redaction is missing")
	}
}

// Guards against accepting text that is not a key, such as one with a wrong prefix or length.
func TestParseRefusesOtherForms(t *testing.T) {
	k, _ := key.New()
	if _, err := key.Parse(k.Reveal()); err != nil {
		t.Error(err)
	}
	for _, text := range []string{"", "tc_", "tc_short", "xx" + k.Reveal(), k.Reveal() + "="} {
		if _, err := key.Parse(text); key.KindOf(err) != key.Malformed {
			t.Errorf("Parse(%q) gave %v", text, err)
		}
	}
}

// Guards against accepting a withdrawn or unknown key, an invalid entry or an invalid withdrawal, and against changes to
// a table from which another one was derived.
func TestTableWithdraws(t *testing.T) {
	k, _ := key.New()
	var empty key.Table
	one, err := empty.WithIssued(key.Entry{Hash: k.Hash(), Organisation: "sertao_coop", IssuedAt: issued, IssuedBy: "ana"})
	if err != nil {
		t.Fatal(err)
	}
	two, err := one.WithWithdrawn(k.Hash(), issued.Add(time.Hour), "rui", "lost phone")
	if err != nil {
		t.Fatal(err)
	}
	again, _ := two.WithWithdrawn(k.Hash(), issued.Add(2*time.Hour), "eva", "again")
	if _, err := empty.Find(k.Hash()); key.KindOf(err) != key.Unknown {
		t.Errorf("empty table: %v", err)
	}
	if e, err := one.Find(key.HashOf(k.Reveal())); err != nil || e.Organisation != "sertao_coop" {
		t.Errorf("issued: %v %v", e, err)
	}
	if e, err := again.Find(k.Hash()); key.KindOf(err) != key.Withdrawn || e.WithdrawnBy != "rui" {
		t.Errorf("withdrawn: %v %v", e, err)
	}
	if _, err := one.WithIssued(one.Entries()[0]); key.KindOf(err) != key.Duplicate {
		t.Errorf("duplicate: %v", err)
	}
	if _, err := one.WithWithdrawn(k.Hash(), issued, "", ""); key.KindOf(err) != key.Incomplete {
		t.Errorf("incomplete: %v", err)
	}
	quoted := one.Entries()[0]
	quoted.Hash, quoted.Organisation = key.HashOf("x"), "a'; drop"
	if _, err := one.WithIssued(quoted); key.KindOf(err) != key.Malformed {
		t.Errorf("organisation that needs quoting: %v", err)
	}
	data, _ := json.Marshal(two)
	back, err := key.ParseTable(data)
	if err != nil || len(back.Entries()) != 1 || *back.Entries()[0].WithdrawnAt != issued.Add(time.Hour) {
		t.Errorf("document %s: %v %v", data, back, err)
	}
	if !strings.Contains(string(data), `"withdrawn_by":"rui"`) || strings.Contains(string(data), k.Reveal()) {
		t.Errorf("document %s", data)
	}
}
