package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	beforeTraffic = 10 * time.Second // from the start of the machines
	writers       = 6
	writeTimeout  = 2 * time.Second

	deafAt   = 500 * time.Millisecond // after the start of traffic
	deafTime = 6 * time.Second
	cutAfter = 200 * time.Millisecond // each after the one before
	dieAfter = 200 * time.Millisecond
	lostTime = time.Second // until the primary crashes
	bornTime = 500 * time.Millisecond
	cutTime  = 5 * time.Second
	downTime = 7 * time.Second // of the primary
	settle   = 8 * time.Second

	calmTraffic = 8 * time.Second
	refillLimit = 4 * time.Second
	refillRest  = 30 // commits that the server which lost its log lacks of those of the deaf one when the primary crashes
)

// young: in a group whose first commits are under a second old, one replica receives nothing for a while. Meanwhile the other one
// crashes behind a cut from the store and starts again with nothing, and the primary crashes.
func young(dir string, trouble bool) (bool, error) {
	return playLostLog(dir, trouble, func(g *group) error { return g.loseLogs(0, false) }, 0)
}

// refill: the same in a group that has run for a while, but the server that starts with nothing gets a part of the log again before
// the primary crashes.
func refill(dir string, trouble bool) (bool, error) {
	return playLostLog(dir, trouble, func(g *group) error { return g.loseLogs(calmTraffic, true) }, calmTraffic)
}

// playLostLog plays disruptions in a group with one synchronous replica, while clients write.
func playLostLog(dir string, trouble bool, disturb func(g *group) error, calm time.Duration) (bool, error) {
	log, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return false, err
	}
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs:", tmp)
	}
	st, err := newStore()
	if err != nil {
		return false, err
	}
	g, err := newGroup(st, log, "svc0", 1, 2, 3*time.Millisecond, zones...)
	if err != nil {
		return false, err
	}
	st.promote = g.promote
	st.put("op", "config", configuration(3, []string{"svc0"}, 1))
	begun := time.Now()
	list, end, err := startAll(tmp, st, log)
	defer end()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(beforeTraffic)))
	w := &writes{acknowledged: map[string]time.Time{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range writers {
		wg.Go(func() { w.run(log, list[n%len(list)], n, stop) })
	}
	if trouble {
		err = disturb(g)
	} else {
		time.Sleep(calm + deafAt + cutAfter + dieAfter + lostTime + downTime)
	}
	time.Sleep(settle)
	close(stop)
	wg.Wait()
	if err != nil {
		return false, err
	}
	return w.lost(g, log), nil
}

// loseLogs carries out the disruptions, after a calm time of traffic. The server that loses its log starts again before the
// primary crashes if early is set, and after it otherwise.
func (g *group) loseLogs(calm time.Duration, early bool) error {
	primary, reborn, deaf := g.servers[0], g.servers[1], g.servers[2]
	set := func(s *server, what string, change func(s *server)) {
		g.mu.Lock()
		defer g.mu.Unlock()
		change(s)
		g.log.add(what, map[string]any{"server": s.id, "position": s.position()})
	}
	time.Sleep(calm + deafAt)
	hears := time.Now().Add(deafTime)
	set(deaf, "receives nothing", func(s *server) { s.deaf = true })
	time.Sleep(cutAfter)
	healed := time.Now().Add(cutTime)
	set(reborn, "cut off the store", func(s *server) { s.cutOff = true })
	time.Sleep(dieAfter)
	reborn.crash()
	if early {
		time.Sleep(bornTime)
		if err := reborn.restart(true); err != nil {
			return err
		}
		g.awaitRefill(reborn, deaf)
	} else {
		time.Sleep(lostTime)
	}
	primary.crash()
	back := time.Now().Add(downTime)
	if !early {
		time.Sleep(bornTime)
		if err := reborn.restart(true); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(healed))
	set(reborn, "reaches the store", func(s *server) { s.cutOff = false })
	reborn.report()
	time.Sleep(time.Until(hears))
	set(deaf, "receives again", func(s *server) { s.deaf = false })
	time.Sleep(time.Until(back))
	return primary.restart(false)
}

// awaitRefill waits until a server that started with nothing has got back almost as much of the log as another one has.
func (g *group) awaitRefill(reborn, other *server) {
	for end := time.Now().Add(refillLimit); time.Now().Before(end); time.Sleep(replication) {
		g.mu.Lock()
		done := len(reborn.entries)+refillRest >= len(other.entries)
		g.mu.Unlock()
		if done {
			return
		}
	}
}

// writes are the writes of all clients.
type writes struct {
	mu           sync.Mutex
	acknowledged map[string]time.Time // by id
}

// run sends one write after the other.
func (w *writes) run(log *recorder, i *instance, n int, stop <-chan struct{}) {
	for k := 0; ; {
		c, _, err := dial(log, i.front, "db0-primary", fmt.Sprintf("key%d", n))
		for err == nil {
			select {
			case <-stop:
				c.close()
				return
			default:
			}
			k++
			id := fmt.Sprintf("w%d-%d", n, k)
			var a answer
			if a, err = c.query(id, fmt.Sprintf("WRITE item%d %s", n, id), writeTimeout); err == nil && a.code == "" {
				w.mu.Lock()
				w.acknowledged[id] = time.Now()
				w.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			} else if err == nil {
				time.Sleep(100 * time.Millisecond)
			} else {
				c.close()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// lost reports whether a server was promoted whose log lacks a commit that a client had as acknowledged.
func (w *writes) lost(g *group, log *recorder) bool {
	g.mu.Lock()
	promotions := slices.Clone(g.promotions)
	g.mu.Unlock()
	broken := false
	fmt.Println("acknowledged writes:", len(w.acknowledged))
	for _, p := range promotions {
		has := map[string]bool{}
		for _, e := range p.log {
			has[e.id] = true
		}
		var lost []string
		for id, at := range w.acknowledged {
			if !has[id] && at.Before(p.at) {
				lost = append(lost, id)
				delete(w.acknowledged, id) // it counts at the first promotion only
			}
		}
		slices.Sort(lost)
		fmt.Printf("%s promoted, acknowledged commits that its log lacks: %d\n", p.server, len(lost))
		log.add("verdict", map[string]any{"promoted": p.server, "lost": len(lost), "ids": lost[:min(len(lost), 20)]})
		broken = broken || len(lost) > 0
	}
	return broken
}
