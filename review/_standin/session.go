package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var signatures atomic.Uint64

// session is one connection to a server.
type session struct {
	server   *server
	tenant   string
	values   map[string]string
	prepared map[string][2]string // kind and shape by name
	open     bool
	readOnly bool
	failed   bool
	term     uint64 // of the transaction
	writes   []commit
}

func (x *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		x.group.mu.Lock()
		tooMany := len(x.open) >= connectionCap
		x.open[c] = true
		x.group.mu.Unlock()
		go func() {
			if tooMany {
				fmt.Fprint(c, "ERROR TOOMANY "+x.id+"\r\n")
			} else {
				x.serve(c)
			}
			_ = c.Close()
			x.group.mu.Lock()
			delete(x.open, c)
			x.group.mu.Unlock()
		}()
	}
}

func (x *server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "START" || f[1] != x.group.name || len(f) > 3 && f[3] != x.id {
		fmt.Fprint(c, "ERROR MISROUTED "+x.id+"\r\n")
		return
	}
	time.Sleep(handshakeTime)
	k := &session{server: x, tenant: f[2], values: map[string]string{}, prepared: map[string][2]string{}}
	x.group.mu.Lock()
	p := x.usable()
	x.group.mu.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", p)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		rest, ok := strings.CutPrefix(line, "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		x.group.mu.Lock()
		x.group.arrived[id] = true
		x.group.mu.Unlock()
		reply, answered := k.run(id, text)
		if !answered {
			return
		}
		x.group.mu.Lock()
		state, p, up := "I", x.usable(), x.up
		if id != "-" && strings.Contains(reply, "DONE") {
			x.group.ranFor[id] = k.tenant
		}
		x.group.mu.Unlock()
		if k.failed {
			state = "E"
		} else if k.open {
			state = "T"
		}
		if id != "-" || strings.HasPrefix(text, "PAUSE") || strings.HasPrefix(text, "RESUME") || strings.HasPrefix(text, "DEMOTE") {
			x.group.record.notef("%s: %s %s %.80s -> %.200s %s", x.id, k.tenant, id, text, strings.ReplaceAll(strings.TrimSpace(reply), "\r\n", " / "), state)
		}
		if !up {
			return
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", reply, state, p); err != nil {
			return
		}
	}
}

func (x *server) done() string {
	return fmt.Sprintf("DONE %s.%d\r\n", x.id, signatures.Add(1))
}

func (k *session) fail(code string) string {
	k.failed = k.open
	return "ERROR " + code + " " + k.server.id + "\r\n"
}

// run runs one query. It returns false if there is no answer.
func (k *session) run(id, text string) (string, bool) {
	x, g := k.server, k.server.group
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		if !x.holds(at) {
			return k.fail("LAGGING"), true
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	switch verb {
	case "STATUS":
		select {
		case x.slots <- struct{}{}:
			defer func() { <-x.slots }()
			return x.command(verb, rest), true
		default:
			return "ERROR BUSY " + x.id + "\r\n", true
		}
	case "PAUSE", "RESUME", "DEMOTE":
		return x.command(verb, rest), true
	case "RESET":
		k.values, k.prepared = map[string]string{}, map[string][2]string{}
		return "DONE -\r\n", true
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		k.values[name] = value
		return "DONE -\r\n", true
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		k.prepared[f[0]] = [2]string{f[1], f[2]}
		return "DONE -\r\n", true
	case "ROLLBACK":
		k.open, k.failed, k.writes = false, false, nil
		return "DONE -\r\n", true
	}
	if k.failed {
		return "ERROR MALFORMED " + x.id + "\r\n", true
	}
	if verb != "BEGIN" {
		x.slots <- struct{}{}
		defer func() { <-x.slots }()
		time.Sleep(statementWork)
		if strings.HasPrefix(rest, longItem) {
			time.Sleep(g.longWork)
		}
	}
	g.mu.Lock()
	leads, term, log := x.primary, x.term, x.log
	n := x.usable().number
	g.mu.Unlock()
	if k.open && !k.readOnly && (!leads || term != k.term) && !(verb == "COMMIT" && len(k.writes) == 0) {
		return k.fail("READONLY"), true
	}
	switch verb {
	case "BEGIN":
		if rest != "READ" && !leads {
			return k.fail("READONLY"), true
		}
		k.open, k.readOnly, k.term, k.writes = true, rest == "READ", term, nil
		return "DONE -\r\n", true
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		p, ok := k.prepared[name]
		if !ok {
			return k.fail("NOSTMT"), true
		}
		verb, rest = p[0], arguments
	}
	switch verb {
	case "READ":
		for i := int(n) - 1; i >= 0; i-- {
			if log[i].item == rest {
				return "ROW " + log[i].data + "\r\n" + x.done(), true
			}
		}
		return x.done(), true
	case "WRITE":
		if !leads {
			return k.fail("READONLY"), true
		}
		item, data, _ := strings.Cut(rest, " ")
		k.writes = append(k.writes, commit{id: id, item: item, data: data})
		if k.open {
			return x.done(), true
		}
		return k.commit()
	case "COMMIT":
		return k.commit()
	}
	return k.fail("MALFORMED"), true
}

// commit appends the writes of the session to the log and waits for the replicas.
func (k *session) commit() (string, bool) {
	x, g := k.server, k.server.group
	g.mu.Lock()
	if len(k.writes) > 0 && !x.primary {
		g.mu.Unlock()
		k.writes, k.open = nil, false
		return k.fail("READONLY"), true
	}
	for _, w := range k.writes {
		x.log, x.received = append(x.log, w), append(x.received, time.Now())
	}
	term, n, wrote := x.term, len(x.log), len(k.writes) > 0
	g.mu.Unlock()
	k.open, k.writes = false, nil
	if wrote && !g.acknowledge(x, term, n) {
		return "", false
	}
	return x.done(), true
}

// holds reports whether the log has a position.
func (x *server) holds(text string) bool {
	t, n, _ := strings.Cut(text, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	p := x.usable()
	return term <= p.term && number <= p.number
}

// command runs STATUS, PAUSE, RESUME or DEMOTE and returns the report.
func (x *server) command(verb, field string) string {
	term, _ := strconv.ParseUint(field, 10, 64)
	g := x.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch verb {
	case "PAUSE":
		if term > x.term && !x.primary {
			x.paused, x.heldTerm = true, term
		}
	case "RESUME":
		x.paused, x.heldTerm = false, 0
	case "DEMOTE":
		if x.primary && term > x.term {
			x.primary = false
			x.beat()
		}
	}
	role := "replica"
	if x.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d %d 0 %d\r\nDONE -\r\n", role, x.term, x.end(), x.heldTerm, x.lag.Milliseconds(), len(x.open))
}
