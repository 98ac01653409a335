package wire

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tanagercross/internal/standin/wire"
)

const mostTraces = 10

// finding is one broken rule with the ids that it concerns.
type finding struct {
	rule string
	text string
	ids  []string
}

// place is a transaction on a server connection.
type place struct {
	server      string
	connection  int
	transaction int
}

// checker compares what callers sent and got with what servers received, ran and answered.
type checker struct {
	sent     map[string]*sent
	order    []*sent
	records  map[string][]wire.Record // by id
	signed   map[string]string        // id by signature
	runs     func(id string) int      // committed writes
	findings []finding
}

func newChecker(callers []*caller, records []wire.Record, runs func(id string) int) *checker {
	k := &checker{sent: map[string]*sent{}, records: map[string][]wire.Record{}, signed: map[string]string{}, runs: runs}
	for _, c := range callers {
		for _, s := range c.sent {
			k.sent[s.id] = s
		}
		k.order = append(k.order, c.sent...)
		for _, line := range c.stray {
			k.find("STRAY", line)
		}
	}
	for _, r := range records {
		k.records[r.ID] = append(k.records[r.ID], r)
		if r.Signature != "" {
			k.signed[r.Signature] = r.ID
		}
	}
	return k
}

func (k *checker) find(rule, text string, ids ...string) {
	k.findings = append(k.findings, finding{rule: rule, text: text, ids: ids})
}

func (k *checker) check(records []wire.Record) {
	owners := map[place]*attempt{}
	places := map[*attempt]transactionPlace{}
	for _, r := range records {
		if r.ID == "-" || !r.Ran() {
			continue
		}
		s := k.sent[r.ID]
		if !k.asked(r, s) {
			continue
		}
		k.context(r, s)
		k.transaction(r, s, owners, places)
	}
	for _, s := range k.order {
		k.answer(s)
		k.effect(s)
	}
}

// forwarded reports whether a server has to run the statement.
func forwarded(body string) bool {
	return slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, wire.Fields(body, 2)[0])
}

// asked checks UNASKED: the id and the text are byte for byte those that a caller sent.
func (k *checker) asked(r wire.Record, s *sent) bool {
	if s == nil {
		k.find("UNASKED", fmt.Sprintf("%s ran %q with an id that no caller sent", r.Server, r.Text), r.ID)
		return false
	}
	if r.Organisation != "coop" {
		k.find("UNASKED", fmt.Sprintf("%s ran it for %q", r.Server, r.Organisation), r.ID)
	}
	want, got := s.text, r.Statement()
	if a, b := wire.Fields(want, 3), wire.Fields(got, 3); a[0] == "EXECUTE" && b[0] == "EXECUTE" && len(a) == 3 && len(b) == 3 {
		want, got = a[2], b[2] // names may be changed
	}
	if want != got {
		k.find("UNASKED", fmt.Sprintf("%s ran %q, sent was %q", r.Server, r.Text, s.text), r.ID)
	}
	return true
}

// context checks the part of PINNED that concerns session values and prepared statements.
func (k *checker) context(r wire.Record, s *sent) {
	if !forwarded(s.text) {
		return
	}
	if !maps.Equal(r.Values, s.values) {
		k.find("PINNED", fmt.Sprintf("%s ran it with the values %q, acknowledged were %q", r.Server, r.Values, s.values), r.ID)
	}
	if r.Shape != s.shape {
		k.find("PINNED", fmt.Sprintf("%s ran the shape %q, prepared was %q", r.Server, r.Shape, s.shape), r.ID)
	}
}

// transactionPlace is where the statements of a transaction run.
type transactionPlace struct {
	place
	only      string // id of the only statement that ran there, empty after a second one
	signature string // of its answer
}

