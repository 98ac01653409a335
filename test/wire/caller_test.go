package wire

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagercross/internal/standin/wire"
)

const (
	statementTimeout  = 800 * time.Millisecond
	socketTimeout     = 2500 * time.Millisecond
	operationDeadline = 4 * time.Second
	listenFor         = time.Millisecond // before each statement, for messages while no request is outstanding
	retryPause        = 10 * time.Millisecond
	longSession       = 40 // operations at most
	itemsEach         = 6
)

// promises are the codes after which nothing of the attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

// sent is one statement of a caller and what the caller got for it. A statement that was not answered has an error.
type sent struct {
	id          string
	text        string
	caller      string
	database    string
	instance    string
	session     int
	transaction *attempt
	values      map[string]string
	shape       string // READ or WRITE and the shape, for an EXECUTE
	writes      bool
	got         wire.Reply
	err         error
}

func (s *sent) done() bool { return s.err == nil && s.got.Code == "" }

// attempt is one try of a transaction, or a statement outside of one.
type attempt struct {
	single     bool   // outside of a transaction
	committing bool   // COMMIT was sent
	committed  bool   // COMMIT, or the single statement, was answered with success
	promise    string // code that promises that nothing is kept
}

// caller runs its operations one after another, in sessions of one database.
type caller struct {
	trial    *trial
	name     string
	database string
	random   *rand.Rand
	odd      fields

	session  *wire.Session
	sessions int
	left     int // operations left in the session
	instance string
	values   map[string]string // acknowledged in the session
	shapes   map[string]string // by prepared name
	open     *attempt

	next   int
	sent   []*sent
	stray  []string
	served int
}

func (c *caller) run(operations int) {
	for range operations {
		if c.operation() {
			c.served++
		}
	}
	c.close()
}

func (c *caller) close() {
	if c.session != nil {
		c.session.Close()
	}
	c.session, c.open = nil, nil
}

// connect opens a session if there is none.
func (c *caller) connect() bool {
	if c.session != nil {
		return true
	}
	i := c.trial.instances[c.random.IntN(len(c.trial.instances))]
	s, _, err := wire.OpenSession(i.Callers.Address(), c.database, "k-coop", socketTimeout)
	if err != nil {
		return false
	}
	c.sessions++
	c.session, c.instance, c.left = s, i.Name, 1
	c.values, c.shapes = map[string]string{}, map[string]string{}
	if c.random.IntN(2) == 0 {
		c.left = 2 + c.random.IntN(longSession-1)
	}
	return true
}

