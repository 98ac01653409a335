package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// overloadSessions is the number of sessions of an overload. Servers of the stand-in have two slots.
const overloadSessions = 40

// overload has sessions of the lowest priority read as fast as they are answered, and ask again at once when they are refused.
func overload(x *trial, r *rand.Rand) (string, func()) {
	i := x.anyInstance(r)
	database := "tally"
	if r.IntN(2) == 0 {
		database = groups[1] + "-" + database
	}
	stop, name := make(chan struct{}), r.Uint64()
	var running sync.WaitGroup
	for n := range overloadSessions {
		running.Go(func() { readUntil(stop, i.Callers.Address(), database, fmt.Sprintf("%d-%d", name, n)) })
	}
	return "overload of " + database + " through " + i.Name, func() { close(stop); running.Wait() }
}

// readUntil reads on one connection after the other until the channel is closed. Answers are not checked.
func readUntil(stop <-chan struct{}, address, database, name string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if !readSession(stop, address, database, fmt.Sprintf("%s-%d", name, n)) {
			time.Sleep(betweenMost / 10)
		}
	}
}

// readSession reads on one connection. It returns false if the session could not start.
func readSession(stop <-chan struct{}, address, database, name string) bool {
	conn, err := net.DialTimeout("tcp", address, statementTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(statementTimeout))
	reader := bufio.NewReader(conn)
	_, _ = fmt.Fprintf(conn, "START %s k-coop\r\n", database)
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return false
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return true
		default:
		}
		_ = conn.SetDeadline(time.Now().Add(statementTimeout))
		_, _ = fmt.Fprintf(conn, "QUERY %s-%d READ o%d\r\n", name, n, n%10)
		for line := ""; !strings.HasPrefix(line, "READY"); {
			if line, err = reader.ReadString('\n'); err != nil {
				return true
			}
		}
	}
}