// transaction checks the part of PINNED that concerns transactions: all statements of one run in one transaction of one
// server connection, and no other caller's statement runs in it. An instance may run a single statement inside a
// transaction of its own. It may run the first statement of a transaction again on another connection if it has no certain
// answer: nothing else ran in the transaction before, its caller did not get the answer of that run, and effect finds a write
// that was not rolled back.
func (k *checker) transaction(r wire.Record, s *sent, owners map[place]*attempt, places map[*attempt]transactionPlace) {
	if !forwarded(s.text) {
		return
	}
	if r.Transaction == 0 {
		if !s.transaction.single {
			k.find("PINNED", fmt.Sprintf("%s ran it outside of its transaction", r.Server), r.ID)
		}
		return
	}
	at := place{server: r.Server, connection: r.Connection, transaction: r.Transaction}
	if owner, ok := owners[at]; ok && owner != s.transaction {
		k.find("PINNED", fmt.Sprintf("%+v also holds a statement of another session or transaction", at), r.ID)
	}
	before, ok := places[s.transaction]
	only := r.ID
	switch {
	case ok && before.place == at && before.only != r.ID:
		only = ""
	case ok && before.place != at && !s.transaction.single && (before.only != r.ID || before.signature == s.got.Signature):
		k.find("PINNED", fmt.Sprintf("it ran in %+v, statements before it in %+v", at, before.place), r.ID)
	}
	owners[at], places[s.transaction] = s.transaction, transactionPlace{at, only, r.Signature}
}

// answer checks MIXED: a success carries the signature and the rows that a server gave for this id.
func (k *checker) answer(s *sent) {
	if !s.done() || !forwarded(s.text) {
		return
	}
	for _, r := range k.records[s.id] {
		if r.Signature == s.got.Signature && r.Signature != "" && slices.Equal(r.Rows, s.got.Rows) {
			return
		}
	}
	ids := []string{s.id}
	other, known := k.signed[s.got.Signature]
	if known && other != s.id {
		ids = append(ids, other)
	}
	k.find("MIXED", fmt.Sprintf("%s got the signature %q (given to %q) and rows %q", s.caller, s.got.Signature, other, s.got.Rows), ids...)
}

// effect checks TWICE, REFUSED, LOST and, for transactions, UNASKED on what was committed.
func (k *checker) effect(s *sent) {
	runs, try := k.runs(s.id), s.transaction
	switch {
	case runs == 0:
		if s.writes && try.committed {
			k.find("LOST", "its caller was told that it is committed, and it took no effect", s.id)
		}
		return
	case runs > 1:
		k.find("TWICE", fmt.Sprintf("its write took effect %d times", runs), s.id)
	}
	if !try.single && !try.committing {
		k.find("UNASKED", "its transaction was committed, and no COMMIT was sent", s.id)
	}
	if try.promise != "" {
		k.find("REFUSED", fmt.Sprintf("its caller was told %s, and its write took effect", try.promise), s.id)
	}
}

// counts returns how often each rule was broken.
func (k *checker) counts() string {
	n := map[string]int{}
	for _, f := range k.findings {
		n[f.rule]++
	}
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(n)) {
		all = append(all, fmt.Sprintf("%s %d", rule, n[rule]))
	}
	if len(all) == 0 {
		return "nothing broken"
	}
	return strings.Join(all, ", ")
}

// traces describes findings, at most mostTraces, with each broken rule among them.
func (k *checker) traces() []string {
	byRule := map[string][]finding{}
	for _, f := range k.findings {
		byRule[f.rule] = append(byRule[f.rule], f)
	}
	var all []string
	for n := 0; len(all) < min(mostTraces, len(k.findings)); n++ {
		for _, rule := range slices.Sorted(maps.Keys(byRule)) {
			if n < len(byRule[rule]) && len(all) < mostTraces {
				all = append(all, k.trace(byRule[rule][n]))
			}
		}
	}
	return all
}

func (k *checker) trace(f finding) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %q: %s", f.rule, f.ids, f.text)
	for _, id := range f.ids {
		if s := k.sent[id]; s != nil {
			fmt.Fprintf(&b, "\n    sent %q by %s, session %d of %s on %s: %q", id, s.caller, s.session, s.database, s.instance, s.text)
			fmt.Fprintf(&b, "\n    got  %q %q, code %q, error %v", s.got.Signature, s.got.Rows, s.got.Code, s.err)
		}
		for _, r := range k.records[id] {
			fmt.Fprintf(&b, "\n    ran  on %s, connection %d, transaction %d: %q", r.Server, r.Connection, r.Transaction, r.Text)
			fmt.Fprintf(&b, "\n         answered %q %q, code %q, lost %t", r.Signature, r.Rows, r.Code, r.Lost)
		}
	}
	return b.String()
}
