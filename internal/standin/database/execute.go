package database

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var (
	setPattern       = regexp.MustCompile(`(?i)^set\s+(?:session\s+)?([a-z_]+)\s*(?:=|\bto\b)\s*(.+)$`)
	accessPattern    = regexp.MustCompile(`(?i)\bread\s+(only|write)\b`)
	parameterPattern = regexp.MustCompile(`\?([0-9]+)`)
)

// parameters returns the highest parameter number of the command.
func (c command) parameters() int {
	highest := 0
	for _, m := range parameterPattern.FindAllStringSubmatch(c.text, -1) {
		if n, err := strconv.Atoi(m[1]); err == nil && n < 1<<15 {
			highest = max(highest, n)
		}
	}
	return highest
}

// execute runs one command and returns its rows and the text of CommandComplete.
func (c *session) execute(cmd command, arguments []*string) (result, string, error) {
	var r result
	var err error
	switch {
	case c.failed && cmd.tag() != "ROLLBACK" && cmd.tag() != "COMMIT":
		err = failure("execute", codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	case cmd.class == classRefused:
		err = failure("execute", codeUnsupported, "statement %q is not supported", cmd.verb)
	case cmd.class == classControl:
		return c.control(cmd, arguments)
	default:
		r, err = c.data(cmd, arguments)
	}
	if err != nil {
		return result{}, "", err
	}
	tag := cmd.tag()
	switch {
	case cmd.verb == "INSERT":
		tag = fmt.Sprintf("INSERT 0 %d", r.changed)
	case cmd.counted():
		tag = fmt.Sprintf("%s %d", tag, r.changed)
	}
	return r, tag, nil
}

// data runs a read or a write. The writer place is taken before the slot, so that nobody waits for it inside a slot.
func (c *session) data(cmd command, arguments []*string) (result, error) {
	t := c.write
	if cmd.class == classWrite && (c.open && c.readOnly || !c.open && c.readDefault) {
		return result{}, failure("execute", codeReadOnly, "cannot execute %s in a read-only transaction", cmd.verb)
	}
	if cmd.class == classWrite && t == nil {
		var err error
		if t, err = c.server.beginWrite(c.organisation, c.demotions); err != nil {
			return result{}, err
		}
		if c.open {
			c.write = t
		}
	}
	r, err := c.inSlot(t, cmd, arguments)
	if c.open || t == nil {
		return r, err
	}
	if err != nil {
		c.server.rollback(t)
		return result{}, err
	}
	return r, c.commit(t)
}

func (c *session) inSlot(t *transaction, cmd command, arguments []*string) (result, error) {
	s := c.server
	select {
	case s.slots <- struct{}{}:
	case <-s.ctx.Done():
		return result{}, failure("execute", codeShutdown, "the server is ending")
	}
	defer func() { <-s.slots }()
	s.statements.Add(1)
	s.sleep(time.Duration(s.serviceTime.Load()))
	s.faults.frozen.wait(s.ctx.Done())
	if t != nil {
		r, err := t.run(cmd, arguments)
		c.observe()
		return r, err
	}
	return c.read(cmd, arguments)
}

// read runs a read on committed state. A rebuild of the files during the read makes it fail, because the rows may come
// from an abandoned branch while the position already belongs to the new one.
func (c *session) read(cmd command, arguments []*string) (result, error) {
	store, generation, err := c.server.organisation(c.organisation)
	if err != nil {
		return result{}, err
	}
	r, err := query(store.readers, cmd, arguments)
	if c.observe() != generation {
		return result{}, failure("read", codeRetry, "the log was truncated during the read")
	}
	return r, err
}

// observe notes the server's position and returns the generation of the files.
func (c *session) observe() uint64 {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.position, c.observed = s.log.last(), true
	return s.generation
}

func (c *session) commit(t *transaction) error {
	position, err := c.server.commit(t)
	if err != nil {
		return err
	}
	c.position, c.observed = position, true
	if c.server.faults.dropCommit.CompareAndSwap(true, false) {
		return errAnswerDropped
	}
	return nil
}

func (c *session) rollback() {
	if c.write != nil {
		c.server.rollback(c.write)
	}
	c.write, c.open, c.failed = nil, false, false
}

func row(columns []string, values ...string) result {
	r := result{columns: columns, rows: make([][]*string, 1), changed: 1}
	for _, v := range values {
		r.rows[0] = append(r.rows[0], &v)
	}
	return r
}

// control runs statements about the session, its transaction or the group.
func (c *session) control(cmd command, arguments []*string) (result, string, error) {
	tag := cmd.tag()
	var r result
	var err error
	switch tag {
	case "SELECT":
		tag = "SELECT 1"
		r, err = c.function(cmd, arguments)
	case "SHOW":
		r, err = c.show(cmd)
	case "SET", "RESET":
		err = c.set(cmd)
	case "BEGIN":
		if c.open {
			err = failure("begin", codeActiveTransaction, "there is already a transaction in progress")
		}
		c.open, c.readOnly = true, c.readDefault
		if m := accessPattern.FindStringSubmatch(cmd.text); m != nil {
			c.readOnly = strings.EqualFold(m[1], "only")
		}
	case "COMMIT":
		t, failed := c.write, c.failed
		if failed {
			tag = "ROLLBACK"
			c.rollback()
			break
		}
		c.write, c.open = nil, false
		if t != nil {
			err = c.commit(t)
		}
	case "ROLLBACK":
		c.rollback()
	default: // DISCARD ALL
		err = c.discard()
	}
	return r, tag, err
}

func (c *session) discard() error {
	if c.open {
		return failure("discard", codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	c.organisation, c.idle, c.readDefault = "", 0, false
	c.statements, c.portals = map[string][]command{}, map[string]*portal{"": c.portals[""]}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.unlock()
	return nil
}

func (c *session) set(cmd command) error {
	m := setPattern.FindStringSubmatch(cmd.text)
	if m == nil {
		return failure("set", codeSyntax, "SET name = value expected")
	}
	value := strings.Trim(strings.TrimSpace(m[2]), "'")
	switch strings.ToLower(m[1]) {
	case "organisation":
		if c.open {
			return failure("set", codeActiveTransaction, "the organisation cannot change inside a transaction")
		}
		if !organisationPattern.MatchString(value) {
			return failure("set", codeNoOrganisation, "invalid organisation name")
		}
		c.organisation = value
	case "default_transaction_read_only":
		c.readDefault = value == "on"
	case "idle_session_timeout":
		if n, err := strconv.Atoi(value); err == nil {
			c.idle = time.Duration(n) * time.Millisecond
			return nil
		}
		d, err := time.ParseDuration(value)
		if err != nil {
			return failure("set", codeSyntax, "invalid idle_session_timeout %q", value)
		}
		c.idle = d
	}
	return nil
}
