package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// connState is the state of one connection of the proxy to a server.
type connState struct {
	tenant   string
	values   map[string]string
	prepared map[string]string // kind and shape
	open     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

func (s *server) serve(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 1<<16)
	out := bufio.NewWriterSize(conn, 1<<16)
	line, err := readLine(in)
	if err != nil {
		return
	}
	f := strings.SplitN(line, " ", 4)
	if len(f) < 3 || f[0] != "START" || f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		_, _ = conn.Write([]byte("ERROR MISROUTED " + s.id + "\r\n"))
		return
	}
	c := &connState{tenant: f[2], values: map[string]string{}, prepared: map[string]string{}}
	s.g.mu.Lock()
	position := s.position()
	s.g.mu.Unlock()
	_, _ = out.WriteString("READY I " + position + "\r\n")
	if out.Flush() != nil {
		return
	}
	for {
		line, err := readLine(in)
		if err != nil || line == "BYE" {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		rows, code, signature := s.run(c, f[1], f[2])
		for _, r := range rows {
			_, _ = out.WriteString("ROW ")
			_, _ = out.WriteString(r)
			_, _ = out.WriteString("\r\n")
		}
		if code != "" {
			_, _ = out.WriteString("ERROR " + code + " " + s.id + "\r\n")
		} else {
			_, _ = out.WriteString("DONE " + signature + "\r\n")
		}
		state := "I"
		if c.failed {
			state = "E"
		} else if c.open {
			state = "T"
		}
		s.g.mu.Lock()
		position := s.position()
		s.g.mu.Unlock()
		_, _ = out.WriteString("READY " + state + " " + position + "\r\n")
		if out.Flush() != nil {
			return
		}
	}
}

func readLine(in *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := in.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			t := b.String()
			return t[:len(t)-2], nil
		}
	}
}

// slot waits for a slot and works; it returns false if too many statements wait.
func (s *server) slot(work time.Duration) bool {
	if s.waiting.Add(1) > busyQueue {
		s.waiting.Add(-1)
		return false
	}
	s.free <- struct{}{}
	time.Sleep(work)
	<-s.free
	s.waiting.Add(-1)
	return true
}

// run runs one query.
func (s *server) run(c *connState, id, text string) (rows []string, code, signature string) {
	g := s.g
	fail := func(code string) ([]string, string, string) {
		c.failed = c.failed || c.open
		return nil, code, ""
	}
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	name, arguments, _ := strings.Cut(rest, " ")
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "MALFORMED", ""
	}
	if verb == "EXECUTE" {
		kind, ok := c.prepared[name]
		if !ok {
			return fail("NOSTMT")
		}
		verb, rest = strings.SplitN(kind, " ", 2)[0], arguments
		name, arguments, _ = strings.Cut(arguments, " ")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		if verb == "STATUS" && !s.slot(time.Millisecond) {
			return nil, "BUSY", ""
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		term, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case verb == "PAUSE" && !s.primary && term > s.term:
			s.held = term
		case verb == "RESUME":
			s.held = 0
		case verb == "DEMOTE" && s.primary && s.term < term:
			s.primary, s.term = false, term
		}
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, s.term, s.position(), s.held, s.waiting.Load(), len(s.conns))}, "", "-"
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}
		return nil, "", "-"
	case "SET":
		c.values[name] = arguments
		return nil, "", "-"
	case "PREPARE":
		c.prepared[name] = arguments
		return nil, "", "-"
	case "DEALLOCATE":
		delete(c.prepared, name)
		return nil, "", "-"
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest != "READ" && !s.primary {
			return nil, "READONLY", ""
		}
		if after != "" && !s.holds(after) {
			return nil, "LAGGING", ""
		}
		c.open, c.readOnly, c.writes = true, rest == "READ", map[string]string{}
		return nil, "", "-"
	case "ROLLBACK":
		c.open, c.failed, c.writes = false, false, nil
		return nil, "", "-"
	}
	if !s.slot(g.work) {
		return fail("BUSY")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := c.open && !c.readOnly && !s.primary
	sign := func() string { return fmt.Sprintf("%d.%s.%x", g.signed.Add(1), s.id, time.Now().UnixNano()) }
	switch verb {
	case "READ":
		if lost {
			return fail("READONLY")
		}
		if after != "" && !s.holds(after) {
			return fail("LAGGING")
		}
		g.log.add("read", map[string]any{"server": s.id, "id": id, "tenant": c.tenant, "after": after, "position": s.position()})
		return s.read(name), "", sign()
	case "WRITE":
		if lost || !s.primary {
			return fail("READONLY")
		}
		if c.open {
			c.writes[name] = arguments
			return nil, "", sign()
		}
		if !s.commit(id, map[string]string{name: arguments}) {
			return nil, "TIMEOUT", ""
		}
		return nil, "", sign()
	case "COMMIT":
		writes, failed := c.writes, c.failed
		c.open, c.failed, c.writes = false, false, nil
		if failed {
			return nil, "ABORTED", ""
		}
		if len(writes) > 0 && lost {
			return nil, "READONLY", ""
		}
		if len(writes) > 0 && !s.commit(id, writes) {
			return nil, "TIMEOUT", ""
		}
		return nil, "", sign()
	}
	return fail("MALFORMED")
}

// commit appends writes to the log and waits until as many replicas as are synchronous have received them. The caller holds the
// lock, which is released while it waits.
func (s *server) commit(id string, writes map[string]string) bool {
	g := s.g
	number := uint64(1)
	if n := len(s.entries); n > 0 {
		number = s.entries[n-1].number + 1
	}
	e := entry{term: s.term, number: number, id: id, writes: writes}
	s.entries = append(s.entries, e)
	g.log.add("commit", map[string]any{"server": s.id, "id": id, "position": e.position()})
	for end := time.Now().Add(3 * time.Second); ; {
		have := 0
		for _, x := range g.servers {
			if x != s && !x.down && x.holds(e.position()) {
				have++
			}
		}
		if have >= g.sync {
			g.log.add("acknowledged", map[string]any{"server": s.id, "id": id, "position": e.position()})
			return true
		}
		if !s.primary || s.down || time.Now().After(end) {
			return false
		}
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
	}
}

// read returns the rows of an item. An item report:N:SIZE has N rows of SIZE bytes; any other has its last value.
func (s *server) read(item string) []string {
	if f := strings.Split(item, ":"); len(f) == 3 && f[0] == "report" {
		n, _ := strconv.Atoi(f[1])
		size, _ := strconv.Atoi(f[2])
		text := strings.Repeat("r", size)
		rows := make([]string, n)
		for i := range rows {
			rows[i] = text
		}
		return rows
	}
	for n := len(s.entries) - 1; n >= 0; n-- {
		if v, ok := s.entries[n].writes[item]; ok {
			return []string{v}
		}
	}
	return nil
}