// operation runs an operation until it is served, may not be retried, or is out of time.
func (c *caller) operation() bool {
	seed := c.random.Uint64()
	for deadline := time.Now().Add(operationDeadline); time.Now().Before(deadline); {
		if !c.connect() {
			time.Sleep(retryPause)
			continue
		}
		last, ok := c.attempt(rand.New(rand.NewPCG(seed, 0)))
		if c.left--; c.session != nil && (!ok || c.left <= 0) {
			c.close()
		}
		if ok {
			return true
		}
		if !retried(last) {
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// retried reports whether an attempt that ended with a statement may be made again: after a promise, after FAILED of a
// read, and otherwise unless its COMMIT or its single write was sent.
func retried(last *sent) bool {
	if last == nil {
		return true
	}
	final := last.text == "COMMIT" || last.writes && last.transaction.single
	return !final || last.err == nil && slices.Contains(promises, last.got.Code)
}

// attempt runs one try of the operation that a random source describes. It returns the last statement that was sent, and
// whether all succeeded.
func (c *caller) attempt(r *rand.Rand) (*sent, bool) {
	switch n := r.IntN(20); {
	case n < 6:
		return c.ask(r, "READ "+c.readItem(r))
	case n < 10:
		return c.ask(r, c.write(r))
	case n < 12:
		if s, ok := c.set(r); !ok {
			return s, false
		}
		return c.ask(r, "READ "+c.readItem(r))
	case n < 15:
		return c.prepared(r)
	}
	return c.transaction(r)
}

func (c *caller) item(r *rand.Rand, owner string) string {
	n := r.IntN(itemsEach)
	plain := owner + "." + strconv.Itoa(n)
	if !c.odd.items || n < itemsEach/2 {
		return plain
	}
	return plain + oddWords[n%len(oddWords)+c.trial.shift] + "z"
}

func (c *caller) readItem(r *rand.Rand) string {
	if r.IntN(2) == 0 {
		return c.item(r, c.name)
	}
	return c.item(r, c.trial.callers[r.IntN(len(c.trial.callers))].name)
}

func (c *caller) data(r *rand.Rand) string {
	return text(r, fmt.Sprintf("%s-%d", c.name, c.next), c.odd.data)
}

func (c *caller) write(r *rand.Rand) string { return "WRITE " + c.item(r, c.name) + " " + c.data(r) }

func (c *caller) set(r *rand.Rand) (*sent, bool) {
	name, value := "v"+strconv.Itoa(r.IntN(3)), text(r, fmt.Sprintf("%s-%d", c.name, c.next), c.odd.values)
	s, ok := c.ask(r, "SET "+name+" "+value)
	if ok {
		c.values[name] = value
	}
	return s, ok
}

// prepared defines a statement, under a name that other sessions use too, and runs it.
func (c *caller) prepared(r *rand.Rand) (*sent, bool) {
	name, kind := "s"+strconv.Itoa(r.IntN(3)), []string{"READ", "WRITE"}[r.IntN(2)]
	shape := kind + " " + text(r, "q"+strconv.Itoa(r.IntN(8)), c.odd.shapes)
	if s, ok := c.ask(r, "PREPARE "+name+" "+shape); !ok {
		return s, false
	}
	c.shapes[name] = shape
	return c.execute(r, name)
}

func (c *caller) execute(r *rand.Rand, name string) (*sent, bool) {
	if strings.HasPrefix(c.shapes[name], "WRITE ") {
		return c.ask(r, "EXECUTE "+name+" "+c.item(r, c.name)+" "+c.data(r))
	}
	return c.ask(r, "EXECUTE "+name+" "+c.readItem(r))
}

func (c *caller) transaction(r *rand.Rand) (*sent, bool) {
	begin, reading := "BEGIN", r.IntN(4) == 0
	if reading {
		begin = "BEGIN READ"
	}
	if s, ok := c.ask(r, begin); !ok {
		return s, false
	}
	c.open = &attempt{}
	defer func() { c.open = nil }()
	for range 1 + r.IntN(5) {
		body := "READ " + c.readItem(r)
		if !reading && r.IntN(2) == 0 {
			body = c.write(r)
		}
		if s, ok := c.ask(r, body); !ok {
			return s, false
		}
	}
	if r.IntN(5) == 0 {
		return c.ask(r, "ROLLBACK")
	}
	c.open.committing = true
	return c.ask(r, "COMMIT")
}

// ask sends a statement in the session and keeps what it got. The session ends if it is of no more use.
func (c *caller) ask(r *rand.Rand, body string) (*sent, bool) {
	// A close while no request is outstanding is not a failure: the operation is made in a new session.
	if line, err := c.session.Stray(listenFor); !errors.Is(err, wire.ErrQuiet) {
		if err == nil && !strings.HasPrefix(line, "ERROR ") {
			c.stray = append(c.stray, fmt.Sprintf("%s got %q from %s while no request was outstanding, after %s", c.name, line, c.instance, c.last()))
		}
		c.close()
		return nil, false
	}
	c.next++
	try := c.open
	if try == nil {
		try = &attempt{single: true}
	}
	s := &sent{
		id: word(r, fmt.Sprintf("%s/%d", c.name, c.next), c.odd.ids), text: body, caller: c.name, database: c.database, instance: c.instance,
		session: c.sessions, transaction: try, values: maps.Clone(c.values), writes: strings.HasPrefix(body, "WRITE "),
	}
	if f := wire.Fields(body, 3); f[0] == "EXECUTE" {
		s.shape = c.shapes[f[1]]
		s.writes = strings.HasPrefix(s.shape, "WRITE ")
	}
	c.sent = append(c.sent, s)
	s.got, s.err = c.session.Query(s.id, body)
	if s.err == nil && s.got.Ends != 1 {
		c.stray = append(c.stray, fmt.Sprintf("%s got %d ends of an answer to %q", c.name, s.got.Ends, s.id))
	}
	if s.err == nil && slices.Contains(promises, s.got.Code) {
		try.promise = s.got.Code
	}
	try.committed = s.done() && (try.single || body == "COMMIT")
	if s.err != nil {
		c.close()
	}
	return s, s.done()
}

func (c *caller) last() string {
	if len(c.sent) == 0 {
		return "nothing"
	}
	return fmt.Sprintf("%q", c.sent[len(c.sent)-1].text)
}

// runAll runs the operations of all callers at once.
func runAll(callers []*caller, operations int) {
	var running sync.WaitGroup
	for _, c := range callers {
		running.Go(func() { c.run(operations) })
	}
	running.Wait()
}
