package wire_test

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/instance/clock"
	"tanagercross/internal/standin/cluster"
	"tanagercross/internal/standin/wire"
)

const server = "meals-agreste"

// connect starts a server with a fault and returns a connection to it after START, with a function that sends one text
// and reads lines.
func connect(t *testing.T, f wire.AnswerFault) (*wire.Platform, func(text string, lines int) []string) {
	t.Helper()
	c := cluster.New(clock.Boot)
	c.AddGroup("meals", "agreste")
	p, err := wire.Start(c, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	p.SetAnswers(f)
	conn, err := net.Dial("tcp", p.Server(server).Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := wire.NewReader(conn)
	ask := func(text string, lines int) []string {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		var got []string
		for range lines {
			line, err := in.Line()
			if err != nil {
				return append(got, err.Error())
			}
			got = append(got, line)
		}
		return got
	}
	return p, ask
}

// Guards against a server that ends a line at a lone LF or CR, or trims fields: it would read what the adapter reads, and
// show no difference between what a caller sent and what ran.
func TestLinesEndAtCRLF(t *testing.T) {
	p, ask := connect(t, wire.AnswerFault{})
	ask("START meals coop\r\n", 1)
	data := " a\nQUERY x WRITE b c\r\r \x00\xff  d \r"
	ask("QUERY c\n/1 WRITE \ritem "+data+"\r\n", 2)
	got := ask("QUERY c/2 READ \ritem\r\n", 3)
	if got[0] != "ROW "+data {
		t.Errorf("read %q, want %q", got[0], "ROW "+data)
	}
	records := p.Records()
	if len(records) != 2 || records[0].ID != "c\n/1" || records[0].Text != "WRITE \ritem "+data || records[0].Organisation != "coop" {
		t.Errorf("records %+v", records)
	}
	if records[1].Rows[0] != data || "DONE "+records[1].Signature != got[1] || records[0].Signature == records[1].Signature {
		t.Errorf("records %+v, answer %q", records, got)
	}
}

// Guards against a fault that repeats nothing, or that sends a copy inside another answer.
func TestRepeatedAnswersAreWhole(t *testing.T) {
	for name, f := range map[string]wire.AnswerFault{
		"directly": {Repeat: 1, Copies: 2}, "later": {Repeat: 1, Copies: 2, Least: time.Millisecond, Most: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			_, ask := connect(t, f)
			ready := ask("START meals coop\r\n", 3)
			if ready[0] != ready[1] || ready[1] != ready[2] {
				t.Errorf("READY and its copies: %q", ready)
			}
			got := ask("QUERY - SET a b\r\nQUERY c/1 READ x\r\n", 3*2+3*3)
			slices.Sort(got[:])
			if n := strings.Count(strings.Join(got, "\n"), "ROW "); n != 3 || slices.Contains(got, "EOF") {
				t.Errorf("%d rows in %q", n, got)
			}
		})
	}
}

// Guards against an injected refusal of a statement that ran, or that leaves its transaction usable.
func TestRefusedStatementsDoNotRun(t *testing.T) {
	p, ask := connect(t, wire.AnswerFault{Busy: 1})
	ask("START meals coop\r\n", 1)
	if got := ask("QUERY c/1 WRITE x y\r\n", 2); got[0] != "ERROR BUSY busy" || !strings.HasPrefix(got[1], "READY I ") {
		t.Errorf("answer %q", got)
	}
	if r := p.Records(); len(r) != 1 || r[0].Ran() || r[0].Code != "BUSY" {
		t.Errorf("records %+v", r)
	}
}

// Guards against a cut answer that arrives whole.
func TestCutAnswersEnd(t *testing.T) {
	p, ask := connect(t, wire.AnswerFault{Cut: 1})
	if got := ask("START meals coop\r\n", 1); got[0] != io.ErrUnexpectedEOF.Error() && got[0] != io.EOF.Error() {
		t.Errorf("answer %q", got)
	}
	if r := p.Records(); len(r) != 0 {
		t.Errorf("records %+v", r)
	}
}
