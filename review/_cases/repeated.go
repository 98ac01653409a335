package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// playRepeatedOpening lets the primary send one answer to a BEGIN twice, the second time after the transaction has ended, and
// answer the next BEGIN on that connection with BUSY. A client runs short transactions that read, one after the other.
func playRepeatedOpening(r *recorder, trouble bool) (int, error) {
	const transactions = 60
	d, err := newDeployment(options{
		groupName: "eira", servers: []string{"i-7f3a91c2", "i-2b84d0e6", "i-c05e6d13"},
		zones: []string{"agreste-a", "sertao-a", "litoral-a"}, syncReplicas: 0, promoteTime: 300 * time.Millisecond,
		instances: map[string][]string{"agreste-a": {"front-agreste-a-1"}, "sertao-a": {"front-sertao-a-1"}, "litoral-a": {"front-litoral-a-1"}},
	}, r)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return failed, err
	}
	d.group.set(d.group.servers[0], func(*server) { d.group.inside, d.group.repeatFor = map[string]bool{}, otherTenant })
	time.Sleep(10 * time.Second) // traffic starts that long after the machines
	for _, i := range d.instances {
		d.clients.start(i)
	}
	for n := range transactions {
		if n == 10 && trouble {
			d.group.set(d.group.servers[0], func(*server) { d.group.repetitions = 1 })
		}
		if err := readInTransaction(d, d.instances[0], n); err != nil {
			return failed, err
		}
		time.Sleep(400 * time.Millisecond)
	}
	d.clients.stop()
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	line := fmt.Sprintf("%d transactions, statements that ran outside of their own: %d %v", transactions, len(d.group.outside), d.group.outside)
	fmt.Println(line)
	r.printf("%s", line)
	if len(d.group.outside) > 0 {
		return broken, nil
	}
	return held, nil
}

// readInTransaction runs one transaction on a connection of its own: BEGIN, a read and COMMIT.
func readInTransaction(d *deployment, i *instance, n int) error {
	conn, err := net.DialTimeout("tcp", i.front(), clientTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * clientTimeout))
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, "START "+databaseName+" "+otherKey+lineEnd); err != nil {
		return err
	}
	if _, err := readLine(reader); err != nil {
		return err
	}
	for k, text := range []string{"BEGIN", fmt.Sprintf("READ item%d", n%50), "COMMIT"} {
		id := fmt.Sprintf("t%03d-%d", n, k)
		d.group.set(d.group.servers[0], func(*server) { d.group.inside[id] = true })
		d.record.printf("client of %s sends %s %s", i.name, id, text)
		if _, err := fmt.Fprintf(conn, "QUERY %s %s%s", id, text, lineEnd); err != nil {
			return err
		}
		for {
			line, err := readLine(reader)
			if err != nil {
				return err
			}
			d.record.printf("client of %s gets to %s: %s", i.name, id, line)
			if strings.HasPrefix(line, "READY") {
				break
			}
		}
	}
	_, err = io.WriteString(conn, "BYE"+lineEnd)
	return err
}
