package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace       = 6 * time.Second // bounds.graceS
	lossSlack   = 200 * time.Millisecond
	routeLimit  = 2000 * time.Millisecond // timeoutMs of the route
	clientLimit = 5 * time.Second         // deadline of an operation
	probePeriod = time.Second
	calm        = 8 * time.Second // before the stop
	clients     = 18
	clientPause = 200 * time.Millisecond // of a client between two reports
	rows        = 10                     // of a report
	rowBytes    = 1000000
	linkBytes   = 20 << 20 // a second, of the link of a client
	window      = 16 << 10 // of the connection of a client
)

// balancer sends new connections to instances that are in rotation: two misses in a row take one out.
type balancer struct {
	mu     sync.Mutex
	misses map[*instance]int
}

func (b *balancer) watch(list []*instance, stop <-chan struct{}) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for {
		select {
		case <-stop:
			return
		case <-time.After(probePeriod):
		}
		for _, i := range list {
			r, err := client.Get("http://" + i.ready + "/-/readiness")
			ok := err == nil && r.StatusCode == http.StatusOK
			if err == nil {
				_ = r.Body.Close()
			}
			b.mu.Lock()
			b.misses[i]++
			if ok {
				b.misses[i] = 0
			}
			b.mu.Unlock()
		}
	}
}

// choose returns the instance of a client: its own one while that is in rotation, otherwise the next.
func (b *balancer) choose(list []*instance, n int) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range list {
		if i := list[(n+k)%len(list)]; b.misses[i] < 2 {
			return i
		}
	}
	return list[n%len(list)]
}

// cut: clients read reports while an instance is stopped in the planned way.
func cut(dir string, trouble bool) (bool, error) {
	log, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return false, err
	}
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(tmp)
	st, err := newStore()
	if err != nil {
		return false, err
	}
	services := []string{"svc0", "svc1", "svc2"}
	for _, s := range services {
		if _, err := newGroup(st, log, s, 0, 2, 10*time.Millisecond, zones...); err != nil {
			return false, err
		}
	}
	st.put("op", "config", configuration(3, services, 0))
	list, end, err := startAll(tmp, st, log)
	defer end()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	b := &balancer{misses: map[*instance]int{}}
	go b.watch(list, stop)
	var mu sync.Mutex
	var all []request
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				r := readReport(log, b.choose(list, n), n, k)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	time.Sleep(calm)
	stopped := time.Now()
	if trouble {
		ended := list[0].signal(syscall.SIGTERM, true)
		select {
		case <-ended:
		case <-time.After(grace):
			<-list[0].signal(syscall.SIGKILL, true)
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	counts := map[string]int{}
	lost := 0
	for _, r := range all {
		when := "before"
		if r.sent.After(stopped) || r.ended.After(stopped) {
			when = "after"
		}
		counts[when+" "+r.instance.name+" "+r.outcome]++
		if trouble && r.instance == list[0] && r.lost(log.ran[r.id]) && r.ended.After(stopped) && r.sent.Before(stopped.Add(grace+time.Second)) {
			lost++
			log.add("lost", map[string]any{"id": r.id, "process": r.instance.name, "after_ms": r.ended.Sub(r.sent).Milliseconds(), "bytes": r.bytes})
		}
	}
	for what, n := range counts {
		fmt.Println(what, n)
	}
	fmt.Println("lost:", lost)
	return lost > 0, nil
}

// request is one read of a report.
type request struct {
	id          string
	instance    *instance
	sent, ended time.Time
	bytes       int
	outcome     string
	cutOff      bool // the connection ended inside the answer or before it
}

// lost reports whether the connection ended without a complete answer, although the request was passed on to a server, the client
// still waited and the timeout of the route was not reached.
func (r request) lost(ran bool) bool {
	took := r.ended.Sub(r.sent)
	return r.cutOff && (ran || took > lossSlack) && took < routeLimit
}

// readReport reads a report in a session of its own.
func readReport(log *recorder, i *instance, n, k int) request {
	r := request{id: fmt.Sprintf("c%dk%d", n, k), instance: i, outcome: "no session"}
	c, _, err := dial(log, i.front, fmt.Sprintf("db%d-bounded_staleness", n%3), fmt.Sprintf("key%d", n%8))
	if err != nil {
		return r
	}
	defer c.close()
	_ = c.conn.(*net.TCPConn).SetReadBuffer(window)
	_ = c.conn.SetDeadline(time.Now().Add(clientLimit))
	r.sent = time.Now()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s READ report:%d:%d\r\n", r.id, rows, rowBytes); err != nil {
		return r
	}
	c.in = bufio.NewReaderSize(&pacedReader{conn: c.conn}, window)
	for {
		line, err := readLine(c.in)
		r.ended = time.Now()
		if err != nil {
			r.outcome, r.cutOff = "cut", !strings.Contains(err.Error(), "timeout")
			break
		}
		r.bytes += len(line)
		if word, rest, _ := strings.Cut(line, " "); word == "ERROR" {
			r.outcome = "error " + strings.SplitN(rest, " ", 2)[0]
		} else if word == "DONE" {
			r.outcome = "success"
		} else if word == "READY" {
			break
		}
	}
	log.add("answered", map[string]any{"id": r.id, "process": i.name, "outcome": r.outcome, "bytes": r.bytes, "took_ms": r.ended.Sub(r.sent).Milliseconds()})
	return r
}

// pacedReader reads linkBytes a second.
type pacedReader struct {
	conn net.Conn
	next time.Time
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(p.next))
	n, err := p.conn.Read(b)
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	return n, err
}
