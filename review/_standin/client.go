package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	clientTimeout = 5 * time.Second
	retryPause    = 100 * time.Millisecond
)

var requestID atomic.Uint64

// client is one session of a caller.
type client struct {
	record *record
	name   string
	conn   net.Conn
	in     *bufio.Reader
	lastID string // of the last query
}

// connect starts a session on a database.
func connect(r *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{record: r, name: name, conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("no session: %q %v", strings.TrimSpace(line), err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// answer is what a client got for a query.
type answer struct {
	rows []string
	end  string // the DONE or ERROR line
}

func (a answer) ok() bool { return strings.HasPrefix(a.end, "DONE") }

// query sends one statement and reads its answer.
func (c *client) query(text string) (answer, error) {
	id := fmt.Sprintf("%016x", requestID.Add(1)<<20|uint64(time.Now().UnixNano()&0xfffff))
	c.lastID = id
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			c.record.notef("client %s: %s %.60s -> no answer: %v", c.name, id, text, err)
			return a, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch word, rest, _ := strings.Cut(line, " "); word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "READY":
			if a.ok() {
				c.record.tell(id)
			}
			c.record.notef("client %s: %s %.60s -> %s %s", c.name, id, text, a.end, rest)
			return a, nil
		default:
			a.end = line
		}
	}
}

// writer writes one item after the other until stop is closed, with pauses between.
func writer(r *record, name, address, database, key string, pause time.Duration, stop <-chan struct{}) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(pause):
		}
		var err error
		if c == nil {
			if c, err = connect(r, name, address, database, key); err != nil {
				r.notef("client %s: %v", name, err)
				time.Sleep(retryPause)
				continue
			}
		}
		if _, err = c.query(fmt.Sprintf("WRITE %s-%d plates%d", name, n, n)); err != nil {
			c.close()
			c = nil
		}
	}
}
