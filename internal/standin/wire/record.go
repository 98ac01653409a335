package wire

import (
	"maps"
	"slices"
	"strings"

	"tanagercross/internal/database/statement"
)

// Record is one statement that arrived at a server, and the answer that the server gave it. Reports such as STATUS are
// not kept.
type Record struct {
	Server       string
	Connection   int // number among the connections to all servers
	Transaction  int // number on its connection, 0 outside of one
	Organisation string
	ID           string
	Text         string            // as it arrived
	Values       map[string]string // of the connection when the statement arrived
	Shape        string            // READ or WRITE and the shape, for an EXECUTE of a known name
	Code         string
	Signature    string
	Rows         []string
	Lost         bool // the statement may have run, and the server sent no whole answer
}

// Ran reports whether the server ran the statement.
func (r Record) Ran() bool { return r.Code == "" || r.Code == "FAILED" || r.Code == "TIMEOUT" }

// Statement returns the text without the position that may precede a read or BEGIN.
func (r Record) Statement() string {
	if strings.HasPrefix(r.Text, "AFTER ") {
		if f := Fields(r.Text, 3); len(f) == 3 {
			return f[2]
		}
	}
	return r.Text
}

// Records returns what arrived at the servers, in the order in which the answers were made.
func (p *Platform) Records() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.records)
}

// record keeps a record and returns its index, or -1 for a report.
func (p *Platform) record(r Record) int {
	if r.ID == "" {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, r)
	return len(p.records) - 1
}

// lose notes that the answer of a record was not sent whole.
func (p *Platform) lose(index int) {
	if index < 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records[index].Lost = true
}

// connState is what a server connection holds between statements, kept for the records.
type connState struct {
	values       map[string]string
	shapes       map[string]string // by prepared name
	transactions int
	open         bool
}

func newConnState() *connState {
	return &connState{values: map[string]string{}, shapes: map[string]string{}}
}

// describe fills in what the connection holds when a statement arrives.
func (c *connState) describe(r *Record) {
	r.Values = maps.Clone(c.values)
	if c.open {
		r.Transaction = c.transactions
	}
	if f := Fields(r.Statement(), 3); f[0] == "EXECUTE" && len(f) > 1 {
		r.Shape = c.shapes[f[1]]
	}
}

// apply follows a statement that was answered.
func (c *connState) apply(text string, a statement.Answer) {
	if open := a.State != statement.Idle; open != c.open {
		if c.open = open; open {
			c.transactions++
		}
	}
	if a.Code != "" {
		return
	}
	switch f := Fields(text, 3); {
	case f[0] == "RESET":
		clear(c.values)
		clear(c.shapes)
	case f[0] == "SET" && len(f) == 3:
		c.values[f[1]] = f[2]
	case f[0] == "PREPARE" && len(f) == 3:
		c.shapes[f[1]] = f[2]
	}
}
