package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientTimeout = 2 * time.Second
	clientPause   = 10 * time.Millisecond // between two operations
	retryPause    = 100 * time.Millisecond
)

// clients write through the instances of a deployment and note which writes were acknowledged to them.
type clients struct {
	d       *deployment
	running sync.WaitGroup
	ended   atomic.Bool

	mu           sync.Mutex
	number       int
	acknowledged map[string]time.Time // when a success came, by id
	outcomes     map[string]int       // by code, "" for success
}

func newClients(d *deployment) *clients {
	return &clients{d: d, acknowledged: map[string]time.Time{}, outcomes: map[string]int{}}
}

// start starts a client of an instance. Each sends one write after the other.
func (c *clients) start(i *instance) {
	c.running.Go(func() {
		for !c.ended.Load() {
			if err := c.session(i); err != nil {
				time.Sleep(retryPause)
			}
		}
	})
}

// stop ends the clients and waits for their last answers.
func (c *clients) stop() {
	c.ended.Store(true)
	c.running.Wait()
}

// session writes on one connection until it ends.
func (c *clients) session(i *instance) error {
	conn, err := net.DialTimeout("tcp", i.front(), clientTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(conn, "START "+databaseName+" "+apiKey+lineEnd); err != nil {
		return err
	}
	line, err := readLine(r)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(line, "READY") {
		c.count("START " + line)
		return fmt.Errorf("refused: %s", line)
	}
	for !c.ended.Load() {
		code, err := c.write(conn, r, i)
		if err != nil {
			return err
		}
		if code != "" {
			time.Sleep(retryPause)
		}
		time.Sleep(clientPause)
	}
	return nil
}

// write sends one write and reads its answer. It returns the code of an error.
func (c *clients) write(conn net.Conn, r *bufio.Reader, i *instance) (string, error) {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("w%06d", c.number)
	item := fmt.Sprintf("item%d", c.number%50)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	c.d.record.printf("client of %s sends %s WRITE %s %s", i.name, id, item, id)
	if _, err := fmt.Fprintf(conn, "QUERY %s WRITE %s %s%s", id, item, id, lineEnd); err != nil {
		return "", err
	}
	result, code := "", "none"
	for {
		line, err := readLine(r)
		if err != nil {
			c.d.record.printf("client of %s gets no answer to %s", i.name, id)
			c.count("no answer")
			return "", err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DONE":
			result, code = rest, ""
		case "ERROR":
			result = rest
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			c.d.record.printf("client of %s gets to %s: %s %s", i.name, id, code, result)
			if code == "" {
				c.acknowledge(id)
			}
			c.count(code)
			return code, nil
		}
	}
}

func (c *clients) acknowledge(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[id] = time.Now()
}

func (c *clients) count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// successes returns the number of acknowledged writes.
func (c *clients) successes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acknowledged)
}
