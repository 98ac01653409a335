package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"tanagercross/internal/standin/process"
	"tanagercross/internal/standin/wire"
)

const (
	statementTimeout = 800 * time.Millisecond
	answerMargin     = 1200 * time.Millisecond // beyond the statement's time, before an answer counts as missing
	socketTimeout    = 6 * time.Second
	stalenessBound   = 1500 * time.Millisecond
	settled          = 6 * time.Second // after a disturbance, before a missing answer counts
	thinkTime        = 15 * time.Millisecond
)

// promises are the codes after which nothing of the attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

// acknowledged is one write of an item that its caller was told to be done.
type acknowledged struct {
	value uint64
	at    time.Time
}

// register holds what was acknowledged of each item. Each item has one writer, whose values grow.
type register struct {
	mu         sync.Mutex
	writes     map[string][]acknowledged
	unanswered map[string]map[uint64]bool // values of writes that promise nothing
}

// lose notes a write whose fate its caller does not know. It may take effect at any later moment, also after a newer one.
func (r *register) lose(item string, value uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unanswered[item] == nil {
		r.unanswered[item] = map[uint64]bool{}
	}
	r.unanswered[item][value] = true
}

func (r *register) lost(item string, value uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unanswered[item][value]
}

func (r *register) note(item string, value uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes[item] = append(r.writes[item], acknowledged{value: value, at: time.Now()})
}

// before returns what was acknowledged before a moment, the newest last.
func (r *register) before(item string, moment time.Time) []acknowledged {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.writes[item]
	n := len(all)
	for n > 0 && !all[n-1].at.Before(moment) {
		n--
	}
	return slices.Clone(all[:n])
}

func openSession(address, database, key string) (*wire.Session, string, error) {
	return wire.OpenSession(address, database, key, socketTimeout)
}

// caller runs operations in sessions of one database until the trial ends them.
type caller struct {
	trial    *trial
	name     string
	database string
	group    string
	key      string
	random   *rand.Rand
	next     uint64 // value and statement id
	own      []acknowledged
}

func (c *caller) run() {
	for !c.trial.ended() {
		i := c.trial.instances[c.random.IntN(len(c.trial.instances))]
		s, _, err := openSession(i.Callers.Address(), c.host(), c.key)
		if err != nil {
			time.Sleep(5 * thinkTime)
			continue
		}
		c.own = nil
		if r, err := s.Query(c.id(), "SET owner "+c.name); err == nil && r.Code == "" {
			for range 5 + c.random.IntN(40) {
				if c.trial.ended() || !c.operate(s, i) {
					break
				}
				time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
			}
		}
		s.Close()
	}
}

// host is the name under which callers know the database.
func (c *caller) host() string {
	if c.group == groups[0] {
		return c.database
	}
	return c.group + "-" + c.database
}

func (c *caller) id() string {
	c.next++
	return c.name + "/" + strconv.FormatUint(c.next, 10)
}

func (c *caller) operate(s *wire.Session, i *process.Instance) bool {
	switch n := c.random.IntN(10); {
	case n < 3:
		return c.write(s, i)
	case n < 4:
		return c.transaction(s, i)
	}
	return c.read(s, i)
}

// ask sends a query and checks that it is answered in time.
func (c *caller) ask(s *wire.Session, i *process.Instance, id, text string) (wire.Reply, bool) {
	started := time.Now()
	r, err := s.Query(id, text)
	if took := time.Since(started); took > statementTimeout+answerMargin && !i.DisturbedSince(started.Add(-settled)) {
		c.trial.fault("%s got no answer from %s to %s within %v: %v", c.name, i.Name, id, took, err)
	}
	return r, err == nil
}

// refused notes that nothing of the statements may be kept.
func (c *caller) refused(code string, ids ...string) {
	if slices.Contains(promises, code) {
		c.trial.mu.Lock()
		defer c.trial.mu.Unlock()
		for _, id := range ids {
			c.trial.refused[id] = code
		}
	}
}

func (c *caller) done(value uint64) {
	c.trial.register.note(c.name, value)
	c.own = append(c.own, acknowledged{value: value, at: time.Now()})
}

func (c *caller) write(s *wire.Session, i *process.Instance) bool {
	id := c.id()
	value := c.next
	r, ok := c.ask(s, i, id, fmt.Sprintf("WRITE %s %d", c.name, value))
	if ok && r.Code == "" {
		c.done(value)
		return true
	}
	c.notDone(ok, r.Code, id, value)
	return ok
}

// notDone notes what the answer to a write, or its lack, promises.
func (c *caller) notDone(answered bool, code, id string, value uint64) {
	if answered && slices.Contains(promises, code) {
		c.refused(code, id)
		return
	}
	c.trial.register.lose(c.name, value)
}

func (c *caller) transaction(s *wire.Session, i *process.Instance) bool {
	if r, ok := c.ask(s, i, c.id(), "BEGIN"); !ok || r.Code != "" {
		return ok && r.State == "I"
	}
	id := c.id()
	value := c.next
	r, ok := c.ask(s, i, id, fmt.Sprintf("WRITE %s %d", c.name, value))
	if !ok {
		return false
	}
	end := "COMMIT"
	if r.Code != "" || c.random.IntN(4) == 0 {
		end = "ROLLBACK"
	}
	last, ok := c.ask(s, i, c.id(), end)
	switch {
	case end == "ROLLBACK":
		c.refused("ABORTED", id) // holds without an answer too: nobody asked for the commit
	case ok && last.Code == "":
		c.done(value)
	default:
		c.notDone(ok, last.Code, id, value)
	}
	return ok && last.State == "I"
}

// read reads an item and checks that it holds what the database promises.
func (c *caller) read(s *wire.Session, i *process.Instance) bool {
	item := c.name
	if c.random.IntN(3) == 0 {
		others := c.trial.callersOf(c.group)
		item = others[c.random.IntN(len(others))].name
	}
	id, started := c.id(), time.Now()
	r, ok := c.ask(s, i, id, "READ "+item)
	if !ok {
		return false
	}
	if r.Code != "" {
		return true
	}
	var value uint64
	if len(r.Rows) == 1 && r.Rows[0] != "" {
		var err error
		if value, err = strconv.ParseUint(r.Rows[0], 10, 64); err != nil {
			c.trial.fault("%s read %q from %s", c.name, r.Rows[0], item)
		}
	}
	var want []acknowledged
	switch {
	case c.database == "bookings":
		want = c.trial.register.before(item, started)
	case c.database == "plates":
		want = c.trial.register.before(item, started.Add(-stalenessBound))
	case item == c.name:
		want = c.own
	}
	c.checkAge(id, item, value, want)
	return true
}

// checkAge reports a read that lacks a write that it had to see. Writes that a promotion dropped do not count, and a write
// without an answer may have taken effect after the one that the read had to see.
func (c *caller) checkAge(id, item string, value uint64, want []acknowledged) {
	if c.trial.register.lost(item, value) {
		return
	}
	for n := len(want) - 1; n >= 0 && want[n].value > value; n-- {
		if c.trial.cluster.RolledBack(item, strconv.FormatUint(want[n].value, 10)) {
			continue
		}
		c.trial.fault("%s on %s read %d from %s, which was %d since %v", id, c.database, value, item, want[n].value,
			time.Since(want[n].at).Round(time.Millisecond))
		return
	}
}
