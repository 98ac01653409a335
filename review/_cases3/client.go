package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	log  *recorder
}

// answer is what a client gets for a query.
type answer struct {
	rows            []string
	bytes           int
	signature, code string
	state, position string
}

func dial(log *recorder, address, database, key string) (*client, string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 1<<16), log: log}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	line, err := readLine(c.in)
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, line, fmt.Errorf("no session: %q %v", line, err)
	}
	return c, "", nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a statement and reads the answer. Rows are kept only up to a size.
func (c *client) query(id, text string, limit time.Duration) (a answer, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	short := text[:min(len(text), 60)]
	c.log.add("sent", map[string]any{"id": id, "text": short})
	defer func() {
		c.log.add("answered", map[string]any{"id": id, "text": short, "code": a.code, "rows": len(a.rows), "bytes": a.bytes, "state": a.state, "position": a.position, "error": fmt.Sprint(err)})
	}()
	if _, err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := readLine(c.in)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.bytes += len(rest)
			a.rows = append(a.rows, rest[:min(len(rest), 60)])
		case "DONE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
